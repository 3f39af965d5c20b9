package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
)

// answerer is a stand-in room server: it treats each connection that brings a first line.
type answerer struct {
	name string
	l    net.Listener
	mu   sync.Mutex
	got  []string // first lines
	came int      // connections, with a first line or without
	out  int      // connections that are open
	most int
}

func newServer(t *testing.T, name string, treat func(conn net.Conn, r *bufio.Reader)) *answerer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &answerer{name: name, l: l}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.came++
			a.mu.Unlock()
			all.Go(func() { a.serve(conn, treat) })
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return a
}

func (a *answerer) serve(conn net.Conn, treat func(net.Conn, *bufio.Reader)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	a.mu.Lock()
	a.got = append(a.got, line)
	a.out++
	a.most = max(a.most, a.out)
	a.mu.Unlock()
	treat(conn, r)
	a.mu.Lock()
	a.out--
	a.mu.Unlock()
}

func (a *answerer) lines() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.got...)
}

func (a *answerer) instance() core.Endpoint {
	return core.Endpoint{Name: a.name, Address: a.l.Addr().String(), Server: decide.Server{
		ID: core.ServerID(a.name), Zone: "a"}}
}

// echo lets a connection stand and answers each line.
func echo(conn net.Conn, r *bufio.Reader) {
	io.WriteString(conn, "UP receipt-1\r\n")
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		io.WriteString(conn, "re "+line)
	}
}

func say(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, _ *bufio.Reader) { io.WriteString(conn, text) }
}

func hang(conn net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }

type noList struct{}

func (noList) Watch(context.Context, uint64) {}
func (noList) Fetch(context.Context)         {}
func (noList) SetAddress(string)             {}

type noProbes struct{}

func (noProbes) Probe(context.Context, uint64, core.Upstream) {}
func (noProbes) Remove(decide.ServerID)                       {}

type balancer struct {
	module *core.Engine
	front  *Frontend
	pause  *hotrestart.Pauser
	l      *net.TCPListener
	addr   string
	stop   func()
}

func newBalancer(t *testing.T, servers ...*answerer) *balancer {
	t.Helper()
	return budgeted(t, DescriptorBudget{Total: 300, DialReserve: 50}, servers...)
}

func budgeted(t *testing.T, budget DescriptorBudget, servers ...*answerer) *balancer {
	t.Helper()
	return with(t, budget, func(*decide.Settings) {}, servers...)
}

// with is a balancer whose settings differ from the usual ones.
func with(t *testing.T, budget DescriptorBudget, differ func(*decide.Settings), servers ...*answerer) *balancer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	known := []core.Endpoint{}
	for _, s := range servers {
		known = append(known, s.instance())
	}
	settings := decide.Settings{
		Seed: 5, Zone: "a", MaxAttempts: 3, MaxRetryAfter: 1500 * time.Millisecond,
		Classes: []decide.Class{{Name: "solo-play", LatencyObjective: 300 * time.Millisecond, ClientTimeout: 2 * time.Second}},
		Safety:  decide.SafetyLimits{DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.3, SlowStartDuration: time.Second, OverloadFactor: 4, OverloadWindow: time.Second}}
	differ(&settings)
	module, err := core.New(core.Config{Known: known, MaxClients: 100, Log: func(string) {}, Settings: settings})
	if err != nil {
		t.Fatal(err)
	}
	l, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front, pause := New(module, testNames, budget, log), hotrestart.NewPauser(l.SetDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { module.Run(ctx, noProbes{}, noList{}) })
	running.Go(func() { front.Serve(ctx, l, pause) })
	b := &balancer{module: module, front: front, pause: pause, l: l, addr: l.Addr().String()}
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(b.stop)
	return b
}

var testNames = Names{Classes: map[string]int{"solo-play": 0}, Tenants: map[string]bool{"familles": true}}

// client is a stand-in client.
type client struct {
	t    testing.TB
	conn *net.TCPConn
	r    *bufio.Reader
}

