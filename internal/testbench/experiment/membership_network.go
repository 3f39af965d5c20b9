package experiment

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"

	"cottonplank/internal/testbench/faultproxy"
)

const (
	// memberIP is the IP address of the members and proxies. It is not 127.0.0.1, because outgoing connections from
	// 127.0.0.1 could take the chosen ports before the members and proxies listen.
	memberIP = "127.79.0.1"
	// maxAddressAttempts is the number of ports that freeAddress tries.
	maxAddressAttempts = 50
)

// errNoFreePort is returned when freeAddress has found no port that is free for both TCP and UDP.
var errNoFreePort = errors.New("no port is free for both TCP and UDP")

// membershipNetwork has a proxy for each ordered pair of instances, which injects faults into the traffic between them.
type membershipNetwork struct {
	addresses []netip.AddrPort
	paths     [][]*faultproxy.Path
	proxies   [][]*memberProxy
	// cuts counts, for each path, the current faults that cut it.
	cuts [][]int
	// noises holds the current noise faults, which concern all paths.
	noises []faultproxy.Conditions
	// reserved holds the addresses that freeAddress has returned. Their ports may still be free, because instances and
	// proxies begin to listen later.
	reserved map[netip.AddrPort]bool
}

// memberProxy forwards datagrams and streams from one instance to another.
type memberProxy struct {
	address   netip.AddrPort
	datagrams *faultproxy.DatagramProxy
	streams   *faultproxy.Port
}

// newMembershipNetwork returns a network without proxies; open opens them. The seed determines the random choices of
// its paths.
func newMembershipNetwork(instances int, seed uint64) *membershipNetwork {
	n := &membershipNetwork{reserved: map[netip.AddrPort]bool{}}
	for i := range instances {
		n.paths = append(n.paths, make([]*faultproxy.Path, instances))
		n.cuts = append(n.cuts, make([]int, instances))
		n.proxies = append(n.proxies, make([]*memberProxy, instances))
		for j := range instances {
			n.paths[i][j] = faultproxy.NewPath(seed*seedStride + uint64(i*instances+j))
		}
	}
	return n
}

// open chooses the addresses of the instances and opens the proxies.
func (n *membershipNetwork) open() error {
	for range n.paths {
		address, err := n.freeAddress()
		if err != nil {
			return err
		}
		n.addresses = append(n.addresses, address)
	}
	for i := range n.paths {
		for j := range n.paths {
			if i == j {
				continue
			}
			proxy, err := n.openProxy(i, j)
			if err != nil {
				return err
			}
			n.proxies[i][j] = proxy
		}
	}
	return nil
}

// openProxy opens the proxy from one instance to another.
func (n *membershipNetwork) openProxy(from, to int) (*memberProxy, error) {
	target := n.addresses[to]
	address, err := n.freeAddress()
	if err != nil {
		return nil, err
	}
	datagrams, err := faultproxy.NewDatagramProxy(address, target, n.paths[from][to])
	if err != nil {
		return nil, err
	}
	link := faultproxy.NewLinkWithPaths(n.paths[from][to], n.paths[to][from], func(*faultproxy.Port) string {
		return target.String()
	})
	streams, err := link.PortAt(from, address.String())
	if err != nil {
		datagrams.Close()
		return nil, err
	}
	return &memberProxy{address: address, datagrams: datagrams, streams: streams}, nil
}

// close closes the proxies.
func (n *membershipNetwork) close() {
	for _, row := range n.proxies {
		for _, proxy := range row {
			if proxy != nil {
				proxy.datagrams.Close()
				proxy.streams.Close()
			}
		}
	}
}

// freeAddress returns an address at memberIP that it has not returned before. Its port is free for UDP at memberIP, and
// for TCP at 127.0.0.1.
func (n *membershipNetwork) freeAddress() (netip.AddrPort, error) {
	for range maxAddressAttempts {
		text, err := freeAddress()
		if err != nil {
			return netip.AddrPort{}, err
		}
		address := netip.MustParseAddrPort(strings.Replace(text, "127.0.0.1", memberIP, 1))
		if n.reserved[address] {
			continue
		}
		if conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err == nil {
			conn.Close()
			n.reserved[address] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("%w after %d attempts", errNoFreePort, maxAddressAttempts)
}

// begin begins a fault of the network and records the paths that it cuts and that were not cut before.
func (n *membershipNetwork) begin(f membershipFault, record func(membershipEvent)) {
	if f.Kind == faultNoise {
		n.noises = append(n.noises, f.Noise)
	}
	n.forEachCut(f, func(from, to int) {
		n.cuts[from][to]++
		if n.cuts[from][to] == 1 {
			record(membershipEvent{Kind: pathCut, Member: from, Other: to})
		}
	})
	n.apply()
}

// end ends a fault of the network and records the paths that are no longer cut.
func (n *membershipNetwork) end(f membershipFault, record func(membershipEvent)) {
	if f.Kind == faultNoise {
		if i := slices.Index(n.noises, f.Noise); i >= 0 {
			n.noises = slices.Delete(n.noises, i, i+1)
		}
	}
	n.forEachCut(f, func(from, to int) {
		n.cuts[from][to]--
		if n.cuts[from][to] == 0 {
			record(membershipEvent{Kind: pathHealed, Member: from, Other: to})
		}
	})
	n.apply()
}

// forEachCut calls a function for each path that a fault of the network cuts.
func (n *membershipNetwork) forEachCut(f membershipFault, call func(from, to int)) {
	for i := range n.paths {
		for j := range n.paths {
			if i != j && f.cuts(i, j) {
				call(i, j)
			}
		}
	}
}

// apply sets the conditions of all paths according to the current faults. If several noise faults are active, each
// probability is the maximum over them, and Delay and Jitter are the sums over them.
func (n *membershipNetwork) apply() {
	var noise faultproxy.Conditions
	for _, c := range n.noises {
		noise.Loss = max(noise.Loss, c.Loss)
		noise.Duplicate = max(noise.Duplicate, c.Duplicate)
		noise.Reorder = max(noise.Reorder, c.Reorder)
		noise.Delay += c.Delay
		noise.Jitter += c.Jitter
	}
	for i := range n.paths {
		for j := range n.paths {
			conditions := noise
			conditions.Cut = n.cuts[i][j] > 0
			n.paths[i][j].Set(conditions)
		}
	}
}
