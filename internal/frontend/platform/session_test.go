package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
	"cottonplank/internal/testbench/emulator"

	"github.com/sirupsen/logrus"
)

const stateTimeout = 400 * time.Millisecond

// sessionFixture is some balancers before some room servers that keep sessions, with one ring of keys.
type sessionFixture struct {
	t         testing.TB
	servers   []*emulator.RoomServer
	balancers []*testBalancer
	key       token.Key
	limits    SessionLimits
}

func newSessionFixture(t testing.TB, balancers int, rooms ...emulator.RoomServerConfig) *sessionFixture {
	t.Helper()
	key, err := token.NewKey(time.Now().Add(-time.Hour), time.Now().Add(time.Hour), zeroReader{})
	if err != nil {
		t.Fatal(err)
	}
	s := &sessionFixture{t: t, key: key, limits: SessionLimits{Site: "armor", TokenLifetime: time.Hour, MaxState: 4096, MaxBytes: 1 << 20, MaxMigrations: 64}}
	for i, cfg := range rooms {
		cfg.Name = fmt.Sprintf("s-%d", i+1)
		r, err := emulator.NewRoomServer(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Stop)
		s.servers = append(s.servers, r)
	}
	for range balancers {
		s.balancers = append(s.balancers, s.startBalancer())
	}
	return s
}

var sessionServer = emulator.RoomServerConfig{Keeps: true, State: 100}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// startBalancer starts another balancer of the site, as a restart does: it knows the keys and nothing else.
func (s *sessionFixture) startBalancer() *testBalancer {
	s.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var known []core.Endpoint
	for i := range s.servers {
		known = append(known, s.endpoint(i, decide.Ready))
	}
	module, err := core.New(core.Config{Known: known, MaxClients: 300, StateTimeout: stateTimeout, Log: func(string) {},
		Settings: decide.Settings{Seed: 5, Zone: "a", MaxAttempts: 3, MaxRetryAfter: 1500 * time.Millisecond, GroupAffinity: true, ProbingAllowed: true,
			Classes: []decide.Class{{Name: "solo-play", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second}},
			Safety:  decide.SafetyLimits{DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.3, SlowStartDuration: time.Second, OverloadFactor: 4, OverloadWindow: time.Second}}})
	if err != nil {
		s.t.Fatal(err)
	}
	l, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	front, pause := New(module, testNames, DescriptorBudget{Total: 600, DialReserve: 200}, log), hotrestart.NewPauser(l.SetDeadline)
	ring, err := token.NewRing([]token.Key{s.key}, s.limits.TokenLifetime)
	if err != nil {
		s.t.Fatal(err)
	}
	front.EnableSessions(NewSessionResumer(s.limits, ring))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	prober := NewProber(ctx, module, 100)
	running.Go(func() { module.Run(ctx, prober, noDiscovery{}); prober.Wait() })
	running.Go(func() { front.Serve(ctx, l, pause) })
	b := &testBalancer{engine: module, frontend: front, pause: pause, addr: l.Addr().String()}
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	s.t.Cleanup(b.stop)
	return b
}

func (s *sessionFixture) endpoint(room int, state decide.State) core.Endpoint {
	r := s.servers[room]
	return core.Endpoint{Name: r.Name(), Address: r.Address(), Server: decide.Server{ID: core.ServerID(r.Name()), Zone: "a",
		State: state}}
}

// setState tells all balancers the state of a room server.
func (s *sessionFixture) setState(room int, state decide.State) {
	for _, b := range s.balancers {
		b.engine.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{s.endpoint(room, state)}})
		b.engine.CurrentSnapshot(5 * time.Second)
	}
}

// setOnlyReady leaves one room server ready at all balancers.
func (s *sessionFixture) setOnlyReady(room int) {
	for i := range s.servers {
		state := decide.Draining
		if i == room {
			state = decide.Ready
		}
		s.setState(i, state)
	}
}