func (b *balancer) client(t testing.TB) *client {
	t.Helper()
	c := dial(t, b.addr)
	t.Cleanup(func() { c.conn.Close() })
	return c
}

// dial dials a client that its caller closes.
func dial(t testing.TB, addr string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second)) // so that no test hangs
	return &client{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) want(text string) {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil || line != text {
		c.t.Fatalf("read %q, %v, want %q", line, err, text)
	}
}

func (c *client) wantEnd() {
	c.t.Helper()
	if line, err := c.r.ReadString('\n'); !errors.Is(err, io.EOF) || line != "" {
		c.t.Fatalf("read %q, %v, want the end", line, err)
	}
}

var opened atomic.Uint64

// opening is a client's first line with a new id.
func opening() string {
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=solo-play,t=familles,d=2000,g=5c0f6e1a\r\n", opened.Add(1))
}

func TestServedAndRelayedUnchanged(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", echo)
	c := newBalancer(t, s).client(t)
	c.send("PING\r\n")
	c.want("PONG\r\n")
	open := opening()
	c.send(open)
	c.want("UP receipt-1\r\n")
	c.send("hello\r\nbare\n")
	c.want("re hello\r\n")
	c.want("re bare\n")
	got := s.lines()[0]
	head, tail, _ := strings.Cut(open, "d=2000")
	if !strings.HasPrefix(got, head+"d=") || !strings.HasSuffix(got, tail) || got == open {
		t.Errorf("forwarded %q", got)
	}
}

// Bad first lines are answered as failed and never reach a room server; they harm only their peer.
func TestMalformedFirstLines(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", echo)
	b := newBalancer(t, s)
	for _, text := range []string{"\r\n", "HELLO\r\n", strings.Replace(opening(), "solo-play", "no-class", 1),
		strings.Replace(opening(), "familles", "nobody", 1), strings.Replace(opening(), "d=2000", "d=-1", 1),
		strings.Replace(opening(), ",d=2000", "", 1), strings.Replace(opening(), "\r\n", "\n", 1),
		strings.Repeat("x", 3*maxLine) + "\r\n", "OPEN \x00 k c=solo-play,d=9\r\n",
		strings.Replace(opening(), "7f3a9c21e0b4d655", "../key", 1), "OPEN 9b1f k c=solo-play,d=9\r\n",
		opening() + opening(), strings.Repeat("PING\r\n", 300) + opening()} {
		c := b.client(t)
		c.send(text)
		for range min(strings.Count(text, "PING"), pingsAtOnce) {
			c.want("PONG\r\n")
		}
		c.want("ERR\r\n")
	}
	half := b.client(t)
	half.send("OPEN 9b1f")
	half.conn.Close()
	c := b.client(t)
	c.send(opening())
	c.want("UP receipt-1\r\n")
	if n := len(s.lines()); n != 1 {
		t.Errorf("%d lines reached the room server, want the good one", n)
	}
}

// An id that is open, or was lately, is not taken again: the first request goes on, the other fails at once.
func TestAnIDIsTakenOnce(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", echo)
	b := newBalancer(t, s)
	line := opening()
	first := b.client(t)
	first.send(line)
	first.want("UP receipt-1\r\n")
	copied := strings.Replace(line, "7f3a9c21e0b4d655", "0000000000000001", 1)
	second := b.client(t)
	second.send(copied)
	second.want("ERR\r\n")
	second.wantEnd()
	first.send("x\r\n")
	first.want("re x\r\n")
	first.conn.Close()
	third := b.client(t)
	third.send(copied)
	third.want("ERR\r\n")
	if n := len(s.lines()); n != 1 {
		t.Errorf("%d lines reached the room server, want the first", n)
	}
}

// A client that sends more before its answer fails at once, and its attempt is given up.
func TestMoreBeforeTheAnswer(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	s := newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		hang(conn, r)
		close(ended)
	})
	c := newBalancer(t, s).client(t)
	c.send(opening())
	for len(s.lines()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.send("more\r\n")
	c.want("ERR\r\n")
	c.wantEnd()
	<-ended
}

