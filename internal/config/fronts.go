package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"cottonplank/decide"
)

// Fronts is the content of a fronts file: the optional features that a deployment may switch on. A feature whose
// section is missing is off. The frontend for the platform's line protocol is always on and has no section.
type Fronts struct {
	QUIC         QUIC
	SNMP         SNMP
	Sessions     Sessions
	EndpointFile string // file that lists the room servers, used instead of discovery; empty: off
	ControlPlane ControlPlane
	Membership   Membership
}

// SNMP configures the SNMP agent. An empty Listen switches it off.
type SNMP struct {
	Listen    string
	Community string
}

type frontsFile struct {
	QUIC         quicFile          `json:"quic"`
	SNMP         snmpFile          `json:"snmp"`
	Sessions     *sessionsFile     `json:"resume"`
	EndpointFile endpointFile      `json:"rooms"`
	ControlPlane *controlPlaneFile `json:"control"`
	Membership   *membershipFile   `json:"membership"`
}

type snmpFile struct {
	Listen    string `json:"listen"`
	Community string `json:"community"`
}

type endpointFile struct {
	Path string `json:"file"`
}

// LoadFronts reads a fronts file. If path is empty, all of its features are off.
func LoadFronts(path string, classes []decide.Class) (Fronts, error) {
	if path == "" {
		return Fronts{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Fronts{}, fmt.Errorf("fronts: %w", err)
	}
	fronts, err := ParseFronts(raw, classes, filepath.Dir(path))
	if err != nil {
		return Fronts{}, fmt.Errorf("fronts: %w", err)
	}
	return fronts, nil
}

// ParseFronts parses and validates a fronts file. Paths in it are relative to the folder base; a request class has to
// be one of classes.
func ParseFronts(raw []byte, classes []decide.Class, base string) (Fronts, error) {
	var file frontsFile
	if err := json.Unmarshal(raw, &file); err != nil {
		return Fronts{}, decodeError(err)
	}
	fronts := Fronts{EndpointFile: resolvePath(base, file.EndpointFile.Path)}
	var err error
	if file.QUIC.Listen != "" {
		if fronts.QUIC, err = file.QUIC.decode(classes); err != nil {
			return Fronts{}, InSection("quic", err)
		}
	}
	if file.SNMP.Listen != "" {
		if fronts.SNMP, err = file.SNMP.decode(); err != nil {
			return Fronts{}, InSection("snmp", err)
		}
	}
	if file.Sessions != nil && file.Sessions.Keys != "" {
		if fronts.Sessions, err = file.Sessions.decode(base); err != nil {
			return Fronts{}, InSection("resume", err)
		}
	}
	if file.ControlPlane != nil {
		if fronts.ControlPlane, err = file.decodeControlPlane(base); err != nil {
			return Fronts{}, err
		}
	}
	if file.Membership != nil {
		if fronts.Membership, err = file.Membership.decode(base); err != nil {
			return Fronts{}, InSection("membership", err)
		}
	}
	return fronts, nil
}

func (f snmpFile) decode() (SNMP, error) {
	if err := checkAddress("listen", f.Listen); err != nil {
		return SNMP{}, err
	}
	if f.Community == "" {
		return SNMP{}, missing("community")
	}
	return SNMP(f), nil
}

// decodeControlPlane validates and converts the section control. It rejects an endpoint file beside the section,
// because the control plane provides the endpoint list.
func (f frontsFile) decodeControlPlane(base string) (ControlPlane, error) {
	controlPlane, err := f.ControlPlane.decode(base)
	if err != nil {
		return ControlPlane{}, InSection("control", err)
	}
	if len(controlPlane.Servers) == 0 {
		return ControlPlane{}, missing("control.machines")
	}
	if f.EndpointFile.Path != "" {
		reason := "both provide the list of room servers: expected only one of the two sections"
		return ControlPlane{}, &FieldError{Key: "control, rooms", Reason: reason}
	}
	return controlPlane, nil
}
