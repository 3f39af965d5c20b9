package gossip

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// maxDatagram is the longest accepted datagram in bytes. The library sends up to 1,400 bytes and the overhead of the
	// encryption.
	maxDatagram = 2048
	// discardTimeout is the time without a datagram from the library's listener after which discardPackets stops.
	discardTimeout = time.Second
)

// transport wraps the library's transport. If via maps the address of a peer to another address, it sends the frames
// for the peer there. It also drops received datagrams that are too long or replayed, and counts frames.
type transport struct {
	*memberlist.NetTransport
	via      map[netip.AddrPort]netip.AddrPort
	counters *counters
	// packets delivers the accepted datagrams to the library.
	packets chan *memberlist.Packet
	// stop ends the goroutine of filterPackets; Shutdown closes it.
	stop     chan struct{}
	stopOnce sync.Once
	// replays is used only by the goroutine of filterPackets.
	replays replayFilter
}

// newTransport wraps inner. via maps the advertised addresses of peers to the addresses to which frames for them are
// sent. newTransport starts a goroutine that Shutdown ends.
func newTransport(
	inner *memberlist.NetTransport, via map[netip.AddrPort]netip.AddrPort, counters *counters,
) *transport {
	t := &transport{
		NetTransport: inner,
		via:          via,
		counters:     counters,
		packets:      make(chan *memberlist.Packet),
		stop:         make(chan struct{}),
	}
	go t.filterPackets()
	return t
}

// route returns the address to which frames for a peer are sent. That is the address in via, or else the peer's own.
func (t *transport) route(peer string) string {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return peer
	}
	if routed, ok := t.via[address]; ok {
		return routed.String()
	}
	return peer
}

// WriteToAddress implements memberlist.NodeAwareTransport: it sends a datagram.
func (t *transport) WriteToAddress(datagram []byte, peer memberlist.Address) (time.Time, error) {
	peer.Addr = t.route(peer.Addr)
	t.counters.bytesSent.Add(uint64(len(datagram)))
	t.counters.framesSent.Add(1)
	return t.NetTransport.WriteToAddress(datagram, peer)
}

// WriteTo implements memberlist.Transport: it sends a datagram.
func (t *transport) WriteTo(datagram []byte, peer string) (time.Time, error) {
	return t.WriteToAddress(datagram, memberlist.Address{Addr: peer})
}

// DialAddressTimeout implements memberlist.NodeAwareTransport: it opens a stream.
func (t *transport) DialAddressTimeout(peer memberlist.Address, timeout time.Duration) (net.Conn, error) {
	peer.Addr = t.route(peer.Addr)
	conn, err := t.NetTransport.DialAddressTimeout(peer, timeout)
	if err != nil {
		return nil, err
	}
	t.counters.framesSent.Add(1)
	return &countingConn{conn, t.counters}, nil
}

// DialTimeout implements memberlist.Transport: it opens a stream.
func (t *transport) DialTimeout(peer string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: peer}, timeout)
}

// PacketCh implements memberlist.Transport: it returns the received datagrams that were not dropped.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// Shutdown implements memberlist.Transport: it closes the sockets.
func (t *transport) Shutdown() error {
	t.stopOnce.Do(func() { close(t.stop) })
	return t.NetTransport.Shutdown()
}

// filterPackets forwards the accepted datagrams from the wrapped transport to packets, until Shutdown.
func (t *transport) filterPackets() {
	for {
		select {
		case <-t.stop:
			t.discardPackets()
			return
		case packet := <-t.NetTransport.PacketCh():
			if !t.accepts(packet.Buf) {
				continue
			}
			select {
			case t.packets <- packet:
			case <-t.stop:
			}
		}
	}
}

// discardPackets receives and discards the datagrams that the library's listener still delivers after the shutdown
// began. The listener's channel has no buffer, so the listener would block and never end otherwise.
func (t *transport) discardPackets() {
	for {
		select {
		case <-t.NetTransport.PacketCh():
		case <-time.After(discardTimeout):
			return
		}
	}
}

// accepts reports whether a datagram is neither too long nor a replay. It counts a datagram that it does not accept.
func (t *transport) accepts(datagram []byte) bool {
	if len(datagram) > maxDatagram {
		t.counters.tooLong.Add(1)
		return false
	}
	if len(datagram) >= nonceEnd && !t.replays.add(nonce(datagram[nonceStart:nonceEnd])) {
		t.counters.replayed.Add(1)
		return false
	}
	return true
}

// countingConn is a connection that counts the bytes sent.
type countingConn struct {
	net.Conn
	counters *counters
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Add(uint64(n))
	return n, err
}