func requestLineWithToken(token string) string {
	return strings.Replace(newRequestLine(), "\r\n", ",resume="+token+"\r\n", 1)
}

// startSession starts a session at a room server and plays some moves of it; it returns its client and its token.
func (s *sessionFixture) startSession(b *testBalancer, room, moves int) (*testClient, string) {
	s.t.Helper()
	s.setOnlyReady(room)
	c := b.newClient(s.t)
	c.send(requestLineWithToken("new"))
	return c, c.wantSession(0, moves)
}

// readLine reads one line.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", line, err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// wantSession reads UP and the token, and plays from a position on.
func (c *testClient) wantSession(position, moves int) string {
	c.t.Helper()
	if line := c.readLine(); !strings.HasPrefix(line, "UP s-") {
		c.t.Fatalf("read %q, want UP", line)
	}
	given, ok := strings.CutPrefix(c.readLine(), "TOKEN ")
	if !ok {
		c.t.Fatalf("read no token: %q", given)
	}
	c.send("HAVE\r\n")
	c.wantLine(fmt.Sprintf("POS %d\r\n", position))
	for n := position + 1; n <= position+moves; n++ {
		c.send(fmt.Sprintf("PLAY %d\r\n", n))
		c.wantLine(fmt.Sprintf("POS %d\r\n", n))
	}
	return given
}

// presentToken sends a request with a token and returns its client.
func (s *sessionFixture) presentToken(b *testBalancer, token string) *testClient {
	s.t.Helper()
	c := b.newClient(s.t)
	c.send(requestLineWithToken(token))
	return c
}

// wantFinalAnswer presents a token, wants a final answer within a time, and the end after it.
func (s *sessionFixture) wantFinalAnswer(b *testBalancer, token, want string, within time.Duration) {
	s.t.Helper()
	from := time.Now()
	c := s.presentToken(b, token)
	if line := c.readLine(); line != want && !(strings.HasSuffix(want, "*") && strings.HasPrefix(line, strings.TrimSuffix(want, "*"))) {
		s.t.Fatalf("answered %q, want %q", line, want)
	}
	if took := time.Since(from); took > within {
		s.t.Errorf("%s after %v", want, took)
	}
	c.wantEOF()
}

// drainAndMove sends the client of a drained room server away and returns its new token.
func (s *sessionFixture) drainAndMove(c *testClient, from, to int) string {
	s.t.Helper()
	s.setOnlyReady(to)
	s.servers[from].Drain()
	given, ok := strings.CutPrefix(c.readLine(), "TOKEN ")
	if !ok {
		s.t.Fatalf("read %q before MOVE", given)
	}
	c.wantLine("MOVE\r\n")
	c.wantEOF()
	return given
}

func (s *sessionFixture) startedOverCount(b *testBalancer, why core.Reason) uint64 {
	return b.engine.CurrentSnapshot(5 * time.Second).StartedOver[why]
}

// A session that a drain sends away goes on where it was, at another balancer, and again, with every move kept. Guards
// the whole way: token, export, import, commit, attach.
func TestSessionMigrates(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	c = s.presentToken(s.balancers[1], tok)
	next := c.wantSession(3, 2)
	if next == tok {
		t.Error("no new token")
	}
	tok = s.drainAndMove(c, 1, 2)
	s.presentToken(s.balancers[0], tok).wantSession(5, 1)
	for i, want := range []int{0, 0, 1} {
		if _, n := s.servers[i].Sessions(); n != want {
			t.Errorf("%d sessions attached at %s, want %d", n, s.servers[i].Name(), want)
		}
	}
	if n := s.balancers[1].engine.CurrentSnapshot(5 * time.Second).Resumed; n != 1 {
		t.Errorf("%d resumed at the second balancer", n)
	}
}

