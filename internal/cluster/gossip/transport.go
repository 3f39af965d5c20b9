package gossip

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// maxDatagram is the longest datagram in bytes that is accepted. The library sends 1,400 and what encryption
	// adds.
	maxDatagram = 2048
	// discardTimeout is how long a datagram may take to arrive from the library's listener after the shutdown began.
	discardTimeout = time.Second
)

// transport wraps the library's transport. It reaches peers by other addresses where the settings say so, drops
// datagrams that are too long or were received before, and counts frames.
type transport struct {
	*memberlist.NetTransport
	via      map[netip.AddrPort]netip.AddrPort
	counters *counters
	// packets are the datagrams that were not dropped.
	packets chan *memberlist.Packet
	// stop ends the goroutine that filters datagrams; Shutdown closes it.
	stop     chan struct{}
	stopOnce sync.Once
	// replays belongs to the goroutine that filters datagrams.
	replays replayFilter
}

// newTransport wraps inner. via maps the addresses of peers to those by which they are reached. Shutdown ends the
// transport's goroutine.
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

// route returns the address by which a peer is reached.
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

// filterPackets passes received datagrams on until the shutdown.
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

// discardPackets receives what the library's listener still sends, because the listener could not end otherwise.
func (t *transport) discardPackets() {
	for {
		select {
		case <-t.NetTransport.PacketCh():
		case <-time.After(discardTimeout):
			return
		}
	}
}

// accepts reports whether a datagram is neither too long nor a replay, and counts it otherwise.
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

// countingConn counts the bytes that are sent.
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
