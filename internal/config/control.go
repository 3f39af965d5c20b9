package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/session/token"
)

// Control lets a balancer follow the control machines. No machines: off.
type Control struct {
	Machines []replica.Server
	Region   string // its own: machines there are asked first
	Site     string // the same at all that share the keys
	KeysFile string
	State    string // the file that keeps the last version over a restart
}

// ControlMachine is a control machine's configuration. It writes what File holds, or follows others.
type ControlMachine struct {
	Listen string
	File   string
	Term   uint64 // of what it writes
	Control
}

// mostMachines bounds the control machines of a configuration.
const mostMachines = 64

// controlFile is the section of a fronts file, and most of a control machine's configuration.
type controlFile struct {
	Machines []struct {
		Address string `json:"address"`
		Region  string `json:"region"`
	} `json:"machines"`
	Region string `json:"region"`
	Site   string `json:"site"`
	Keys   string `json:"keys"`
	State  string `json:"state"`
}

type controlMachineFile struct {
	controlFile
	Listen string `json:"listen"`
	File   string `json:"file"`
	Term   uint64 `json:"term"`
}

func within(base, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}

// control checks the section; base is the folder of the file that it stands in.
func (w controlFile) control(base string) (c Control, err error) {
	c = Control{Region: w.Region, Site: w.Site, KeysFile: within(base, w.Keys), State: within(base, w.State)}
	for _, must := range []struct{ key, value string }{{"region", c.Region}, {"keys", w.Keys}, {"state", w.State}} {
		if must.value == "" {
			return c, fmt.Errorf("%s: is missing", must.key)
		}
	}
	if c.Site == "" || len(c.Site) > token.MaxName {
		return c, fmt.Errorf("site: %q is not 1 to %d bytes long", c.Site, token.MaxName)
	}
	if len(w.Machines) > mostMachines {
		return c, fmt.Errorf("machines: %d of them, %d at most", len(w.Machines), mostMachines)
	}
	seen := map[string]bool{}
	for i, m := range w.Machines {
		if _, err := netip.ParseAddrPort(m.Address); err != nil {
			return c, fmt.Errorf("machines[%d].address: %q is no address and port", i, m.Address)
		}
		if seen[m.Address] {
			return c, fmt.Errorf("machines[%d].address: %q is there twice", i, m.Address)
		}
		if m.Region == "" {
			return c, fmt.Errorf("machines[%d].region: is missing", i)
		}
		seen[m.Address] = true
		c.Machines = append(c.Machines, replica.Server{Address: m.Address, Region: m.Region})
	}
	return c, nil
}

// LoadControlMachine reads a control machine's configuration; the paths in it count from its folder.
func LoadControlMachine(path string) (ControlMachine, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return ControlMachine{}, fmt.Errorf("control: %w", err)
	}
	m, err := parseControlMachine(raw, filepath.Dir(path))
	if err != nil {
		return m, fmt.Errorf("control: %s: %w", path, err)
	}
	return m, nil
}

func parseControlMachine(raw []byte, base string) (m ControlMachine, err error) {
	var w controlMachineFile
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(&w); err != nil {
		return m, describe(err)
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return m, errors.New("more follows the configuration")
	}
	m = ControlMachine{Listen: w.Listen, File: within(base, w.File), Term: w.Term}
	if _, err := netip.ParseAddrPort(w.Listen); err != nil {
		return m, fmt.Errorf("listen: %q is no address and port", w.Listen)
	}
	if m.Control, err = w.control(base); err != nil {
		return m, err
	}
	if (m.File == "") == (len(m.Machines) == 0) {
		return m, errors.New("file, machines: one of both is expected: what it writes, or whom it follows")
	}
	if (m.File == "") != (m.Term == 0) {
		return m, fmt.Errorf("term: %d, above 0 is expected beside file, and nothing beside machines", m.Term)
	}
	for i, other := range m.Machines {
		if other.Address == m.Listen {
			return m, fmt.Errorf("machines[%d].address: %q is its own", i, other.Address)
		}
	}
	return m, nil
}

// Ring reads the keys that the section names. A key is taken for a minute after its end, and the clocks' leeway.
func (c Control) Ring() (*token.Ring, error) { return ringOf(c.KeysFile) }

// ringOf reads the keys by which machines of a site know each other.
func ringOf(path string) (*token.Ring, error) {
	keys, err := ReadKeys(path)
	if err != nil {
		return nil, err
	}
	ring, err := token.NewRing(keys, time.Minute)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	if ring.Sealing(time.Now()) == "" {
		return nil, errors.New("keys: " + path + ": no key seals now, see not_before and not_after")
	}
	return ring, nil
}