// A client whose balancer dies comes back to the room server that still has its board, and to the same one.
func TestSessionReattachesAfterRestart(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer)
	_, tok := s.startSession(s.balancers[0], 0, 3)
	s.balancers[0].stop()
	again := s.startBalancer()
	s.presentToken(again, tok).wantSession(3, 1)
	s.wantFinalAnswer(again, tok, "ANEW used", time.Second)
}

// A token that is presented again is refused, at whichever balancer and whenever; guards against two boards, or one
// stolen by an old token.
func TestReplayedTokenIsRejected(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer, sessionServer)
	c, first := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	c = s.presentToken(s.balancers[0], tok)
	c.wantSession(3, 1)
	for _, b := range append(s.balancers, s.startBalancer()) { // a restarted one too
		s.wantFinalAnswer(b, tok, "ANEW used", time.Second)
		s.wantFinalAnswer(b, first, "ANEW used", time.Second)
	}
	c.send("PLAY 5\r\n")
	c.wantLine("POS 5\r\n")
	c.send("BYE\r\n")
	c.wantLine("BYE\r\n")
	s.wantFinalAnswer(s.balancers[1], tok, "ANEW over", time.Second)
}

// One token at two balancers at the same instant attaches once, each time; the other is told to come again, or that it
// is used.
func TestConcurrentReplayAttachesOnce(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 2)
	tok := s.drainAndMove(c, 0, 1)
	var all sync.WaitGroup
	var mu sync.Mutex
	ups := 0
	for i := range 20 {
		c := s.presentToken(s.balancers[i%2], tok)
		all.Go(func() {
			line, _ := c.r.ReadString('\n')
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.HasPrefix(line, "UP "):
				ups++
			case !strings.HasPrefix(line, "BUSY") && !strings.HasPrefix(line, "ANEW used"):
				t.Errorf("answered %q", line)
			}
		})
	}
	all.Wait()
	if ups != 1 {
		t.Errorf("%d attached", ups)
	}
	if _, n := s.servers[1].Sessions(); n != 1 {
		t.Errorf("%d sessions attached", n)
	}
}

// With the first attach under way, cut off before the client heard of it, the token is good again: no move is lost.
func TestInterruptedAttachKeepsSession(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]emulator.Faults{"at GO": {LoseGo: true}, "at COMMIT, done": {LoseCommit: true},
		"at COMMIT, stalled": {StallCommit: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSessionFixture(t, 2, sessionServer, sessionServer, sessionServer)
			c, _ := s.startSession(s.balancers[0], 0, 3)
			tok := s.drainAndMove(c, 0, 1)
			for _, r := range s.servers {
				r.Misbehave(fault)
			}
			c = s.presentToken(s.balancers[0], tok)
			time.Sleep(100 * time.Millisecond) // well into it
			s.balancers[0].stop()              // killed between export and attach
			for _, r := range s.servers {
				r.Misbehave(emulator.Faults{})
			}
			s.setOnlyReady(2)
			for range 20 { // while the first attach's end is not seen yet, the answer is to come again
				c = s.presentToken(s.balancers[1], tok)
				if raw, _ := c.r.Peek(4); string(raw) != "BUSY" {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.wantSession(3, 1)
		})
	}
}

// An attempt that is lost at GO is made again by the same balancer, along the trace, within the same request.
func TestLostActivateIsRetried(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	s.setState(2, decide.Ready)
	s.servers[1].Misbehave(emulator.Faults{LoseGo: true})
	s.presentToken(s.balancers[0], tok).wantSession(3, 1)
}