// A line without end is answered and not read to its end: the answer arrives though the client sends on.
func TestLineWithoutEnd(t *testing.T) {
	t.Parallel()
	c := newBalancer(t, newServer(t, "s-1", echo)).client(t)
	go func() {
		for chunk := strings.Repeat("x", 1<<16); ; {
			if _, err := io.WriteString(c.conn, chunk); err != nil {
				return
			}
		}
	}()
	c.want("ERR\r\n")
	if line, err := c.r.ReadString('\n'); err == nil {
		t.Errorf("read %q, want the end", line)
	}
}

// A channel that says nothing, half a line, or PING once is closed well within 3 s; a health check that goes on stays.
func TestSilentChannelsEnd(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, newServer(t, "s-1", echo))
	silent, half, once, check := b.client(t), b.client(t), b.client(t), b.client(t)
	half.send("OPEN 9b1f03")
	once.send("PING\r\n")
	once.want("PONG\r\n")
	for range 3 {
		check.send("PING\r\n")
		check.want("PONG\r\n")
		time.Sleep(1200 * time.Millisecond)
	}
	for _, c := range []*client{silent, half, once} {
		c.conn.SetDeadline(time.Now().Add(time.Millisecond)) // it has ended by now
		c.wantEnd()
	}
	// It has its time for a line in pieces too, however long ago it was accepted.
	open := opening()
	check.send(open[:20])
	time.Sleep(100 * time.Millisecond)
	check.send(open[20:])
	check.want("UP receipt-1\r\n")
}

// A client that writes its line in pieces over more than 2 s is served, whatever it is cut into.
func TestSlowLines(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, newServer(t, "s-1", echo))
	var writers sync.WaitGroup
	for _, cut := range []int{1, 20, len(opening()) - 1} {
		c, text := b.client(t), opening()
		writers.Go(func() {
			c.conn.Write([]byte(text[:cut]))
			time.Sleep(2100 * time.Millisecond)
			c.conn.Write([]byte(text[cut:]))
			if line, err := c.r.ReadString('\n'); err != nil || line != "UP receipt-1\r\n" {
				t.Errorf("cut at %d: read %q, %v", cut, line, err)
			}
		})
	}
	writers.Wait()
}

// Channels that say nothing take no descriptor from those that ask: the longest silent are shed for them, and dials
// find one. Guards against clients that open connections by hundreds.
func TestSilentChannelsAreShed(t *testing.T) {
	t.Parallel()
	b := budgeted(t, DescriptorBudget{Total: 16, DialReserve: 4}, newServer(t, "s-1", echo))
	standing := b.client(t)
	standing.send(opening())
	standing.want("UP receipt-1\r\n")
	for range 60 {
		b.client(t)
	}
	start := time.Now()
	for range 4 {
		c := b.client(t)
		c.send(opening())
		c.want("UP receipt-1\r\n")
	}
	if d := time.Since(start); d > firstLineMost {
		t.Errorf("served after %v, as if the silent ones had to go by themselves", d)
	}
	standing.send("x\r\n")
	standing.want("re x\r\n")
}

