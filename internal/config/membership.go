package config

import (
	"fmt"
	"net/netip"
	"time"
	"unicode"

	"cottonplank/internal/session/token"
)

// Membership configures the instance as a member of the balancers' cluster. An empty Name switches membership off.
type Membership struct {
	Name     string         // unique in the cluster
	Listen   netip.AddrPort // gossip address, at which the other members reach this instance
	Zone     string
	Region   string
	Seeds    []netip.AddrPort // members through which the instance joins
	KeysFile string

	// DialAddresses maps the gossip address of a peer to the address to dial for it, if the two differ.
	DialAddresses map[netip.AddrPort]netip.AddrPort
	// MaxPartitionDuration is how long members that have failed, or that a partition has cut off, still count in the
	// fleet size. It has to be longer than any partition.
	MaxPartitionDuration time.Duration
}

// membershipFile is the section membership of a fronts file.
type membershipFile struct {
	Name              string            `json:"name"`
	Listen            string            `json:"listen"`
	Zone              string            `json:"zone"`
	Region            string            `json:"region"`
	Seeds             []string          `json:"seeds"`
	Keys              string            `json:"keys"`
	Via               map[string]string `json:"via"`
	PartitionHoldDown float64           `json:"partition_hold_s"`
}

// Defaults and bounds of the section; times in seconds.
const (
	maxMemberName            = 64 // bytes of a name, zone or region; gossip limits the size of a member's metadata
	maxSeeds                 = 64
	defaultPartitionHoldDown = 3600.0
	// minPartitionHoldDown is twice the detection time of a cluster of 2,300 members, with a margin. Package
	// cluster/membership rejects a value below twice the detection time.
	minPartitionHoldDown = 240.0
	maxPartitionHoldDown = 7 * 24 * 3600.0
)

// decode validates and converts the section; paths in it are relative to base.
func (f membershipFile) decode(base string) (Membership, error) {
	for _, name := range []struct{ key, value string }{{"name", f.Name}, {"zone", f.Zone}, {"region", f.Region}} {
		if !isMemberName(name.value) {
			reason := fmt.Sprintf("is invalid: expected 1 to %d bytes of printable characters, without spaces", maxMemberName)
			return Membership{}, invalid(name.key, name.value, reason)
		}
	}
	if f.Keys == "" {
		return Membership{}, missing("keys")
	}
	listen, err := netip.ParseAddrPort(f.Listen)
	if err != nil || listen.Addr().IsUnspecified() || listen.Port() == 0 {
		reason := "is invalid: expected the IP:PORT at which other members reach this one"
		return Membership{}, invalid("listen", f.Listen, reason)
	}
	seeds, err := parseSeeds(f.Seeds)
	if err != nil {
		return Membership{}, err
	}
	via, err := parseVia(f.Via)
	if err != nil {
		return Membership{}, err
	}
	hold, err := f.partitionHoldDown()
	if err != nil {
		return Membership{}, err
	}
	return Membership{
		Name:                 f.Name,
		Listen:               listen,
		Zone:                 f.Zone,
		Region:               f.Region,
		Seeds:                seeds,
		KeysFile:             resolvePath(base, f.Keys),
		DialAddresses:        via,
		MaxPartitionDuration: hold,
	}, nil
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

func parseSeeds(texts []string) ([]netip.AddrPort, error) {
	if len(texts) > maxSeeds {
		return nil, invalid("seeds", len(texts), fmt.Sprintf("entries found, expected at most %d", maxSeeds))
	}
	var seeds []netip.AddrPort
	for i, text := range texts {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, invalid(fmt.Sprintf("seeds[%d]", i), text, reasonInvalidAddress)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func parseVia(texts map[string]string) (map[netip.AddrPort]netip.AddrPort, error) {
	via := map[netip.AddrPort]netip.AddrPort{}
	for peerText, dialText := range texts {
		peer, err := netip.ParseAddrPort(peerText)
		if err != nil {
			return nil, invalid("via", peerText, reasonInvalidAddress)
		}
		dial, err := netip.ParseAddrPort(dialText)
		if err != nil {
			return nil, invalid(fmt.Sprintf("via[%q]", peerText), dialText, reasonInvalidAddress)
		}
		via[peer] = dial
	}
	return via, nil
}

func (f membershipFile) partitionHoldDown() (time.Duration, error) {
	hold := f.PartitionHoldDown
	if hold == 0 {
		hold = defaultPartitionHoldDown
	}
	if !(hold >= minPartitionHoldDown && hold <= maxPartitionHoldDown) {
		reason := fmt.Sprintf("is out of range: expected %v to %v", minPartitionHoldDown, maxPartitionHoldDown)
		return 0, invalid("partition_hold_s", hold, reason)
	}
	return seconds(hold), nil
}

// LoadRing reads the keys that the members of the cluster share. It returns an error if none of the keys can seal now.
func (m Membership) LoadRing() (*token.Ring, error) { return loadRing(m.KeysFile, peerKeyGrace) }
