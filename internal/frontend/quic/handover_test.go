package quic

import (
	"context"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"golang.org/x/sys/unix"
)

// handOver is a hot restart: processes that share one socket for client datagrams, in the order of their start. Only
// the last one to which serve was applied reads from it.
type handOver struct {
	t         *testing.T
	ids       *IDFormat
	servers   []*fakeServer
	settings  decide.Settings
	processes []*testBalancer
}

// newHandOver starts the first process and two room servers. The class of all requests has the given repeat rule.
func newHandOver(t *testing.T, idempotency decide.Idempotency, mode serverMode) *handOver {
	t.Helper()
	ids := newTestFormat(t, testIDKey)
	h := &handOver{t: t, ids: ids, settings: testSettings()}
	h.settings.Classes[0].Idempotency = idempotency
	h.settings.Classes[0].ClientTimeout = 8 * time.Second
	for _, name := range []string{"s-1", "s-2"} {
		h.servers = append(h.servers, newFakeServer(t, name, ids, mode))
	}
	h.start(nil)
	return h
}

// start starts a process. shared is the socket to read; if it is nil, the process opens a new one.
func (h *handOver) start(shared *net.UDPConn) *testBalancer {
	h.t.Helper()
	var endpoints []core.Endpoint
	for _, s := range h.servers {
		endpoints = append(endpoints, s.endpoint(decide.Ready))
	}
	b := newTestBalancerWithSettings(h.t, "127.0.0.1:0", h.ids, func(cfg *Config) {
		cfg.Timeout = h.settings.Classes[0].ClientTimeout
		cfg.Repeatable = h.settings.Classes[0].Idempotency == decide.Idempotent
		if shared != nil {
			cfg.Conn.Close()
			cfg.Conn = shared
		}
	}, h.settings, endpoints...)
	h.processes = append(h.processes, b)
	return b
}

// replace starts a replacement for the last process. It does not read from the socket yet.
func (h *handOver) replace() (previous, replacement *testBalancer) {
	h.t.Helper()
	previous = h.processes[len(h.processes)-1]
	shared := duplicate(h.t, previous.frontend.conn)
	shared.SetReadDeadline(time.Unix(1, 0))
	replacement = h.start(shared)
	toReplacement, toPrevious := newLink(h.t)
	previous.frontend.AddReplacement(previous.ctx, toReplacement)
	replacement.frontend.AddPrevious(replacement.ctx, toPrevious)
	return previous, replacement
}

// serve makes a replacement read from the socket in place of its previous process.
func (h *handOver) serve(previous, replacement *testBalancer) {
	previous.pause.Pause()
	replacement.frontend.WaitForPreviousPause(h.t.Context())
	replacement.pause.Resume()
}

// initials returns the number of Initial packets with a client's original connection ID at each room server.
func (h *handOver) initials(c *fakeClient) (counts [2]int) {
	for i, s := range h.servers {
		s.mu.Lock()
		counts[i] = s.initials[string(c.originalID)]
		s.mu.Unlock()
	}
	return counts
}

// wantOneServer fails the test unless exactly one room server has received a client's request.
func (h *handOver) wantOneServer(c *fakeClient) {
	h.t.Helper()
	if n := h.initials(c); (n[0] == 0) == (n[1] == 0) {
		h.t.Errorf("the room servers received %v Initial packets of one request, want them at one server", n)
	}
}

func (h *handOver) setMode(mode serverMode) {
	for _, s := range h.servers {
		s.setMode(mode)
	}
}

// newPendingClient sends a request to a process and waits until a room server has received it.
func (h *handOver) newPendingClient() *fakeClient {
	h.t.Helper()
	c := newFakeClient(h.t, h.processes[0].frontend.Addr())
	c.conn.Write(c.initial)
	eventually(h.t, "a room server receives the request", func() bool { return h.initials(c) != [2]int{} })
	return c
}

