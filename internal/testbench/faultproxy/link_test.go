package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// startEchoServer answers all that comes on any connection.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *Port) net.Conn {
	c, err := net.Dial("tcp", p.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// echoed writes a word and tells whether it comes back.
func echoed(c net.Conn, word string) bool {
	if _, err := io.WriteString(c, word); err != nil {
		return false
	}
	got := make([]byte, len(word))
	_, err := io.ReadFull(c, got)
	return err == nil && string(got) == word
}

// A link carries and counts what crosses it, is as slow as it is told, and carries nothing while it is down.
func TestLink(t *testing.T) {
	at := startEchoServer(t)
	link := NewLink(func(*Port) string { return at })
	p, err := link.Port(0)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := dial(t, p)
	if !echoed(c, "hello") {
		t.Fatal("nothing came back")
	}
	if bytes, calls := p.Counts(); bytes != 10 || calls != 1 {
		t.Errorf("%d bytes, %d calls", bytes, calls)
	}
	link.Throttle(50*time.Millisecond, 0)
	begun := time.Now()
	if !echoed(c, "hello") || time.Since(begun) < 100*time.Millisecond {
		t.Errorf("it took %v", time.Since(begun))
	}
	link.Throttle(0, 100<<10)
	begun = time.Now()
	if !echoed(c, string(make([]byte, 30<<10))) || time.Since(begun) < 300*time.Millisecond {
		t.Errorf("60 KB at 100 KB/s took %v", time.Since(begun))
	}
	link.Throttle(0, 0)
	link.Disconnect()
	if echoed(c, "hello") || echoed(dial(t, p), "hello") {
		t.Error("it carries while it is down")
	}
	link.Reconnect()
	if !echoed(dial(t, p), "hello") {
		t.Error("it does not carry again")
	}
	nowhere, err := NewLink(func(*Port) string { return "" }).Port(1)
	if err != nil {
		t.Fatal(err)
	}
	defer nowhere.Close()
	if echoed(dial(t, nowhere), "hello") {
		t.Error("it leads to nowhere")
	}
}

// A port that closes ends its own connections and no other's.
func TestPortCloses(t *testing.T) {
	at := startEchoServer(t)
	link := NewLink(func(*Port) string { return at })
	one, err := link.Port(0)
	if err != nil {
		t.Fatal(err)
	}
	other, err := link.Port(1)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c, d := dial(t, one), dial(t, other)
	if !echoed(c, "a") || !echoed(d, "b") {
		t.Fatal("nothing came back")
	}
	one.Close()
	if echoed(c, "a") || !echoed(d, "b") {
		t.Error("the wrong one ended")
	}
}

// A cut of one direction holds back the bytes of that direction alone, and they come when it ends.
func TestCutOfOneDirection(t *testing.T) {
	at := startEchoServer(t)
	forward, back := NewPath(1), NewPath(2)
	p, err := NewLinkOver(forward, back, func(*Port) string { return at }).Port(0)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := dial(t, p)
	back.Set(Conditions{Cut: true})
	io.WriteString(c, "hello")
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, _ := c.Read(make([]byte, 10)); n > 0 {
		t.Error("bytes cross a cut")
	}
	back.Set(Conditions{})
	c.SetDeadline(time.Now().Add(10 * time.Second))
	got := make([]byte, 5)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "hello" {
		t.Errorf("after the cut: %q, %v", got, err)
	}
	forward.Set(Conditions{Loss: 1})
	if echoed(dial(t, p), "hello") {
		t.Error("a stream is taken though all are lost")
	}
}

// Datagrams are carried, lost, doubled and held up as the path says.
func TestDatagrams(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	path := NewPath(3)
	relay, err := NewDatagrams(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(receiver.LocalAddr().String()), path)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	sender, err := net.Dial("udp", relay.conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	count := func(sent int, wait time.Duration) (n int) {
		for range sent {
			io.WriteString(sender, "x")
			time.Sleep(time.Millisecond)
		}
		buffer := make([]byte, 10)
		for {
			receiver.SetReadDeadline(time.Now().Add(wait))
			if _, err := receiver.Read(buffer); err != nil {
				return n
			}
			n++
		}
	}
	const wait = 400 * time.Millisecond
	if n := count(20, wait); n != 20 {
		t.Errorf("%d of 20 are carried", n)
	}
	path.Set(Conditions{Cut: true})
	if n := count(20, wait); n != 0 {
		t.Errorf("%d cross a cut", n)
	}
	path.Set(Conditions{Loss: 0.5})
	if n := count(200, wait); n < 60 || n > 140 {
		t.Errorf("%d of 200 are left of a loss of half", n)
	}
	path.Set(Conditions{Duplicate: 1, Delay: 10 * time.Millisecond, Jitter: 10 * time.Millisecond, Reorder: 0.5})
	if n := count(20, wait); n != 40 {
		t.Errorf("%d of 20 doubled ones", n)
	}
}