// What cannot go on is said at once, in its own word, and the client can begin anew. Guards against a hang, and against a
// client that plays on an empty board without knowing.
func TestStartOver(t *testing.T) {
	t.Parallel()
	stop := func(s *sessionFixture) { s.servers[0].Stop() }
	for name, v := range map[string]struct {
		why    string
		breaks func(s *sessionFixture)
		rooms  [2]emulator.RoomServerConfig
	}{
		"no state":              {"gone", func(s *sessionFixture) { s.servers[0].Misbehave(emulator.Faults{Forget: true}) }, [2]emulator.RoomServerConfig{sessionServer, sessionServer}},
		"dead":                  {"gone", stop, [2]emulator.RoomServerConfig{sessionServer, sessionServer}},
		"stalls":                {"late", func(s *sessionFixture) { s.servers[0].Misbehave(emulator.Faults{StallExport: true}) }, [2]emulator.RoomServerConfig{sessionServer, sessionServer}},
		"dies half-way":         {"gone", func(s *sessionFixture) { s.servers[0].Misbehave(emulator.Faults{HalfExport: true}) }, [2]emulator.RoomServerConfig{sessionServer, sessionServer}},
		"lies about size":       {"gone", func(s *sessionFixture) { s.servers[0].Misbehave(emulator.Faults{SmallState: true}) }, [2]emulator.RoomServerConfig{sessionServer, sessionServer}},
		"one byte over":         {"large", func(*sessionFixture) {}, [2]emulator.RoomServerConfig{{Keeps: true, State: 4097}, sessionServer}},
		"new one knows nothing": {"unsupported", func(*sessionFixture) {}, [2]emulator.RoomServerConfig{sessionServer, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSessionFixture(t, 1, v.rooms[0], v.rooms[1])
			c, _ := s.startSession(s.balancers[0], 0, 3)
			tok := s.drainAndMove(c, 0, 1)
			v.breaks(s)
			s.wantFinalAnswer(s.balancers[0], tok, "ANEW "+v.why, stateTimeout+time.Second)
			if n := s.startedOverCount(s.balancers[0], core.Reason(v.why)); n != 1 {
				t.Errorf("%d counted", n)
			}
			c = s.presentToken(s.balancers[0], "new")
			if line := c.readLine(); !strings.HasPrefix(line, "UP ") {
				t.Errorf("cannot begin anew: %q", line)
			}
		})
	}
}

// A state of exactly the limit goes on.
func TestStateOfMaximumSize(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, emulator.RoomServerConfig{Keeps: true, State: 4096}, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	s.presentToken(s.balancers[0], s.drainAndMove(c, 0, 1)).wantSession(3, 1)
}

// Past the bound on bytes in flight a client is told to come again, and its state stays where it is.
func TestStateBytesLimit(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	set := s.balancers[0].frontend.sessions
	if !set.stateBytes.TryAcquire(1 << 20) {
		t.Fatal("taken already")
	}
	s.wantFinalAnswer(s.balancers[0], tok, "BUSY 250", time.Second)
	set.stateBytes.Release(1 << 20)
	s.presentToken(s.balancers[0], tok).wantSession(3, 1)
	if !set.stateBytes.TryAcquire(1<<20) || !set.migrations.TryAcquire(64) {
		t.Error("a move gave less back than it took")
	}
}