// wantAnswer fails the test unless the established connection of a client answers a text.
func (h *handOver) wantAnswer(c *fakeClient) {
	h.t.Helper()
	if response, err := c.call("hello"); err != nil || !strings.HasSuffix(response, " hello") {
		h.t.Errorf("response %q, %v", response, err)
	}
}

// repeatInitial repeats a client's first packet and waits until it reaches a room server.
func (h *handOver) repeatInitial(c *fakeClient) {
	h.t.Helper()
	before := h.initials(c)
	c.conn.Write(c.initial)
	eventually(h.t, "the repeated packet arrives", func() bool { return h.initials(c) != before })
}

// attempts returns the number of attempts that a process has made.
func attempts(b *testBalancer) uint64 { return b.engine.CurrentSnapshot(time.Second).Attempts }

// newLink returns the two ends of a connection that keeps the boundaries of messages.
func newLink(t *testing.T) (*net.UnixConn, *net.UnixConn) {
	t.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*net.UnixConn
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "link")
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		ends[i] = conn.(*net.UnixConn)
	}
	return ends[0], ends[1]
}

// repeatRules are the repeat rules of a request class.
var repeatRules = map[string]decide.Idempotency{
	"idempotent":        decide.Idempotent,
	"idempotent by key": decide.IdempotentByKey,
	"not idempotent":    decide.NotIdempotent,
}

// Guards against a second attempt beside the first at a hot restart: a request is pending at the previous process while
// its client repeats the first packet, which the replacement process reads.
func TestPendingRequestStaysAtPreviousProcess(t *testing.T) {
	t.Parallel()
	for name, idempotency := range repeatRules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHandOver(t, idempotency, ignores)
			var clients []*fakeClient
			for range 6 {
				clients = append(clients, h.newPendingClient())
			}
			previous, replacement := h.replace()
			h.serve(previous, replacement)
			for _, c := range clients {
				h.repeatInitial(c)
			}
			if n := attempts(replacement); n != 0 {
				t.Errorf("the replacement made %d attempts for requests of the previous process", n)
			}
			h.setMode(accepts)
			for _, c := range clients {
				c.mustOpen()
				h.wantAnswer(c)
				if idempotency == decide.NotIdempotent {
					h.wantOneServer(c)
				}
			}
			if s := replacement.engine.CurrentSnapshot(time.Second); s.Restored != 0 || s.Attempts != 0 {
				t.Errorf("the replacement restored %d connections that the previous process holds", s.Restored)
			}
			other := newFakeClient(t, previous.frontend.Addr())
			other.mustOpen()
			if n := attempts(replacement); n != 1 {
				t.Errorf("the replacement made %d attempts for a new request, want 1", n)
			}
		})
	}
}

// An established connection continues at its room server after the end of the previous process, also if its client
// still repeats its first packet.
func TestEstablishedConnectionOutlivesPreviousProcess(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, accepts)
	var clients []*fakeClient
	for range 4 {
		c := newFakeClient(t, h.processes[0].frontend.Addr())
		c.mustOpen()
		clients = append(clients, c)
	}
	previous, replacement := h.replace()
	h.serve(previous, replacement)
	previous.stop()
	for i, c := range clients {
		if i%2 == 0 { // The server's first answer was lost.
			c.mustOpen()
		}
		h.wantAnswer(c)
		h.wantOneServer(c)
	}
	first, _, _ := h.servers[0].counts()
	second, _, _ := h.servers[1].counts()
	if first+second != len(clients) {
		t.Errorf("%d connections were accepted for %d clients", first+second, len(clients))
	}
}

