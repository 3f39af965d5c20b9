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

// fakeServer is a stand-in room server: it treats each connection that brings a first line.
type fakeServer struct {
	name         string
	listener     net.Listener
	mu           sync.Mutex
	requestLines []string // first lines
	accepted     int      // connections, with a first line or without
	open         int      // connections that are open
	maxOpen      int
}

func newFakeServer(t *testing.T, name string, treat func(conn net.Conn, r *bufio.Reader)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeServer{name: name, listener: l}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.accepted++
			a.mu.Unlock()
			all.Go(func() { a.serve(conn, treat) })
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return a
}

func (a *fakeServer) serve(conn net.Conn, treat func(net.Conn, *bufio.Reader)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	a.mu.Lock()
	a.requestLines = append(a.requestLines, line)
	a.open++
	a.maxOpen = max(a.maxOpen, a.open)
	a.mu.Unlock()
	treat(conn, r)
	a.mu.Lock()
	a.open--
	a.mu.Unlock()
}

func (a *fakeServer) receivedLines() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.requestLines...)
}

func (a *fakeServer) endpoint() core.Endpoint {
	return core.Endpoint{Name: a.name, Address: a.listener.Addr().String(), Server: decide.Server{
		ID: core.ServerID(a.name), Zone: "a"}}
}

// serveEcho lets a connection stand and answers each line.
func serveEcho(conn net.Conn, r *bufio.Reader) {
	io.WriteString(conn, "UP receipt-1\r\n")
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		io.WriteString(conn, "re "+line)
	}
}

func respond(text string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, _ *bufio.Reader) { io.WriteString(conn, text) }
}

func neverRespond(conn net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }

type noDiscovery struct{}

func (noDiscovery) Watch(context.Context, uint64) {}
func (noDiscovery) Fetch(context.Context)         {}
func (noDiscovery) SetAddress(string)             {}

type noProber struct{}

func (noProber) Probe(context.Context, uint64, core.Upstream) {}
func (noProber) Remove(decide.ServerID)                       {}

type testBalancer struct {
	engine   *core.Engine
	frontend *Frontend
	pause    *hotrestart.Pauser
	listener *net.TCPListener
	addr     string
	stop     func()
}

func newTestBalancer(t *testing.T, servers ...*fakeServer) *testBalancer {
	t.Helper()
	return newTestBalancerWithBudget(t, DescriptorBudget{Total: 300, DialReserve: 50}, servers...)
}

func newTestBalancerWithBudget(t *testing.T, budget DescriptorBudget, servers ...*fakeServer) *testBalancer {
	t.Helper()
	return newTestBalancerWithSettings(t, budget, func(*decide.Settings) {}, servers...)
}

// newTestBalancerWithSettings is a balancer whose settings differ from the usual ones.
func newTestBalancerWithSettings(t *testing.T, budget DescriptorBudget, differ func(*decide.Settings), servers ...*fakeServer) *testBalancer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	known := []core.Endpoint{}
	for _, s := range servers {
		known = append(known, s.endpoint())
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
	running.Go(func() { module.Run(ctx, noProber{}, noDiscovery{}) })
	running.Go(func() { front.Serve(ctx, l, pause) })
	b := &testBalancer{engine: module, frontend: front, pause: pause, listener: l, addr: l.Addr().String()}
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(b.stop)
	return b
}

var testNames = Names{Classes: map[string]int{"solo-play": 0}, Tenants: map[string]bool{"familles": true}}

// testClient is a stand-in client.
type testClient struct {
	t    testing.TB
	conn *net.TCPConn
	r    *bufio.Reader
}

func (b *testBalancer) newClient(t testing.TB) *testClient {
	t.Helper()
	c := dialClient(t, b.addr)
	t.Cleanup(func() { c.conn.Close() })
	return c
}

