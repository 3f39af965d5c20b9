package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"cottonplank/decide"
)

// Fronts is the content of a fronts file: what a deployment switches on in addition to the platform's line protocol.
// A section that is missing is off.
type Fronts struct {
	QUIC         QUIC
	SNMP         SNMP
	Sessions     Sessions
	EndpointFile string // lists the room servers in place of discovery; empty: off
	ControlPlane ControlPlane
	Membership   Membership
}

// SNMP configures the SNMP agent. An empty Listen is off.
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

// LoadFronts reads a fronts file; without a path everything is off.
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

// ParseFronts parses a fronts file; the paths in it are relative to base.
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

// decodeControlPlane validates the section, which excludes an endpoint file.
func (f frontsFile) decodeControlPlane(base string) (ControlPlane, error) {
	controlPlane, err := f.ControlPlane.decode(base)
	if err != nil {
		return ControlPlane{}, InSection("control", err)
	}
	if len(controlPlane.Servers) == 0 {
		return ControlPlane{}, missing("control.machines")
	}
	if f.EndpointFile.Path != "" {
		reason := "both would list the room servers, one of them is expected"
		return ControlPlane{}, &FieldError{Key: "control, rooms", Reason: reason}
	}
	return controlPlane, nil
}