// A request that the previous process has rejected gets the same answer if its client repeats the first packet, before
// and after the end of that process, and causes no further attempt.
func TestAnsweredRequestIsNotRepeated(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, rejects)
	c := newFakeClient(t, h.processes[0].frontend.Addr())
	first, err := c.open(20 * time.Second)
	if err != nil || first == nil {
		t.Fatalf("open: %+v, %v, want a rejection", first, err)
	}
	h.setMode(accepts)
	received := h.initials(c)
	previous, replacement := h.replace()
	h.serve(previous, replacement)
	for _, stopped := range []bool{false, true} {
		if stopped {
			previous.stop()
		}
		again, err := c.open(5 * time.Second)
		if err != nil || again == nil || *again != *first {
			t.Errorf("repeated with the previous process stopped %v: %+v, %v, want %+v", stopped, again, err, first)
		}
	}
	if n := h.initials(c); n != received || attempts(replacement) != 0 {
		t.Errorf("the room servers received %v Initial packets, want %v", n, received)
	}
}

// If one of the two processes dies while a request is pending there, the other one repeats the request only if it may
// be executed twice. Otherwise the request fails.
func TestProcessDiesWithPendingRequest(t *testing.T) {
	t.Parallel()
	for name, idempotency := range repeatRules {
		for _, replacementDies := range []bool{false, true} {
			died := "previous dies"
			if replacementDies {
				died = "replacement dies"
			}
			t.Run(name+", "+died, func(t *testing.T) {
				t.Parallel()
				h := newHandOver(t, idempotency, ignores)
				var c *fakeClient
				var dies, survives *testBalancer
				if replacementDies {
					survives, dies = h.replace()
					h.serve(survives, dies)
					c = h.newPendingClient()
					survives.pause.Resume()
				} else {
					c = h.newPendingClient()
					dies, survives = h.replace()
					h.serve(dies, survives)
				}
				dies.stop()
				h.setMode(accepts)
				received := h.initials(c)
				closed, err := c.open(5 * time.Second)
				if idempotency == decide.Idempotent {
					if err != nil || closed != nil {
						t.Errorf("open: %+v, %v, want the request repeated", closed, err)
					}
					return
				}
				if err != nil || closed == nil || closed.code != internalError {
					t.Errorf("open: %+v, %v, want a failure", closed, err)
				}
				if n := h.initials(c); n != received || attempts(survives) != 0 {
					t.Errorf("the room servers received %v Initial packets, want %v", n, received)
				}
			})
		}
	}
}

// The previous process dies before the replacement serves. The replacement knows its pending requests all the same.
func TestPreviousDiesBeforeReplacementServes(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, ignores)
	previous, replacement := h.replace()
	c := h.newPendingClient()
	previous.stop()
	replacement.frontend.WaitForPreviousPause(t.Context())
	replacement.pause.Resume()
	if closed, err := c.open(5 * time.Second); err != nil || closed == nil || closed.code != internalError {
		t.Errorf("open: %+v, %v, want a failure", closed, err)
	}
	if n := attempts(replacement); n != 0 {
		t.Errorf("the replacement made %d attempts, want 0", n)
	}
}

// A client that closes its connection while its request is pending at the previous process ends the request there.
func TestCloseReachesPreviousProcess(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, ignores)
	c := h.newPendingClient()
	previous, replacement := h.replace()
	h.serve(previous, replacement)
	c.conn.Write(c.closeDatagram())
	eventually(t, "the close is counted", func() bool {
		return previous.engine.CurrentSnapshot(time.Second).ClientsLeft == 1
	})
	c.conn.Write(c.closeDatagram()) // Its flow has ended: no new request.
	other := newFakeClient(t, previous.frontend.Addr())
	h.setMode(accepts)
	other.mustOpen()
	if n := attempts(replacement); n != 1 {
		t.Errorf("the replacement made %d attempts, want 1, for the other client", n)
	}
}

// A second hot restart begins while the first process still holds a pending request: its packets pass through the
// second process. After the end of the first, the third serves the connection.
func TestSecondHandOver(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, ignores)
	early := h.newPendingClient()
	first, second := h.replace()
	h.serve(first, second)
	late := h.newPendingClient()
	_, third := h.replace()
	h.serve(second, third)
	for _, c := range []*fakeClient{early, late} {
		h.repeatInitial(c)
		h.wantOneServer(c)
	}
	h.setMode(accepts)
	early.mustOpen()
	late.mustOpen()
	for _, stop := range []func(){func() {}, first.stop, second.stop} {
		stop()
		for _, c := range []*fakeClient{early, late} {
			h.wantAnswer(c)
			h.wantOneServer(c)
		}
	}
}