// Every token that is refused is refused in its own word, before any room server is asked.
func TestRejectedTokens(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 1)
	tok := s.drainAndMove(c, 0, 1)
	other := newSessionFixture(t, 0)
	other.key.Secret = []byte(strings.Repeat("k", 32))
	other.key.ID = "0a0b0c0d"
	seal := func(key token.Key, change func(*token.Token)) string {
		ring, err := token.NewRing([]token.Key{key}, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		v := token.Token{Site: "armor", Room: "5c0f6e1a", Server: "s-1", Expires: time.Now().Add(time.Hour)}
		change(&v)
		text, err := ring.Seal(v, time.Now(), zeroReader{})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	forged := s.key
	forged.Secret = other.key.Secret
	nothing := func(*token.Token) {}
	spoof := s.balancers[0].newClient(t)
	spoof.send(strings.Replace(newRequestLine(), "\r\n", ",session="+protocol.Open{Mode: protocol.ModeReattach}.String()+"\r\n", 1))
	spoof.wantLine("ERR\r\n")
	for text, why := range map[string]string{
		tok[:40]: "malformed", "7" + tok[1:]: "version", seal(other.key, nothing): "unknown-key",
		seal(forged, nothing): "forged",
		seal(s.key, func(v *token.Token) { v.Expires = time.Now().Add(-time.Hour) }): "expired",
		seal(s.key, func(v *token.Token) { v.Site = "brest" }):                       "site",
		seal(s.key, func(v *token.Token) { v.Room = "other" }):                       "room",
		seal(s.key, nothing): "gone", // a sound one of a session that nobody knows
	} {
		s.wantFinalAnswer(s.balancers[0], text, "ANEW "+why, time.Second)
	}
	s.presentToken(s.balancers[0], tok).wantSession(1, 1)
}

// While nothing switches it on, whatever is said of sessions passes as it is: the platform's wire stays as it was.
func TestSessionsDisabledRelaysUnchanged(t *testing.T) {
	t.Parallel()
	const said = "UP receipt-1\r\nKEPT 1 0\r\nPOS 3\r\nTOKEN x\r\nMOVE\r\n"
	server := newFakeServer(t, "s-1", respond(said))
	b := newTestBalancer(t, server)
	for _, text := range []string{requestLineWithToken("new"), requestLineWithToken("1.0a0b0c0d.AAAA"), newRequestLine(),
		strings.Replace(newRequestLine(), "\r\n", ",session=new\r\n", 1)} {
		c := b.newClient(t)
		c.send(text)
		got, err := io.ReadAll(c.r)
		if err != nil || string(got) != said {
			t.Errorf("%q brings %q, %v", text, got, err)
		}
		lines := server.receivedLines()
		head, tail, _ := strings.Cut(text, "d=2000")
		if last := lines[len(lines)-1]; !strings.HasPrefix(last, head+"d=") || !strings.HasSuffix(last, tail) {
			t.Errorf("%q goes on as %q", text, last)
		}
	}
}

// With it on, a client that asks for nothing and a room server that knows nothing go on as before.
func TestPeersWithoutSessionExtension(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, emulator.RoomServerConfig{})
	s.setOnlyReady(0)
	c := s.balancers[0].newClient(t)
	c.send(newRequestLine())
	if line := c.readLine(); !strings.HasPrefix(line, "UP s-1-") {
		t.Fatalf("read %q", line)
	}
	c.send("hello\r\n")
	c.wantLine("RE hello\r\n")
	s.setOnlyReady(1)
	c = s.balancers[0].newClient(t)
	c.send(requestLineWithToken("new"))
	if line := c.readLine(); !strings.HasPrefix(line, "UP s-2-") {
		t.Fatalf("read %q", line)
	}
	c.send("hello\r\n")
	c.wantLine("RE hello\r\n") // no token before it
}

// A client that goes away while its state travels leaves nothing held, and comes back to its board.
func TestClientClosesDuringStateTransfer(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	s.servers[0].Misbehave(emulator.Faults{StallCommit: true})
	c = s.presentToken(s.balancers[0], tok)
	time.Sleep(50 * time.Millisecond)
	c.conn.SetLinger(0)
	c.conn.Close()
	s.servers[0].Misbehave(emulator.Faults{})
	time.Sleep(100 * time.Millisecond)
	s.presentToken(s.balancers[0], tok).wantSession(3, 1)
	if set := s.balancers[0].frontend.sessions; !set.migrations.TryAcquire(63) {
		t.Error("the move that was given up holds its place")
	}
}

// The new room server drains while the move is under way: the session comes to a third one.
func TestTargetDrainsDuringMigration(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	s.servers[1].Drain() // discovery is late: the balancers still think that it is ready
	s.setState(2, decide.Ready)
	s.presentToken(s.balancers[1], tok).wantSession(3, 1)
	if _, n := s.servers[2].Sessions(); n != 1 {
		t.Errorf("%d attached at the third", n)
	}
}