// Guards a request whose line is there, but was not read yet, against being shed as a silent channel's: seen on a machine with
// all cores busy, where one of 675 clients was cut off.
func TestUnreadLinesAreNotShed(t *testing.T) {
	t.Parallel()
	b := newBalancer(t)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dial(t, l.Addr().String())
	defer c.conn.Close()
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ch := b.front.channel(conn)
	drop := func() bool { return !ch.execute(t.Context(), dropCommand{}) }
	if !drop() {
		t.Error("a silent channel stays")
	}
	c.send(opening())
	for end := time.Now().Add(10 * time.Second); !unread(conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if drop() {
		t.Error("a request that has come is dropped")
	}
	if line, err := ch.text.R.ReadString('\n'); err != nil || !strings.HasPrefix(line, "OPEN ") {
		t.Fatalf("read %q, %v: looking took some of it", line, err)
	}
	if ch.heard.Store(true); drop() {
		t.Error("one that was read and not handed on is dropped")
	}
	if ch.asked = true; !drop() {
		t.Error("one that was handed on stays, though the core drops it")
	}
}

// firstLineMost is far less than 60 silent channels take to go by themselves, 12 at a time and each after 2 s.
const firstLineMost = 6 * time.Second

// Attempts go on to another server after each bad answer, and never overlap.
func TestNextAttempt(t *testing.T) {
	t.Parallel()
	for name, treat := range map[string]func(net.Conn, *bufio.Reader){
		"busy": say("BUSY inflight=7\r\n"), "error": say("ERR\r\n"), "breaks": say(""), "half a line": say("UP rec"),
		"hangs": hang, "unknown answer": say("WHAT\r\n"), "too long": say(strings.Repeat("x", 2*maxLine)),
		"up without receipt": say("UP\r\n"), "bytes": say("\x00\xff\x80UP receipt-9\r\n"), "two answers": say("ERR\r\nUP receipt-9\r\n"),
		"bare line ends": say("UP receipt-9\nUP receipt-9\r\n"), "spoilt report": say("BUSY inflight=1e999,x0=-,=,,x0\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, good := newServer(t, "s-1", treat), newServer(t, "s-2", echo)
			b := newBalancer(t, bad, good)
			for range 3 {
				c := b.client(t)
				c.send(opening())
				c.want("UP receipt-1\r\n")
			}
			if n := len(bad.lines()); n == 0 {
				t.Error("the bad server was never tried")
			}
		})
	}
}

// A request that no server takes is refused at once, not near its deadline.
func TestRefusedAtOnce(t *testing.T) {
	t.Parallel()
	s1, s2 := newServer(t, "s-1", say("BUSY\r\n")), newServer(t, "s-2", say("BUSY\r\n"))
	b := newBalancer(t, s1, s2)
	c := b.client(t)
	c.send(strings.Replace(opening(), "d=2000", "d=1900", 1))
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "BUSY") {
		t.Fatalf("read %q, %v", line, err)
	}
	c.wantEnd()
}

func TestReopenedAtItsServerOnly(t *testing.T) {
	t.Parallel()
	s1, s2 := newServer(t, "s-1", echo), newServer(t, "s-2", echo)
	b := newBalancer(t, s1, s2)
	for i := range 4 {
		c := b.client(t)
		c.send(strings.Replace(opening(), "\r\n", ",at=s-2\r\n", 1))
		c.want("UP receipt-1\r\n")
		c.send(fmt.Sprintf("%d\r\n", i))
		c.want(fmt.Sprintf("re %d\r\n", i))
	}
	if n := len(s1.lines()); n > 0 {
		t.Errorf("%d lines went to the other server", n)
	}
}

// The end of one side passes on alike: FIN as FIN, RST as RST.
func TestEndsPassOn(t *testing.T) {
	t.Parallel()
	t.Run("server's FIN", func(t *testing.T) {
		t.Parallel()
		c := newBalancer(t, newServer(t, "s-1", say("UP r\r\nLOAD 5000\r\nBYE\r\n"))).client(t)
		c.send(opening())
		c.want("UP r\r\n")
		c.want("LOAD 5000\r\n")
		c.want("BYE\r\n")
		c.wantEnd()
	})
	t.Run("server's RST", func(t *testing.T) {
		t.Parallel()
		c := newBalancer(t, newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
			io.WriteString(conn, "UP r\r\n")
			r.ReadString('\n')
			conn.(*net.TCPConn).SetLinger(0)
		})).client(t)
		c.send(opening())
		c.want("UP r\r\n")
		c.send("x\r\n")
		if _, err := c.r.ReadString('\n'); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("read ended with %v, want a reset", err)
		}
	})
	for name, reset := range map[string]bool{"client's FIN": false, "client's RST": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ends := make(chan error, 1)
			c := newBalancer(t, newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
				io.WriteString(conn, "UP r\r\n")
				_, err := io.Copy(io.Discard, r)
				ends <- err
			})).client(t)
			c.send(opening())
			c.want("UP r\r\n")
			if reset {
				c.conn.SetLinger(0)
			}
			c.conn.Close()
			if err := <-ends; (err != nil) != reset {
				t.Errorf("the server read until %v", err)
			}
		})
	}
}