// Beside a previous process of a version that does not describe its flows, the replacement begins no request, since
// each first packet may repeat one that is pending there. It begins requests after the end of that process.
func TestRequestsAreSuspendedBesideUndescribedFlows(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, ignores)
	pending := h.newPendingClient()
	previous := h.processes[0]
	shared := duplicate(t, previous.frontend.conn)
	shared.SetReadDeadline(time.Unix(1, 0))
	replacement := h.start(shared)
	exited := make(chan struct{})
	replacement.frontend.SuspendRequests(exited)
	previous.pause.Pause()
	replacement.pause.Resume()
	h.setMode(accepts)
	other := newFakeClient(t, previous.frontend.Addr())
	for _, c := range []*fakeClient{pending, other} {
		// The first packet may still be read by the previous process, whose reader the pause wakes.
		if closed, err := c.open(500 * time.Millisecond); err == nil && c == other && attempts(previous) < 2 {
			t.Errorf("open: %+v, want no answer", closed)
		}
	}
	if n := attempts(replacement); n != 0 {
		t.Errorf("the replacement made %d attempts, want 0", n)
	}
	h.wantOneServer(pending)
	previous.stop()
	close(exited)
	newFakeClient(t, previous.frontend.Addr()).mustOpen()
}

// A peer that does not read its messages is given up: this process goes on to serve.
func TestPeerHangs(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, accepts)
	b := h.processes[0]
	own, unread := newLink(t)
	defer unread.Close()
	own.SetWriteBuffer(1)
	b.frontend.AddReplacement(b.ctx, own)
	for range 10 {
		newFakeClient(t, b.frontend.Addr()).mustOpen()
	}
	eventually(t, "the peer is given up", func() bool {
		peers := -1
		b.frontend.runInRouter(func() { peers = len(b.frontend.peers) })
		return peers == 0
	})
}

// An answer of the first process is known to the third, to which the second has passed it on.
func TestAnswerIsKnownAfterTwoHandOvers(t *testing.T) {
	t.Parallel()
	h := newHandOver(t, decide.NotIdempotent, ignores)
	c := h.newPendingClient()
	first, second := h.replace()
	h.serve(first, second)
	_, third := h.replace()
	h.serve(second, third)
	h.setMode(rejects)
	closed, err := c.open(20 * time.Second) // The request is rejected at the end of its time.
	if err != nil || closed == nil || closed.code != connectionRefused {
		t.Fatalf("open: %+v, %v, want a rejection", closed, err)
	}
	eventually(t, "the third process knows the answer", func() bool {
		answered := false
		third.frontend.runInRouter(func() {
			remote := third.frontend.remote.byID[string(c.originalID)]
			answered = remote != nil && remote.state == flowAnswered
		})
		return answered
	})
	first.stop()
	second.stop()
	h.setMode(accepts)
	if again, err := c.open(5 * time.Second); err != nil || again == nil || *again != *closed {
		t.Errorf("repeated: %+v, %v, want %+v", again, err, closed)
	}
	if n := attempts(third); n != 0 {
		t.Errorf("the third process made %d attempts, want 0", n)
	}
}

// newUnservedFrontend returns a frontend whose router does not run, so that a test can run the router's functions
// itself, and the end of a link to a peer of it.
func newUnservedFrontend(t *testing.T, ids *IDFormat) (*Frontend, *net.UnixConn) {
	t.Helper()
	b := newTestBalancer(t, "127.0.0.1:0", ids, nil)
	cfg := b.frontend.cfg
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	cfg.Conn = conn
	f := New(cfg, b.engine, b.frontend.log)
	own, other := newLink(t)
	p, err := newPeer(own, false)
	if err != nil {
		t.Fatal(err)
	}
	f.peers = append(f.peers, p)
	t.Cleanup(func() { own.Close(); other.Close(); close(f.routerDone) })
	return f, other
}

