package gossip

import (
	"net"
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// conflictProbes is how often the other process with this instance's name is probed.
const conflictProbes = 3

// resolveNameConflict handles another process with this instance's name at another address. The process that started
// first keeps the name; the other one ends its membership if the first one answers.
func (s *session) resolveNameConflict(other *memberlist.Node) {
	metadata, err := decodeMetadata(other.Meta)
	if err != nil || metadata.Incarnation > s.metadata.Load().Incarnation {
		return
	}
	address := nodeAddress(other)
	go func() {
		for range conflictProbes {
			if s.ping(other.Name, address) {
				s.nameConflict.Store(true)
				return
			}
		}
	}()
}

// nodeAddress returns a node's host and port. An IPv4 address is never in its IPv6-mapped form.
func nodeAddress(node *memberlist.Node) string {
	return netip.AddrPortFrom(unmappedAddress(node.Addr), node.Port).String()
}

func unmappedAddress(ip net.IP) netip.Addr {
	address, _ := netip.AddrFromSlice(ip)
	return address.Unmap()
}