// dialClient dials a client that its caller closes.
func dialClient(t testing.TB, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second)) // so that no test hangs
	return &testClient{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) wantLine(text string) {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil || line != text {
		c.t.Fatalf("read %q, %v, want %q", line, err, text)
	}
}

func (c *testClient) wantEOF() {
	c.t.Helper()
	if line, err := c.r.ReadString('\n'); !errors.Is(err, io.EOF) || line != "" {
		c.t.Fatalf("read %q, %v, want the end", line, err)
	}
}

var lastRequestID atomic.Uint64

// newRequestLine is a client's first line with a new id.
func newRequestLine() string {
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=solo-play,t=familles,d=2000,g=5c0f6e1a\r\n", lastRequestID.Add(1))
}

func TestRequestForwardedAndRelayedUnchanged(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	c := newTestBalancer(t, s).newClient(t)
	c.send("PING\r\n")
	c.wantLine("PONG\r\n")
	open := newRequestLine()
	c.send(open)
	c.wantLine("UP receipt-1\r\n")
	c.send("hello\r\nbare\n")
	c.wantLine("re hello\r\n")
	c.wantLine("re bare\n")
	got := s.receivedLines()[0]
	head, tail, _ := strings.Cut(open, "d=2000")
	if !strings.HasPrefix(got, head+"d=") || !strings.HasSuffix(got, tail) || got == open {
		t.Errorf("forwarded %q", got)
	}
}

// Bad first lines are answered as failed and never reach a room server; they harm only their peer.
func TestMalformedRequestLines(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancer(t, s)
	for _, text := range []string{"\r\n", "HELLO\r\n", strings.Replace(newRequestLine(), "solo-play", "no-class", 1),
		strings.Replace(newRequestLine(), "familles", "nobody", 1), strings.Replace(newRequestLine(), "d=2000", "d=-1", 1),
		strings.Replace(newRequestLine(), ",d=2000", "", 1), strings.Replace(newRequestLine(), "\r\n", "\n", 1),
		strings.Repeat("x", 3*maxLineLength) + "\r\n", "OPEN \x00 k c=solo-play,d=9\r\n",
		strings.Replace(newRequestLine(), "7f3a9c21e0b4d655", "../key", 1), "OPEN 9b1f k c=solo-play,d=9\r\n",
		newRequestLine() + newRequestLine(), strings.Repeat("PING\r\n", 300) + newRequestLine()} {
		c := b.newClient(t)
		c.send(text)
		for range min(strings.Count(text, "PING"), maxPipelinedPings) {
			c.wantLine("PONG\r\n")
		}
		c.wantLine("ERR\r\n")
	}
	half := b.newClient(t)
	half.send("OPEN 9b1f")
	half.conn.Close()
	c := b.newClient(t)
	c.send(newRequestLine())
	c.wantLine("UP receipt-1\r\n")
	if n := len(s.receivedLines()); n != 1 {
		t.Errorf("%d lines reached the room server, want the good one", n)
	}
}

// An id that is open, or was lately, is not taken again: the first request goes on, the other fails at once.
func TestDuplicateRequestIDFails(t *testing.T) {
	t.Parallel()
	s := newFakeServer(t, "s-1", serveEcho)
	b := newTestBalancer(t, s)
	line := newRequestLine()
	first := b.newClient(t)
	first.send(line)
	first.wantLine("UP receipt-1\r\n")
	copied := strings.Replace(line, "7f3a9c21e0b4d655", "0000000000000001", 1)
	second := b.newClient(t)
	second.send(copied)
	second.wantLine("ERR\r\n")
	second.wantEOF()
	first.send("x\r\n")
	first.wantLine("re x\r\n")
	first.conn.Close()
	third := b.newClient(t)
	third.send(copied)
	third.wantLine("ERR\r\n")
	if n := len(s.receivedLines()); n != 1 {
		t.Errorf("%d lines reached the room server, want the first", n)
	}
}

