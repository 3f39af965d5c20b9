package gossip

import (
	"net"
	"net/netip"

	"github.com/hashicorp/memberlist"
)

// conflictProbes is the maximum number of probes that are sent to another process with this instance's name.
const conflictProbes = 3

// resolveNameConflict handles the case that another process uses this instance's name at another address. The process
// with the lower incarnation, usually the process that started first, keeps the name. The process with the higher
// incarnation ends its membership if the other process answers a probe. With equal incarnations, each process ends its
// membership if the other process answers. resolveNameConflict may be called from any goroutine.
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

// nodeAddress returns a node's host and port. It converts an IPv4-mapped IPv6 address to IPv4.
func nodeAddress(node *memberlist.Node) string {
	return netip.AddrPortFrom(unmappedAddress(node.Addr), node.Port).String()
}

func unmappedAddress(ip net.IP) netip.Addr {
	address, _ := netip.AddrFromSlice(ip)
	return address.Unmap()
}
