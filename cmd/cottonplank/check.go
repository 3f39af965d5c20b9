package main

import (
	"fmt"
	"io"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/controlplane"
	"cottonplank/internal/discovery/filesource"
)

// check validates the balancer's configuration and prints a summary of it. If controlServerFile is not empty, it
// validates that file, the configuration of a control-plane server, instead.
func check(out io.Writer, frontsFile, controlServerFile string) error {
	if controlServerFile != "" {
		return checkControlServer(out, controlServerFile)
	}
	cfg, fronts, err := loadConfig(frontsFile)
	if err != nil {
		return err
	}
	if err := checkSessions(out, fronts.Sessions); err != nil {
		return err
	}
	if err := checkEndpointFile(out, fronts.EndpointFile); err != nil {
		return err
	}
	if len(fronts.ControlPlane.Servers) > 0 {
		if err := checkControlPlane(out, fronts.ControlPlane); err != nil {
			return frontsError(config.InSection("control", err))
		}
	}
	if err := checkMembership(out, fronts.Membership); err != nil {
		return err
	}
	return printSummary(out, cfg, fronts)
}

func printSummary(out io.Writer, cfg *config.Config, fronts config.Fronts) error {
	_, err := fmt.Fprintf(out, "%s: %d classes, %d known room servers, management %q, quic %q, snmp %q\n",
		cfg.Name, len(cfg.Settings.Classes), len(cfg.KnownEndpoints), cfg.Management, fronts.QUIC.Listen,
		fronts.SNMP.Listen)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "descriptors: %d for channels and dials, %d of them for dials alone; "+
		"%d requests and connections at once; %d for probes\n",
		cfg.ConnDescriptors, cfg.DialReserve, cfg.MaxClients, cfg.MaxProbeConns)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "SIGHUP takes over: discovery, from the file before PROXY_DISCOVERY, the keys of tokens "+
		"and of the membership and the list of room servers; every other key takes a restart")
	return err
}

// checkSessions reads the session keys and prints a line about them. It prints nothing if session resumption is not
// configured.
func checkSessions(out io.Writer, sessions config.Sessions) error {
	ring, err := loadSessionKeys(sessions)
	if err != nil || ring == nil {
		return err
	}
	_, err = fmt.Fprintf(out, "resumption: site %q, key %s seals, %d keys\n", sessions.Site, ring.SealingKeyID(time.Now()),
		len(ring.Keys()))
	return err
}

// checkEndpointFile reads the endpoint file, which replaces discovery, and prints how many room servers it lists. An
// empty path means that there is none.
func checkEndpointFile(out io.Writer, path string) error {
	if path == "" {
		return nil
	}
	list, err := filesource.Read(path)
	if err != nil {
		return frontsError(err)
	}
	_, err = fmt.Fprintf(out, "rooms: %d room servers from %s, in place of discovery\n", len(list.Entries), path)
	return err
}

// checkMembership reads the cluster keys and prints a line about the membership. It prints nothing if no membership is
// configured.
func checkMembership(out io.Writer, m config.Membership) error {
	if m.Name == "" {
		return nil
	}
	ring, err := m.LoadRing()
	if err != nil {
		return frontsError(config.InSection("membership", err))
	}
	_, err = fmt.Fprintf(out, "membership: %s at %s, zone %q, region %q, %d seeds, key %s seals, %d keys\n", m.Name,
		m.Listen, m.Zone, m.Region, len(m.Seeds), ring.SealingKeyID(time.Now()), len(ring.Keys()))
	return err
}

// checkControlPlane reads the keys that control-plane servers and their followers share, and prints a line about the
// settings.
func checkControlPlane(out io.Writer, c config.ControlPlane) error {
	ring, err := c.LoadRing()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "control: site %q, region %q, key %s, %d machines, state in %s\n", c.Site, c.Region,
		ring.SealingKeyID(time.Now()), len(c.Servers), c.StateFile)
	return err
}

// checkControlServer validates the configuration file of a control-plane server, and the files that it names: the keys
// and, for a leader, the document.
func checkControlServer(out io.Writer, path string) error {
	server, err := config.LoadControlServer(path)
	if err != nil {
		return err
	}
	if err := checkControlPlane(out, server.ControlPlane); err != nil {
		return fmt.Errorf("control: %s: %w", path, err)
	}
	if server.DocumentFile == "" {
		return nil
	}
	document, err := controlplane.ReadDocument(server.DocumentFile)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "writes term %d from %s: %d room servers, discovery %q\n", server.Term,
		server.DocumentFile, len(document.Endpoints), document.Discovery)
	return err
}