// A client that sends more before its answer fails at once, and its attempt is given up.
func TestDataBeforeAnswerFails(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	s := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		neverRespond(conn, r)
		close(ended)
	})
	c := newTestBalancer(t, s).newClient(t)
	c.send(newRequestLine())
	for len(s.receivedLines()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.send("more\r\n")
	c.wantLine("ERR\r\n")
	c.wantEOF()
	<-ended
}

// A line without end is answered and not read to its end: the answer arrives though the client sends on.
func TestUnterminatedLineFails(t *testing.T) {
	t.Parallel()
	c := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho)).newClient(t)
	go func() {
		for chunk := strings.Repeat("x", 1<<16); ; {
			if _, err := io.WriteString(c.conn, chunk); err != nil {
				return
			}
		}
	}()
	c.wantLine("ERR\r\n")
	if line, err := c.r.ReadString('\n'); err == nil {
		t.Errorf("read %q, want the end", line)
	}
}

// A channel that says nothing, half a line, or PING once is closed well within 3 s; a health check that goes on stays.
func TestIdleConnectionsTimeOut(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	silent, half, once, check := b.newClient(t), b.newClient(t), b.newClient(t), b.newClient(t)
	half.send("OPEN 9b1f03")
	once.send("PING\r\n")
	once.wantLine("PONG\r\n")
	for range 3 {
		check.send("PING\r\n")
		check.wantLine("PONG\r\n")
		time.Sleep(1200 * time.Millisecond)
	}
	for _, c := range []*testClient{silent, half, once} {
		c.conn.SetDeadline(time.Now().Add(time.Millisecond)) // it has ended by now
		c.wantEOF()
	}
	// It has its time for a line in pieces too, however long ago it was accepted.
	open := newRequestLine()
	check.send(open[:20])
	time.Sleep(100 * time.Millisecond)
	check.send(open[20:])
	check.wantLine("UP receipt-1\r\n")
}

