package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// datagramTest is a sender of datagrams and a receiver, with a proxy between them.
type datagramTest struct {
	sender   net.Conn
	receiver *net.UDPConn
}

// newDatagramTest starts a receiver, a proxy that forwards to it with the faults of the path, and a sender.
func newDatagramTest(t *testing.T, path *Path) *datagramTest {
	t.Helper()
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { receiver.Close() })
	target := netip.MustParseAddrPort(receiver.LocalAddr().String())
	proxy, err := NewDatagramProxy(netip.MustParseAddrPort("127.0.0.1:0"), target, path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	sender, err := net.Dial("udp", proxy.conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.Close() })
	return &datagramTest{sender, receiver}
}

// received sends datagrams and returns how many arrive. It waits until none has arrived for 400 ms.
func (d *datagramTest) received(sent int) (n int) {
	const wait = 400 * time.Millisecond
	for range sent {
		io.WriteString(d.sender, "x")
		time.Sleep(time.Millisecond)
	}
	buffer := make([]byte, 10)
	for {
		d.receiver.SetReadDeadline(time.Now().Add(wait))
		if _, err := d.receiver.Read(buffer); err != nil {
			return n
		}
		n++
	}
}

// Datagrams are forwarded, dropped and duplicated according to the path's conditions. Delayed and reordered ones
// arrive too.
func TestDatagrams(t *testing.T) {
	path := NewPath(3)
	d := newDatagramTest(t, path)
	if n := d.received(20); n != 20 {
		t.Errorf("%d of 20 datagrams were forwarded, want all", n)
	}
	path.Set(Conditions{Cut: true})
	if n := d.received(20); n != 0 {
		t.Errorf("%d datagrams crossed a cut, want none", n)
	}
	path.Set(Conditions{Loss: 0.5})
	if n := d.received(200); n < 60 || n > 140 {
		t.Errorf("%d of 200 datagrams arrived at a loss of 0.5, want 60 to 140", n)
	}
	path.Set(Conditions{Duplicate: 1, Delay: 10 * time.Millisecond, Jitter: 10 * time.Millisecond, Reorder: 0.5})
	if n := d.received(20); n != 40 {
		t.Errorf("%d datagrams arrived of 20 that were duplicated, want 40", n)
	}
}