// A room server that ends a connection after its client has ended it, with BYE or without, has not failed. Guards against
// servers left out for each client that hangs up, and against a crowd that drops and finds none when it is back.
func TestClientsEndIsNoFailure(t *testing.T) {
	t.Parallel()
	reset := func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP receipt-1\r\n")
		io.Copy(io.Discard, r)
		conn.(*net.TCPConn).SetLinger(0)
	}
	for name, treat := range map[string]func(net.Conn, *bufio.Reader){"FIN": echo, "RST": reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBalancer(t, newServer(t, "s-1", treat), newServer(t, "s-2", treat))
			for range 6 {
				c := b.client(t)
				c.send(opening())
				c.want("UP receipt-1\r\n")
				c.conn.CloseWrite()
				for _, err := c.r.ReadString('\n'); err == nil; {
					_, err = c.r.ReadString('\n')
				}
			}
			if s := b.module.CurrentSnapshot(5 * time.Second); s.Ejected != 0 || s.Listed != 2 {
				t.Errorf("%d of %d room servers are left out", s.Ejected, s.Listed)
			}
		})
	}
}

// A server that goes silent under a standing connection: its client is moved well within 7 s.
// The module's order to move and the room server's own end cross each other. The client gets one end, and no second one.
func TestMoveCrossesTheServersEnd(t *testing.T) {
	b := newBalancer(t)
	front := New(b.module, testNames, DescriptorBudget{Total: 300, DialReserve: 50}, logrus.New()) // it accepts nothing
	for _, code := range []decide.Code{decide.OK, decide.Cancelled} {
		ours, client := pair(t)
		server, _ := pair(t)
		c := front.channel(ours)
		c.call = b.module.Accept(c, core.Traits{})
		front.held <- struct{}{} // the dial's descriptor, which the end gives back
		c.up = &upstream{conn: server, text: textproto.NewConn(server), cancel: func() {}}
		c.stands = true
		if !c.serverEnded(newsServerEnd{code, io.EOF}) {
			t.Fatalf("code %v: the actor ended before its client did", code)
		}
		if !c.execute(context.Background(), moveCommand{}) {
			t.Fatalf("code %v: the late move ended the actor", code)
		}
		client.wantEnd()
		if n := len(front.held); n != 0 {
			t.Fatalf("code %v: %d descriptors are held after the end", code, n)
		}
	}
}

// pair makes a connection of two ends.
func pair(t *testing.T) (*net.TCPConn, *client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far := dial(t, l.Addr().String())
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.conn.Close() })
	return near.(*net.TCPConn), far
}

func TestSilentServer(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP r\r\n")
		io.Copy(io.Discard, r)
	}))
	c := b.client(t)
	c.send(opening())
	c.want("UP r\r\n")
	start := time.Now()
	c.send("anyone?\r\n")
	c.want("MOVE\r\n")
	c.wantEnd()
	if d := time.Since(start); d > 7*time.Second {
		t.Errorf("moved after %v", d)
	}
}

// A planned stop: standing clients are moved, what comes in the grace is served, then the drain is over.
func TestDrain(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, newServer(t, "s-1", echo))
	old := b.client(t)
	old.send(opening())
	old.want("UP receipt-1\r\n")
	over := b.module.Drain(3400*time.Millisecond, nil)
	late := b.client(t)
	late.send(opening())
	late.want("UP receipt-1\r\n")
	old.want("MOVE\r\n")
	old.wantEnd()
	late.want("MOVE\r\n")
	late.wantEnd()
	old.conn.Close()
	late.conn.Close()
	select {
	case <-over:
	case <-time.After(20 * time.Second):
		t.Fatal("the drain does not end")
	}
}

