package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode"

	"cottonplank/internal/session/token"
)

// Membership lets an instance be a member of the balancers' cluster. An empty Listen is off.
type Membership struct {
	Name          string // unique in the cluster
	Listen        netip.AddrPort
	Zone          string
	Region        string
	Seeds         []netip.AddrPort
	KeysFile      string
	Via           map[netip.AddrPort]netip.AddrPort // by which address a peer is reached, where that is another one
	PartitionHold time.Duration                     // no cut lasts longer
}

type membershipFile struct {
	Name          string            `json:"name"`
	Listen        string            `json:"listen"`
	Zone          string            `json:"zone"`
	Region        string            `json:"region"`
	Seeds         []string          `json:"seeds"`
	Keys          string            `json:"keys"`
	Via           map[string]string `json:"via"`
	PartitionHold float64           `json:"partition_hold_s"`
}

// Bounds and defaults of the membership.
const (
	maxMemberName        = 64 // bytes; names, zones and regions travel in each member's description, which the library bounds
	maxSeeds             = 64
	defaultPartitionHold = 3600.0
	minPartitionHold     = 240.0 // twice the detection time of 2,300 members, with a margin
	maxPartitionHold     = 7 * 24 * 3600.0
)

// membership checks the section; base is the folder of the file that it stands in.
func (w membershipFile) membership(base string) (m Membership, err error) {
	m = Membership{Name: w.Name, Zone: w.Zone, Region: w.Region, KeysFile: within(base, w.Keys)}
	for _, must := range []struct{ key, value string }{{"name", w.Name}, {"zone", w.Zone}, {"region", w.Region}} {
		if !isMemberName(must.value) {
			return m, fmt.Errorf("%s: %q is not 1 to %d printable bytes long", must.key, must.value, maxMemberName)
		}
	}
	if w.Keys == "" {
		return m, errors.New("keys: is missing")
	}
	if m.Listen, err = netip.ParseAddrPort(w.Listen); err != nil || m.Listen.Addr().IsUnspecified() || m.Listen.Port() == 0 {
		return m, fmt.Errorf("listen: %q is not the address and port at which the other members reach it", w.Listen)
	}
	if len(w.Seeds) > maxSeeds {
		return m, fmt.Errorf("seeds: %d of them, %d at most", len(w.Seeds), maxSeeds)
	}
	for i, text := range w.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return m, fmt.Errorf("seeds[%d]: %q is no address and port", i, text)
		}
		m.Seeds = append(m.Seeds, seed)
	}
	if m.Via, err = parseVia(w.Via); err != nil {
		return m, err
	}
	hold := w.PartitionHold
	if hold == 0 {
		hold = defaultPartitionHold
	}
	if !(hold >= minPartitionHold && hold <= maxPartitionHold) {
		return m, fmt.Errorf("partition_hold_s: %v is not within %v to %v", hold, minPartitionHold, maxPartitionHold)
	}
	m.PartitionHold = seconds(hold)
	return m, nil
}

func isMemberName(text string) bool {
	if text == "" || len(text) > maxMemberName {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) || unicode.IsSpace(r) {
			return false
		}
	}
	return true
}

func parseVia(texts map[string]string) (map[netip.AddrPort]netip.AddrPort, error) {
	via := map[netip.AddrPort]netip.AddrPort{}
	for peer, text := range texts {
		from, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("via: %q is no address and port", peer)
		}
		to, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("via[%q]: %q is no address and port", peer, text)
		}
		via[from] = to
	}
	return via, nil
}

// Ring reads the keys that the section names. A key is taken for a minute after its end, and the clocks' leeway.
func (m Membership) Ring() (*token.Ring, error) { return ringOf(m.KeysFile) }
