package gossip

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxDatagram = 2048 // bytes; the library sends 1,400 and what its cipher adds
	nonceStart  = 1    // an encrypted datagram begins with a version byte,
	nonceEnd    = 13   // and a nonce that no other has
	noncesKept  = 8192 // in each of two generations
)

// transport wraps the library's: it reaches peers by other addresses where the settings name these, and drops
// datagrams that are too long or were seen before.
type transport struct {
	*memberlist.NetTransport
	via     map[netip.AddrPort]netip.AddrPort
	packets chan *memberlist.Packet
	stop    chan struct{}
	once    sync.Once
	seen    nonces
	counts  *counters
}

// counters are of all frames since the process's start.
type counters struct {
	sent     atomic.Uint64 // bytes, of datagrams and streams
	frames   atomic.Uint64 // datagrams sent, and streams opened
	tooLong  atomic.Uint64
	replayed atomic.Uint64
	refused  atomic.Uint64 // malformed, under a wrong key, or of no use to the library
}

func newTransport(inner *memberlist.NetTransport, via map[netip.AddrPort]netip.AddrPort, counts *counters) *transport {
	t := &transport{NetTransport: inner, via: via, packets: make(chan *memberlist.Packet), stop: make(chan struct{}), counts: counts}
	go t.filter()
	return t
}

// address is where a peer is reached.
func (t *transport) address(peer string) string {
	parsed, err := netip.ParseAddrPort(peer)
	if err != nil {
		return peer
	}
	if to, ok := t.via[parsed]; ok {
		return to.String()
	}
	return peer
}

// WriteToAddress sends a datagram.
func (t *transport) WriteToAddress(frame []byte, peer memberlist.Address) (time.Time, error) {
	peer.Addr = t.address(peer.Addr)
	t.counts.sent.Add(uint64(len(frame)))
	t.counts.frames.Add(1)
	return t.NetTransport.WriteToAddress(frame, peer)
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(frame []byte, peer string) (time.Time, error) {
	return t.WriteToAddress(frame, memberlist.Address{Addr: peer})
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(peer memberlist.Address, timeout time.Duration) (net.Conn, error) {
	peer.Addr = t.address(peer.Addr)
	conn, err := t.NetTransport.DialAddressTimeout(peer, timeout)
	if err != nil {
		return nil, err
	}
	t.counts.frames.Add(1)
	return &countedConn{conn, t.counts}, nil
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(peer string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: peer}, timeout)
}

// PacketCh brings the datagrams that came, but those that are dropped.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// Shutdown closes the sockets.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.stop) })
	return t.NetTransport.Shutdown()
}

func (t *transport) filter() {
	for {
		select {
		case <-t.stop:
			t.drain()
			return
		case p := <-t.NetTransport.PacketCh():
			if !t.sound(p.Buf) {
				continue
			}
			select {
			case t.packets <- p:
			case <-t.stop:
			}
		}
	}
}

// drain takes what the library's listener still wants to hand over, so that it can end.
func (t *transport) drain() {
	for {
		select {
		case <-t.NetTransport.PacketCh():
		case <-time.After(time.Second):
			return
		}
	}
}

func (t *transport) sound(frame []byte) bool {
	if len(frame) > maxDatagram {
		t.counts.tooLong.Add(1)
		return false
	}
	if len(frame) >= nonceEnd && !t.seen.add([nonceEnd - nonceStart]byte(frame[nonceStart:nonceEnd])) {
		t.counts.replayed.Add(1)
		return false
	}
	return true
}

// nonces remembers those of the latest datagrams.
type nonces struct {
	recent, older map[[nonceEnd - nonceStart]byte]struct{}
}

// add tells whether a nonce is new.
func (n *nonces) add(nonce [nonceEnd - nonceStart]byte) bool {
	_, recent := n.recent[nonce]
	_, older := n.older[nonce]
	if recent || older {
		return false
	}
	if n.recent == nil || len(n.recent) >= noncesKept {
		n.recent, n.older = map[[nonceEnd - nonceStart]byte]struct{}{}, n.recent
	}
	n.recent[nonce] = struct{}{}
	return true
}

// countedConn counts the bytes that are sent.
type countedConn struct {
	net.Conn
	counts *counters
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.sent.Add(uint64(n))
	return n, err
}
