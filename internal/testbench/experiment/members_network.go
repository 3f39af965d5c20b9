package experiment

// The network between the members of a run: a relay for each ordered pair, and the faults that disturb it.

import (
	"fmt"
	"net"
	"net/netip"
	"strings"

	"cottonplank/internal/testbench/faultproxy"
)

// memberNetwork is a relay for each ordered pair of instances.
type memberNetwork struct {
	addresses []netip.AddrPort
	paths     [][]*faultproxy.Path
	relays    [][]*memberRelay
	cuts      [][]int // faults that cut a path now
	noises    []faultproxy.Conditions
	paused    []bool
	chosen    map[netip.AddrPort]bool // addresses of the instances and the relays: an instance binds its own later
}

// memberRelay leads from one instance to another.
type memberRelay struct {
	address   netip.AddrPort
	datagrams *faultproxy.Datagrams
	streams   *faultproxy.Port
}

func newMemberNetwork(n int, seed uint64) *memberNetwork {
	w := &memberNetwork{paused: make([]bool, n), chosen: map[netip.AddrPort]bool{}}
	for i := range n {
		w.paths, w.cuts, w.relays = append(w.paths, make([]*faultproxy.Path, n)), append(w.cuts, make([]int, n)), append(w.relays, make([]*memberRelay, n))
		for j := range n {
			w.paths[i][j] = faultproxy.NewPath(seed*1_000_003 + uint64(i*n+j))
		}
	}
	return w
}

// open chooses the instances' addresses and opens the relays.
func (w *memberNetwork) open() error {
	for range w.paths {
		address, err := w.freeAddress()
		if err != nil {
			return err
		}
		w.addresses = append(w.addresses, address)
	}
	for i := range w.paths {
		for j := range w.paths {
			if i == j {
				continue
			}
			r, err := w.relay(i, j)
			if err != nil {
				return err
			}
			w.relays[i][j] = r
		}
	}
	return nil
}

func (w *memberNetwork) relay(i, j int) (*memberRelay, error) {
	to := w.addresses[j].String()
	address, err := w.freeAddress()
	if err != nil {
		return nil, err
	}
	r := &memberRelay{address: address}
	if r.datagrams, err = faultproxy.NewDatagrams(address, w.addresses[j], w.paths[i][j]); err != nil {
		return nil, err
	}
	link := faultproxy.NewLinkOver(w.paths[i][j], w.paths[j][i], func(*faultproxy.Port) string { return to })
	if r.streams, err = link.PortAt(i, address.String()); err != nil {
		r.datagrams.Close()
		return nil, err
	}
	return r, nil
}

func (w *memberNetwork) close() {
	for _, row := range w.relays {
		for _, r := range row {
			if r != nil {
				r.datagrams.Close()
				r.streams.Close()
			}
		}
	}
}

// freeAddress is a loopback address whose port is free for TCP and UDP.
func (w *memberNetwork) freeAddress() (netip.AddrPort, error) {
	const attempts = 50
	for range attempts {
		text, err := freePort()
		if err != nil {
			return netip.AddrPort{}, err
		}
		address := netip.MustParseAddrPort(strings.Replace(text, "127.0.0.1", "127.79.0.1", 1))
		if w.chosen[address] {
			continue
		}
		if conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err == nil {
			conn.Close()
			w.chosen[address] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no port is free for both TCP and UDP after %d attempts", attempts)
}

// disturb begins or ends a fault of the network.
func (w *memberNetwork) disturb(f memberFault, begins bool, note func(memberEvent)) {
	if f.Kind == faultNoise {
		w.noise(f.Noise, begins)
	}
	for i := range w.paths {
		for j := range w.paths {
			if i != j && f.cuts(i, j) {
				w.cut(i, j, begins, note)
			}
		}
	}
	w.apply()
}

// cuts tells whether the fault cuts the path between two members.
func (f memberFault) cuts(from, to int) bool {
	switch f.Kind {
	case faultOneWay:
		return from == f.Members[0] && to == f.Members[1]
	case faultPair:
		return from == f.Members[0] && to == f.Members[1] || from == f.Members[1] && to == f.Members[0]
	case faultMute:
		return from == f.Members[0]
	case faultDeaf:
		return to == f.Members[0]
	case faultPartition:
		return contains(f.Members, from) != contains(f.Members, to)
	}
	return false
}

func contains(members []int, member int) bool {
	for _, m := range members {
		if m == member {
			return true
		}
	}
	return false
}

func (w *memberNetwork) cut(i, j int, begins bool, note func(memberEvent)) {
	if begins {
		w.cuts[i][j]++
	} else {
		w.cuts[i][j]--
	}
	switch {
	case begins && w.cuts[i][j] == 1:
		note(memberEvent{Kind: pathCut, Member: i, Other: j})
	case !begins && w.cuts[i][j] == 0:
		note(memberEvent{Kind: pathHealed, Member: i, Other: j})
	}
}

func (w *memberNetwork) noise(c faultproxy.Conditions, begins bool) {
	if begins {
		w.noises = append(w.noises, c)
		return
	}
	for i, other := range w.noises {
		if other == c {
			w.noises = append(w.noises[:i], w.noises[i+1:]...)
			return
		}
	}
}

// apply sets all paths as the faults of now want them; noises add up.
func (w *memberNetwork) apply() {
	var noise faultproxy.Conditions
	for _, c := range w.noises {
		noise.Loss = max(noise.Loss, c.Loss)
		noise.Duplicate = max(noise.Duplicate, c.Duplicate)
		noise.Reorder = max(noise.Reorder, c.Reorder)
		noise.Delay += c.Delay
		noise.Jitter += c.Jitter
	}
	for i := range w.paths {
		for j := range w.paths {
			c := noise
			c.Cut = w.cuts[i][j] > 0
			w.paths[i][j].Set(c)
		}
	}
}