// A client that writes its line in pieces over more than 2 s is served, whatever it is cut into.
func TestSlowRequestLinesAreServed(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	var writers sync.WaitGroup
	for _, cut := range []int{1, 20, len(newRequestLine()) - 1} {
		c, text := b.newClient(t), newRequestLine()
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
func TestIdleConnectionsAreShed(t *testing.T) {
	t.Parallel()
	b := newTestBalancerWithBudget(t, DescriptorBudget{Total: 16, DialReserve: 4}, newFakeServer(t, "s-1", serveEcho))
	standing := b.newClient(t)
	standing.send(newRequestLine())
	standing.wantLine("UP receipt-1\r\n")
	for range 60 {
		b.newClient(t)
	}
	start := time.Now()
	for range 4 {
		c := b.newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP receipt-1\r\n")
	}
	if d := time.Since(start); d > maxTimeToServe {
		t.Errorf("served after %v, as if the silent ones had to go by themselves", d)
	}
	standing.send("x\r\n")
	standing.wantLine("re x\r\n")
}

// Guards a request whose line is there, but was not read yet, against being shed as a silent channel's: seen on a machine with
// all cores busy, where one of 675 clients was cut off.
func TestUnreadRequestIsNotAborted(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := dialClient(t, l.Addr().String())
	defer c.conn.Close()
	conn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ch := b.frontend.newClientConn(conn)
	drop := func() bool { return !ch.execute(t.Context(), abortCommand{}) }
	if !drop() {
		t.Error("a silent channel stays")
	}
	c.send(newRequestLine())
	for end := time.Now().Add(10 * time.Second); !hasUnreadData(conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if drop() {
		t.Error("a request that has come is dropped")
	}
	if line, err := ch.text.R.ReadString('\n'); err != nil || !strings.HasPrefix(line, "OPEN ") {
		t.Fatalf("read %q, %v: looking took some of it", line, err)
	}
	if ch.requestLineRead.Store(true); drop() {
		t.Error("one that was read and not handed on is dropped")
	}
	if ch.requestSubmitted = true; !drop() {
		t.Error("one that was handed on stays, though the core drops it")
	}
}

// maxTimeToServe is far less than 60 silent channels take to go by themselves, 12 at a time and each after 2 s.
const maxTimeToServe = 6 * time.Second

// Attempts go on to another server after each bad answer, and never overlap.
func TestRetryAfterBadResponse(t *testing.T) {
	t.Parallel()
	for name, treat := range map[string]func(net.Conn, *bufio.Reader){
		"busy": respond("BUSY inflight=7\r\n"), "error": respond("ERR\r\n"), "breaks": respond(""), "half a line": respond("UP rec"),
		"hangs": neverRespond, "unknown answer": respond("WHAT\r\n"), "too long": respond(strings.Repeat("x", 2*maxLineLength)),
		"up without receipt": respond("UP\r\n"), "bytes": respond("\x00\xff\x80UP receipt-9\r\n"), "two answers": respond("ERR\r\nUP receipt-9\r\n"),
		"bare line ends": respond("UP receipt-9\nUP receipt-9\r\n"), "spoilt report": respond("BUSY inflight=1e999,x0=-,=,,x0\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, good := newFakeServer(t, "s-1", treat), newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancer(t, bad, good)
			for range 3 {
				c := b.newClient(t)
				c.send(newRequestLine())
				c.wantLine("UP receipt-1\r\n")
			}
			if n := len(bad.receivedLines()); n == 0 {
				t.Error("the bad server was never tried")
			}
		})
	}
}

// A request that no server takes is refused at once, not near its deadline.
func TestRejectedWithoutWaiting(t *testing.T) {
	t.Parallel()
	s1, s2 := newFakeServer(t, "s-1", respond("BUSY\r\n")), newFakeServer(t, "s-2", respond("BUSY\r\n"))
	b := newTestBalancer(t, s1, s2)
	c := b.newClient(t)
	c.send(strings.Replace(newRequestLine(), "d=2000", "d=1900", 1))
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "BUSY") {
		t.Fatalf("read %q, %v", line, err)
	}
	c.wantEOF()
}

func TestConnectionRestoredAtSameServer(t *testing.T) {
	t.Parallel()
	s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
	b := newTestBalancer(t, s1, s2)
	for i := range 4 {
		c := b.newClient(t)
		c.send(strings.Replace(newRequestLine(), "\r\n", ",at=s-2\r\n", 1))
		c.wantLine("UP receipt-1\r\n")
		c.send(fmt.Sprintf("%d\r\n", i))
		c.wantLine(fmt.Sprintf("re %d\r\n", i))
	}
	if n := len(s1.receivedLines()); n > 0 {
		t.Errorf("%d lines went to the other server", n)
	}
}

// The end of one side passes on alike: FIN as FIN, RST as RST.
func TestCloseIsRelayed(t *testing.T) {
	t.Parallel()
	t.Run("server's FIN", func(t *testing.T) {
		t.Parallel()
		c := newTestBalancer(t, newFakeServer(t, "s-1", respond("UP r\r\nLOAD 5000\r\nBYE\r\n"))).newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP r\r\n")
		c.wantLine("LOAD 5000\r\n")
		c.wantLine("BYE\r\n")
		c.wantEOF()
	})
	t.Run("server's RST", func(t *testing.T) {
		t.Parallel()
		c := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
			io.WriteString(conn, "UP r\r\n")
			r.ReadString('\n')
			conn.(*net.TCPConn).SetLinger(0)
		})).newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP r\r\n")
		c.send("x\r\n")
		if _, err := c.r.ReadString('\n'); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("read ended with %v, want a reset", err)
		}
	})
	for name, reset := range map[string]bool{"client's FIN": false, "client's RST": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ends := make(chan error, 1)
			c := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
				io.WriteString(conn, "UP r\r\n")
				_, err := io.Copy(io.Discard, r)
				ends <- err
			})).newClient(t)
			c.send(newRequestLine())
			c.wantLine("UP r\r\n")
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
func TestClientCloseIsNoServerFault(t *testing.T) {
	t.Parallel()
	reset := func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP receipt-1\r\n")
		io.Copy(io.Discard, r)
		conn.(*net.TCPConn).SetLinger(0)
	}
	for name, treat := range map[string]func(net.Conn, *bufio.Reader){"FIN": serveEcho, "RST": reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBalancer(t, newFakeServer(t, "s-1", treat), newFakeServer(t, "s-2", treat))
			for range 6 {
				c := b.newClient(t)
				c.send(newRequestLine())
				c.wantLine("UP receipt-1\r\n")
				c.conn.CloseWrite()
				for _, err := c.r.ReadString('\n'); err == nil; {
					_, err = c.r.ReadString('\n')
				}
			}
			if s := b.engine.CurrentSnapshot(5 * time.Second); s.Ejected != 0 || s.Listed != 2 {
				t.Errorf("%d of %d room servers are left out", s.Ejected, s.Listed)
			}
		})
	}
}

