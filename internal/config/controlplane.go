package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/session/token"
)

// ControlPlane configures a follower of control-plane servers. Fronts.ControlPlane is off if Servers is empty.
type ControlPlane struct {
	Servers   []replica.Server // control-plane servers to follow
	Region    string           // own region; its control-plane servers are preferred
	Site      string           // name of the site; all processes that share the keys have the same
	KeysFile  string
	StateFile string // holds the latest document; a restarted follower requests only the changes since
}

// ControlServer is the configuration of a control-plane server. The server is either the leader, which publishes
// DocumentFile, or a follower of the control-plane servers in Servers. A leader has no Servers, but uses the other
// fields of ControlPlane.
type ControlServer struct {
	Listen       string
	DocumentFile string // empty for a follower
	Term         uint64 // the leader's term; 0 for a follower
	ControlPlane
}

// maxControlServers is the maximum number of control-plane servers in a configuration.
const maxControlServers = 64

// controlPlaneFile is the section control of a fronts file.
type controlPlaneFile struct {
	Servers []controlServerAddress `json:"machines"`
	Region  string                 `json:"region"`
	Site    string                 `json:"site"`
	Keys    string                 `json:"keys"`
	State   string                 `json:"state"`
}

type controlServerAddress struct {
	Address string `json:"address"`
	Region  string `json:"region"`
}

// controlServerFile is the configuration file of a control-plane server; unknown keys are rejected. It repeats the
// fields of controlPlaneFile instead of embedding it, because the JSON decoder's errors would include the name of the
// embedded struct in the key.
type controlServerFile struct {
	Servers  []controlServerAddress `json:"machines"`
	Region   string                 `json:"region"`
	Site     string                 `json:"site"`
	Keys     string                 `json:"keys"`
	State    string                 `json:"state"`
	Listen   string                 `json:"listen"`
	Document string                 `json:"file"`
	Term     uint64                 `json:"term"`
}

func (f controlServerFile) controlPlane() controlPlaneFile {
	return controlPlaneFile{Servers: f.Servers, Region: f.Region, Site: f.Site, Keys: f.Keys, State: f.State}
}

// decode validates and converts the section; paths in it are relative to base.
func (f controlPlaneFile) decode(base string) (ControlPlane, error) {
	for _, required := range []struct{ key, value string }{{"region", f.Region}, {"keys", f.Keys}, {"state", f.State}} {
		if required.value == "" {
			return ControlPlane{}, missing(required.key)
		}
	}
	if err := checkSite(f.Site); err != nil {
		return ControlPlane{}, err
	}
	servers, err := f.decodeServers()
	if err != nil {
		return ControlPlane{}, err
	}
	return ControlPlane{
		Servers:   servers,
		Region:    f.Region,
		Site:      f.Site,
		KeysFile:  resolvePath(base, f.Keys),
		StateFile: resolvePath(base, f.State),
	}, nil
}

func (f controlPlaneFile) decodeServers() ([]replica.Server, error) {
	if len(f.Servers) > maxControlServers {
		return nil, invalid("machines", len(f.Servers), fmt.Sprintf("entries found, expected at most %d", maxControlServers))
	}
	var servers []replica.Server
	seen := map[string]bool{}
	for i, server := range f.Servers {
		addressKey := fmt.Sprintf("machines[%d].address", i)
		if err := checkAddress(addressKey, server.Address); err != nil {
			return nil, err
		}
		if seen[server.Address] {
			return nil, invalid(addressKey, server.Address, "is a duplicate: expected each address once")
		}
		if server.Region == "" {
			return nil, missing(fmt.Sprintf("machines[%d].region", i))
		}
		seen[server.Address] = true
		servers = append(servers, replica.Server{Address: server.Address, Region: server.Region})
	}
	return servers, nil
}

// LoadControlServer reads the configuration file of a control-plane server. Paths in the file are relative to the
// file's folder.
func LoadControlServer(path string) (ControlServer, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return ControlServer{}, fmt.Errorf("control: %w", err)
	}
	server, err := parseControlServer(raw, filepath.Dir(path))
	if err != nil {
		return ControlServer{}, fmt.Errorf("control: %s: %w", path, err)
	}
	return server, nil
}

func parseControlServer(raw []byte, base string) (ControlServer, error) {
	var file controlServerFile
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return ControlServer{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ControlServer{}, errors.New("unexpected data after the configuration")
	}
	if err := checkAddress("listen", file.Listen); err != nil {
		return ControlServer{}, err
	}
	controlPlane, err := file.controlPlane().decode(base)
	if err != nil {
		return ControlServer{}, err
	}
	server := ControlServer{
		Listen:       file.Listen,
		DocumentFile: resolvePath(base, file.Document),
		Term:         file.Term,
		ControlPlane: controlPlane,
	}
	return server, server.checkRole()
}

// checkRole checks that the server is either a leader, with a document and a term, or a follower, with control-plane
// servers to follow and without a term. A follower must not follow itself.
func (s ControlServer) checkRole() error {
	isLeader := s.DocumentFile != ""
	if isLeader == (len(s.Servers) > 0) {
		reason := "expected exactly one of the two: file for a leader, machines for a follower"
		return &FieldError{Key: "file, machines", Reason: reason}
	}
	if isLeader != (s.Term > 0) {
		return invalid("term", s.Term, "is invalid: expected above 0 with file (leader), none with machines (follower)")
	}
	for i, other := range s.Servers {
		if other.Address == s.Listen {
			return invalid(fmt.Sprintf("machines[%d].address", i), other.Address, "is this server's own address")
		}
	}
	return nil
}

// LoadRing reads the keys that the control-plane servers and their followers share. It returns an error if none of the
// keys can seal now.
func (c ControlPlane) LoadRing() (*token.Ring, error) { return loadRing(c.KeysFile, peerKeyGrace) }