// A lame duck: the front's PING hears no at once, on a connection that it keeps too; clients that still come are served,
// all are moved well before 4 s, later ones are told to come again, and nothing is cut off. Called back, it serves.
// Guards against an instance that still says yes, or holds a connection, when its clients are to be elsewhere.
func TestLameDuck(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, newServer(t, "s-1", echo))
	check := b.client(t)
	check.send("PING\r\n")
	check.want("PONG\r\n")
	var standing []*client
	open := func() {
		c := b.client(t)
		c.send(opening())
		c.want("UP receipt-1\r\n")
		standing = append(standing, c)
	}
	for range 5 {
		open()
	}
	start := time.Now()
	if err := b.module.EnterLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	check.send("PING\r\n")
	check.want("BUSY\r\n")
	if s := b.module.ServiceState(); s != core.LameDuck {
		t.Errorf("the service state is %v", s)
	}
	open()
	for _, c := range standing {
		c.want("MOVE\r\n")
		c.wantEnd()
		c.conn.Close()
	}
	for refused := false; !refused; {
		late := b.client(t)
		late.send(opening())
		line, err := late.r.ReadString('\n')
		if refused = strings.HasPrefix(line, "BUSY "); refused {
			break
		}
		if err != nil || line != "UP receipt-1\r\n" { // before the last step it is served, and moved with it
			t.Fatalf("a late client reads %q, %v", line, err)
		}
		late.want("MOVE\r\n")
		late.conn.Close()
	}
	if d := time.Since(start); d > 4*time.Second {
		t.Errorf("all are moved after %v", d)
	}
	if err := b.module.LeaveLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	again := b.client(t)
	again.send("PING\r\n")
	again.want("PONG\r\n")
	again.send(opening())
	again.want("UP receipt-1\r\n")
}

// What is left to another process is not used for channels, and comes back; while held, the front serves what it has
// accepted, accepts nothing more, and answers PING for the process that does.
func TestBesideAnotherProcess(t *testing.T) {
	t.Parallel()
	b := budgeted(t, DescriptorBudget{Total: 16, DialReserve: 4}, newServer(t, "s-1", echo))
	accepted := b.client(t)
	accepted.send("PING\r\n")
	accepted.want("PONG\r\n")
	b.front.SetReserve(14)
	b.front.SetReserve(12) // all but four: the channel, its dial, and one that is accepted
	b.pause.Pause()
	b.front.SetReplaced(true)
	b.module.Drain(20*time.Second, nil)
	accepted.send("PING\r\n")
	accepted.want("PONG\r\n")
	accepted.send(opening())
	accepted.want("UP receipt-1\r\n")
	other := b.client(t)
	other.send(opening())
	other.conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if line, err := other.r.ReadString('\n'); err == nil {
		t.Errorf("accepted while held: %q", line)
	}
	if n := len(b.front.held); n > 16 {
		t.Errorf("%d descriptors are held", n)
	}
	b.front.SetReplaced(false)
	b.front.SetReserve(0)
	b.pause.Resume()
	other.conn.SetDeadline(time.Now().Add(20 * time.Second))
	other.want("UP receipt-1\r\n")
}

// A client that reads nothing holds its server back and harms nobody else.
func TestBackpressure(t *testing.T) {
	t.Parallel()
	sent := make(chan int, 1)
	b := newBalancer(t, newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP r\r\n")
		n := 0
		for conn.SetWriteDeadline(time.Now().Add(time.Second)); ; n++ {
			if _, err := io.WriteString(conn, strings.Repeat("x", 1022)+"\r\n"); err != nil {
				break
			}
		}
		sent <- n
	}))
	slow := b.client(t)
	slow.send(opening())
	slow.want("UP r\r\n")
	if n := <-sent; n > 64<<10 {
		t.Errorf("%d KiB were taken for a client that reads nothing", n)
	}
	other := b.client(t)
	other.send(opening())
	other.want("UP r\r\n")
	// Nor does it hold up a planned stop: the drain and all actors end.
	select {
	case <-b.module.Drain(3*time.Second, nil):
	case <-time.After(20 * time.Second):
		t.Fatal("the drain does not end")
	}
	b.stop()
}