// A datagram is routed after the messages of peers that have arrived, although their handling was not due yet. The
// process that holds a flow describes it before it sends the client a connection ID, so the message is there.
func TestArrivedMessagesAreHandledBeforeRouting(t *testing.T) {
	t.Parallel()
	f, other := newUnservedFrontend(t, newTestFormat(t, testIDKey))
	id := []byte("an id")
	raw, err := peerMessage{Flows: []flowRecord{{IDs: [][]byte{id}, State: flowEstablished, Server: 7}}}.encode()
	if err != nil {
		t.Fatal(err)
	}
	other.Write(raw)
	if remote := f.findRemote(t.Context(), id); remote == nil || remote.server != 7 {
		t.Errorf("found %+v, want the flow of the peer", remote)
	}
}

// A paused process tells its peers so only after it has routed and described what it has read before.
func TestPauseIsToldAfterLastDatagram(t *testing.T) {
	t.Parallel()
	f, other := newUnservedFrontend(t, newTestFormat(t, testIDKey))
	c := newFakeClient(t, f.Addr())
	f.datagrams <- datagram{c.conn.LocalAddr().(*net.UDPAddr).AddrPort(), c.initial}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for {
			select {
			case task := <-f.routerTasks:
				task()
				cancel() // Ends the pause after the first task.
			case <-f.routerDone:
				return
			}
		}
	}()
	f.waitWhilePaused(ctx, hotrestart.NewPauser(f.conn.SetReadDeadline), os.ErrDeadlineExceeded)
	buffer := make([]byte, maxPeerMessageSize)
	for i, want := range []string{"the flow", "the pause"} {
		other.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := other.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		message, err := decodePeerMessage(buffer[:n])
		described := len(message.Flows) == 1 && string(message.Flows[0].IDs[0]) == string(c.originalID)
		paused := message.Reading != nil && !*message.Reading
		if err != nil || described != (i == 0) || paused != (i == 1) {
			t.Errorf("message %d is %+v, %v, want %s", i, message, err, want)
		}
	}
}

// The bytes of messages must not change, as the two processes may be of different versions. Fields that a later version
// adds are ignored.
func TestPeerMessageBytes(t *testing.T) {
	t.Parallel()
	reading := true
	from := netip.MustParseAddrPort("127.0.0.1:4433")
	for name, test := range map[string]struct {
		message peerMessage
		hex     string
	}{
		"flow": {
			peerMessage{Flows: []flowRecord{{IDs: [][]byte{{0xff, 1}}, State: flowEstablished, Server: 7}}},
			"a10181a3018142ff0102020307",
		},
		"answer": {
			peerMessage{Flows: []flowRecord{{
				IDs:      [][]byte{{9}},
				State:    flowAnswered,
				Answer:   []byte{5},
				Orphaned: true,
			}}},
			"a10181a4018141090203044105" + "05f5",
		},
		"reading":  {peerMessage{Reading: &reading}, "a102f5"},
		"datagram": {peerMessage{Datagram: &forwardedDatagram{from, []byte{0x40}}}, "a103a201467f000001511102" + "4140"},
	} {
		raw, err := test.message.encode()
		if got := hex.EncodeToString(raw); err != nil || got != test.hex {
			t.Errorf("%s: encoded as %s, %v, want %s", name, got, err, test.hex)
		}
		if decoded, err := decodePeerMessage(raw); err != nil || !reflect.DeepEqual(decoded, test.message) {
			t.Errorf("%s: decoded as %+v, %v, want %+v", name, decoded, err, test.message)
		}
	}
	later, _ := hex.DecodeString("a202f4186301") // Reading, and a field 99.
	if message, err := decodePeerMessage(later); err != nil || message.Reading == nil || *message.Reading {
		t.Errorf("a message with a further field: %+v, %v", message, err)
	}
}