// The new room server dies while the move waits for its commit: the balancer asks what became of it and brings the
// session to a third one.
func TestTargetDiesDuringMigration(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 3)
	tok := s.drainAndMove(c, 0, 1)
	s.servers[0].Misbehave(emulator.Faults{StallCommit: true})
	c = s.presentToken(s.balancers[0], tok)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if s.servers[0].StalledCommits() == 1 {
			break
		} else if time.Now().After(end) {
			t.Fatal("the commit did not come")
		}
	}
	s.servers[0].Misbehave(emulator.Faults{})
	s.setOnlyReady(2)
	s.servers[1].Stop()
	c.wantSession(3, 1)
}

// A lame duck's clients get their tokens with MOVE and go on at another balancer, where they are. Guards moves that a
// balancer makes itself, as for overload and in a planned stop.
func TestLameDuckMigratesSessions(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer)
	c, first := s.startSession(s.balancers[0], 0, 3)
	if err := s.balancers[0].engine.EnterLameDuck(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	tok, ok := strings.CutPrefix(c.readLine(), "TOKEN ")
	if !ok || tok == first {
		t.Fatalf("read %q", tok)
	}
	c.wantLine("MOVE\r\n")
	s.presentToken(s.balancers[1], tok).wantSession(3, 1)
}

// A whole puzzle room of 60 is moved at once: all of it goes on, at one room server.
func TestWholeGroupMigrates(t *testing.T) {
	t.Parallel()
	const players = 60
	large := emulator.RoomServerConfig{Keeps: true, State: 100, Capacity: 400}
	s := newSessionFixture(t, 2, large, large, large)
	var clients []*testClient
	for i := range players {
		c, _ := s.startSession(s.balancers[i%2], 0, 1)
		clients = append(clients, c)
	}
	// Other rooms' players, by whom the balancers know what a connection loads a room server with.
	for i := range players {
		s.setOnlyReady(1 + i%2)
		c := s.balancers[i/2%2].newClient(t)
		c.send(strings.Replace(newRequestLine(), "g=5c0f6e1a", fmt.Sprintf("g=other%d", i), 1))
		if line := c.readLine(); !strings.HasPrefix(line, "UP s-") {
			t.Fatalf("read %q", line)
		}
	}
	s.setState(1, decide.Ready)
	s.setState(2, decide.Ready)
	time.Sleep(1500 * time.Millisecond) // both are probed by then, as room servers that have served for a while are
	s.setState(0, decide.Draining)
	s.servers[0].Drain()
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() {
			rest, _ := io.ReadAll(c.r)
			given, ok := strings.CutPrefix(string(rest), "TOKEN ")
			given, ok2 := strings.CutSuffix(given, "\r\nMOVE\r\n")
			if !ok || !ok2 {
				t.Errorf("read %q", rest)
				return
			}
			conn, err := net.Dial("tcp", s.balancers[(i+1)%2].addr)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { conn.Close() })
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(conn, requestLineWithToken(given))
			r := bufio.NewReader(conn)
			for _, want := range []string{"UP ", "TOKEN "} {
				if line, err := r.ReadString('\n'); !strings.HasPrefix(line, want) {
					t.Errorf("read %q, %v, want %s", line, err, want)
				}
			}
		})
	}
	all.Wait()
	_, one := s.servers[1].Sessions()
	_, two := s.servers[2].Sessions()
	if one+two != players || one != 0 && two != 0 {
		t.Errorf("%d and %d attached", one, two)
	}
}

// The client's line for the room server is the same but for d and what it says of its session.
func TestRequestLineWithSession(t *testing.T) {
	f, err := parseRequestLine("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,resume=new,t=familles,d=2000,g=5c0f", testNames)
	if err != nil || f.resumeToken != "new" {
		t.Fatal(f, err)
	}
	o := protocol.Open{Mode: protocol.ModeNew, Ref: token.Ref{Epoch: 1, Fence: 0xab}}
	want := "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,session=" + o.String() + ",t=familles,d=1500,g=5c0f"
	if got := f.withSession(1500*time.Millisecond, o); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
