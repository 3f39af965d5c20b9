package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"cottonplank/decide"
)

// Fronts is what a fronts file switches on beside the platform's protocol. An empty Listen is off.
type Fronts struct {
	QUIC   QUIC
	SNMP   SNMP
	Resume Resume
	Rooms  string // the file that lists the room servers, in place of discovery; empty: off

	Control    Control
	Membership Membership
}

// QUIC is the front for QUIC connection ids.
type QUIC struct {
	Listen   string
	ConfigID int
	NonceLen int
	IDKey    []byte // empty: ids are in plaintext
	ResetKey []byte
	Class    int
	Idle     time.Duration
	MaxFlows int
}

// SNMP is the agent.
type SNMP struct {
	Listen    string
	Community string
}

type frontsFile struct {
	QUIC struct {
		Listen   string  `json:"listen"`
		Class    string  `json:"class"`
		ConfigID int     `json:"config_id"`
		NonceLen int     `json:"nonce_length"`
		IDKey    string  `json:"id_key"`
		ResetKey string  `json:"reset_key"`
		Idle     float64 `json:"idle_s"`
		MaxFlows int     `json:"max_flows"`
	} `json:"quic"`
	SNMP struct {
		Listen    string `json:"listen"`
		Community string `json:"community"`
	} `json:"snmp"`
	Resume *resumeFile `json:"resume"`
	Rooms  struct {
		File string `json:"file"`
	} `json:"rooms"`
	Control    *controlFile    `json:"control"`
	Membership *membershipFile `json:"membership"`
}

// Defaults of the fronts.
const (
	defaultNonce    = 8
	defaultIdle     = 30.0
	defaultMaxFlows = 256
	minResetKey     = 16
)

// LoadFronts reads a fronts file; no path means that all are off.
func LoadFronts(path string, classes []decide.Class) (Fronts, error) {
	if path == "" {
		return Fronts{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Fronts{}, fmt.Errorf("fronts: %w", err)
	}
	f, err := ParseFronts(raw, classes, filepath.Dir(path))
	if err != nil {
		return Fronts{}, fmt.Errorf("fronts: %w", err)
	}
	return f, nil
}

// ParseFronts reads the JSON of a fronts file; the paths in it count from base.
func ParseFronts(raw []byte, classes []decide.Class, base string) (f Fronts, err error) {
	var w frontsFile
	if err := json.Unmarshal(raw, &w); err != nil {
		return f, describe(err)
	}
	if w.QUIC.Listen != "" {
		if f.QUIC, err = w.quic(classes); err != nil {
			return f, fmt.Errorf("quic.%w", err)
		}
	}
	if w.SNMP.Listen != "" {
		if _, err := netip.ParseAddrPort(w.SNMP.Listen); err != nil {
			return f, fmt.Errorf("snmp.listen: %q is no address and port", w.SNMP.Listen)
		}
		if w.SNMP.Community == "" {
			return f, errors.New("snmp.community: is missing")
		}
		f.SNMP = SNMP{Listen: w.SNMP.Listen, Community: w.SNMP.Community}
	}
	if f.Rooms = w.Rooms.File; f.Rooms != "" && !filepath.IsAbs(f.Rooms) {
		f.Rooms = filepath.Join(base, f.Rooms)
	}
	if w.Resume != nil && w.Resume.Keys != "" {
		if f.Resume, err = w.Resume.resume(base); err != nil {
			return f, fmt.Errorf("resume.%w", err)
		}
	}
	if w.Control != nil {
		if f.Control, err = w.Control.control(base); err != nil {
			return f, fmt.Errorf("control.%w", err)
		}
		if len(f.Control.Machines) == 0 {
			return f, errors.New("control.machines: is missing")
		}
		if f.Rooms != "" {
			return f, errors.New("control, rooms: both would list the room servers, one of them is expected")
		}
	}
	if w.Membership != nil {
		if f.Membership, err = w.Membership.membership(base); err != nil {
			return f, fmt.Errorf("membership.%w", err)
		}
	}
	return f, nil
}

func (w *frontsFile) quic(classes []decide.Class) (q QUIC, err error) {
	in := w.QUIC
	if _, err := netip.ParseAddrPort(in.Listen); err != nil {
		return q, fmt.Errorf("listen: %q is no address and port", in.Listen)
	}
	q = QUIC{Listen: in.Listen, ConfigID: in.ConfigID, NonceLen: in.NonceLen, MaxFlows: in.MaxFlows}
	if q.Class = slices.IndexFunc(classes, func(c decide.Class) bool { return c.Name == in.Class }); q.Class < 0 {
		return q, fmt.Errorf("class: %q is no class of the settings", in.Class)
	}
	if q.IDKey, err = hex.DecodeString(in.IDKey); err != nil || len(q.IDKey) != 0 && len(q.IDKey) != 16 {
		return q, errors.New("id_key: is not 16 bytes in hexadecimal, or empty")
	}
	if q.ResetKey, err = hex.DecodeString(in.ResetKey); err != nil || len(q.ResetKey) < minResetKey {
		return q, fmt.Errorf("reset_key: is not %d bytes or more in hexadecimal", minResetKey)
	}
	if q.NonceLen == 0 {
		q.NonceLen = defaultNonce
	}
	if q.NonceLen < 4 || q.NonceLen > 15 {
		return q, fmt.Errorf("nonce_length: %d is not within 4 to 15", q.NonceLen)
	}
	if q.ConfigID < 0 || q.ConfigID > 6 {
		return q, fmt.Errorf("config_id: %d is not within 0 to 6", q.ConfigID)
	}
	idle := in.Idle
	if idle == 0 {
		idle = defaultIdle
	}
	if idle < 1 || idle > 3600 {
		return q, fmt.Errorf("idle_s: %v is not within 1 to 3600", idle)
	}
	q.Idle = seconds(idle)
	if q.MaxFlows == 0 {
		q.MaxFlows = defaultMaxFlows
	}
	if q.MaxFlows < 0 {
		return q, fmt.Errorf("max_flows: %d is below 0", q.MaxFlows)
	}
	return q, nil
}