// A server that goes silent under a standing connection: its client is moved well within 7 s.
// The module's order to move and the room server's own end cross each other. The client gets one end, and no second one.
func TestMigrateCrossesServerClose(t *testing.T) {
	b := newTestBalancer(t)
	front := New(b.engine, testNames, DescriptorBudget{Total: 300, DialReserve: 50}, logrus.New()) // it accepts nothing
	for _, code := range []decide.Code{decide.OK, decide.Cancelled} {
		ours, client := newTCPPair(t)
		server, _ := newTCPPair(t)
		c := front.newClientConn(ours)
		c.call = b.engine.Accept(c, core.Traits{})
		front.descriptors <- struct{}{} // the dial's descriptor, which the end gives back
		c.upstream = &upstreamConn{conn: server, text: textproto.NewConn(server), cancel: func() {}}
		c.established = true
		if !c.handleUpstreamClosed(upstreamClosedEvent{code, io.EOF}) {
			t.Fatalf("code %v: the actor ended before its client did", code)
		}
		if !c.execute(context.Background(), migrateCommand{}) {
			t.Fatalf("code %v: the late move ended the actor", code)
		}
		client.wantEOF()
		if n := len(front.descriptors); n != 0 {
			t.Fatalf("code %v: %d descriptors are held after the end", code, n)
		}
	}
}

// newTCPPair makes a connection of two ends.
func newTCPPair(t *testing.T) (*net.TCPConn, *testClient) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far := dialClient(t, l.Addr().String())
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.conn.Close() })
	return near.(*net.TCPConn), far
}

func TestUnresponsiveServerMigratesClient(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP r\r\n")
		io.Copy(io.Discard, r)
	}))
	c := b.newClient(t)
	c.send(newRequestLine())
	c.wantLine("UP r\r\n")
	start := time.Now()
	c.send("anyone?\r\n")
	c.wantLine("MOVE\r\n")
	c.wantEOF()
	if d := time.Since(start); d > 7*time.Second {
		t.Errorf("moved after %v", d)
	}
}

// A planned stop: standing clients are moved, what comes in the grace is served, then the drain is over.
func TestDrain(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	old := b.newClient(t)
	old.send(newRequestLine())
	old.wantLine("UP receipt-1\r\n")
	over := b.engine.Drain(3400*time.Millisecond, nil)
	late := b.newClient(t)
	late.send(newRequestLine())
	late.wantLine("UP receipt-1\r\n")
	old.wantLine("MOVE\r\n")
	old.wantEOF()
	late.wantLine("MOVE\r\n")
	late.wantEOF()
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
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	check := b.newClient(t)
	check.send("PING\r\n")
	check.wantLine("PONG\r\n")
	var standing []*testClient
	open := func() {
		c := b.newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP receipt-1\r\n")
		standing = append(standing, c)
	}
	for range 5 {
		open()
	}
	start := time.Now()
	if err := b.engine.EnterLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	check.send("PING\r\n")
	check.wantLine("BUSY\r\n")
	if s := b.engine.ServiceState(); s != core.LameDuck {
		t.Errorf("the service state is %v", s)
	}
	open()
	for _, c := range standing {
		c.wantLine("MOVE\r\n")
		c.wantEOF()
		c.conn.Close()
	}
	for refused := false; !refused; {
		late := b.newClient(t)
		late.send(newRequestLine())
		line, err := late.r.ReadString('\n')
		if refused = strings.HasPrefix(line, "BUSY "); refused {
			break
		}
		if err != nil || line != "UP receipt-1\r\n" { // before the last step it is served, and moved with it
			t.Fatalf("a late client reads %q, %v", line, err)
		}
		late.wantLine("MOVE\r\n")
		late.conn.Close()
	}
	if d := time.Since(start); d > 4*time.Second {
		t.Errorf("all are moved after %v", d)
	}
	if err := b.engine.LeaveLameDuck(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	again := b.newClient(t)
	again.send("PING\r\n")
	again.wantLine("PONG\r\n")
	again.send(newRequestLine())
	again.wantLine("UP receipt-1\r\n")
}

// What is left to another process is not used for channels, and comes back; while held, the front serves what it has
// accepted, accepts nothing more, and answers PING for the process that does.
func TestServeBesideAnotherProcess(t *testing.T) {
	t.Parallel()
	b := newTestBalancerWithBudget(t, DescriptorBudget{Total: 16, DialReserve: 4}, newFakeServer(t, "s-1", serveEcho))
	accepted := b.newClient(t)
	accepted.send("PING\r\n")
	accepted.wantLine("PONG\r\n")
	b.frontend.SetReserve(14)
	b.frontend.SetReserve(12) // all but four: the channel, its dial, and one that is accepted
	b.pause.Pause()
	b.frontend.SetReplaced(true)
	b.engine.Drain(20*time.Second, nil)
	accepted.send("PING\r\n")
	accepted.wantLine("PONG\r\n")
	accepted.send(newRequestLine())
	accepted.wantLine("UP receipt-1\r\n")
	other := b.newClient(t)
	other.send(newRequestLine())
	other.conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if line, err := other.r.ReadString('\n'); err == nil {
		t.Errorf("accepted while held: %q", line)
	}
	if n := len(b.frontend.descriptors); n > 16 {
		t.Errorf("%d descriptors are held", n)
	}
	b.frontend.SetReplaced(false)
	b.frontend.SetReserve(0)
	b.pause.Resume()
	other.conn.SetDeadline(time.Now().Add(20 * time.Second))
	other.wantLine("UP receipt-1\r\n")
}

// A client that reads nothing holds its server back and harms nobody else.
func TestBackpressure(t *testing.T) {
	t.Parallel()
	sent := make(chan int, 1)
	b := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP r\r\n")
		n := 0
		for conn.SetWriteDeadline(time.Now().Add(time.Second)); ; n++ {
			if _, err := io.WriteString(conn, strings.Repeat("x", 1022)+"\r\n"); err != nil {
				break
			}
		}
		sent <- n
	}))
	slow := b.newClient(t)
	slow.send(newRequestLine())
	slow.wantLine("UP r\r\n")
	if n := <-sent; n > 64<<10 {
		t.Errorf("%d KiB were taken for a client that reads nothing", n)
	}
	other := b.newClient(t)
	other.send(newRequestLine())
	other.wantLine("UP r\r\n")
	// Nor does it hold up a planned stop: the drain and all actors end.
	select {
	case <-b.engine.Drain(3*time.Second, nil):
	case <-time.After(20 * time.Second):
		t.Fatal("the drain does not end")
	}
	b.stop()
}
