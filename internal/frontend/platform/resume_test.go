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

const stateWait = 400 * time.Millisecond

// site is some balancers before some room servers that keep sessions, with one ring of keys.
type site struct {
	t         testing.TB
	rooms     []*emulator.RoomServer
	balancers []*balancer
	key       token.Key
	limits    SessionLimits
}

func newSite(t testing.TB, balancers int, rooms ...emulator.RoomServerConfig) *site {
	t.Helper()
	key, err := token.NewKey(time.Now().Add(-time.Hour), time.Now().Add(time.Hour), zeros{})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, key: key, limits: SessionLimits{Site: "armor", TokenLifetime: time.Hour, MaxState: 4096, MaxBytes: 1 << 20, MaxMigrations: 64}}
	for i, cfg := range rooms {
		cfg.Name = fmt.Sprintf("s-%d", i+1)
		r, err := emulator.NewRoomServer(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Stop)
		s.rooms = append(s.rooms, r)
	}
	for range balancers {
		s.balancers = append(s.balancers, s.balancer())
	}
	return s
}

var keeps = emulator.RoomServerConfig{Keeps: true, State: 100}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// balancer starts another balancer of the site, as a restart does: it knows the keys and nothing else.
func (s *site) balancer() *balancer {
	s.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var known []core.Endpoint
	for i := range s.rooms {
		known = append(known, s.instance(i, decide.Ready))
	}
	module, err := core.New(core.Config{Known: known, MaxClients: 300, StateTimeout: stateWait, Log: func(string) {},
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
	running.Go(func() { module.Run(ctx, prober, noList{}); prober.Wait() })
	running.Go(func() { front.Serve(ctx, l, pause) })
	b := &balancer{module: module, front: front, pause: pause, addr: l.Addr().String()}
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	s.t.Cleanup(b.stop)
	return b
}

func (s *site) instance(room int, state decide.State) core.Endpoint {
	r := s.rooms[room]
	return core.Endpoint{Name: r.Name(), Address: r.Address(), Server: decide.Server{ID: core.ServerID(r.Name()), Zone: "a",
		State: state}}
}

// set tells all balancers the state of a room server.
func (s *site) set(room int, state decide.State) {
	for _, b := range s.balancers {
		b.module.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{s.instance(room, state)}})
		b.module.CurrentSnapshot(5 * time.Second)
	}
}

// only leaves one room server ready at all balancers.
func (s *site) only(room int) {
	for i := range s.rooms {
		state := decide.Draining
		if i == room {
			state = decide.Ready
		}
		s.set(i, state)
	}
}

func resumes(token string) string {
	return strings.Replace(opening(), "\r\n", ",resume="+token+"\r\n", 1)
}

// begin starts a session at a room server and plays some moves of it; it returns its client and its token.
func (s *site) begin(b *balancer, room, moves int) (*client, string) {
	s.t.Helper()
	s.only(room)
	c := b.client(s.t)
	c.send(resumes("new"))
	return c, c.hasBoard(0, moves)
}

// line reads one line.
func (c *client) line() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", line, err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// hasBoard reads UP and the token, and plays from a position on.
func (c *client) hasBoard(position, moves int) string {
	c.t.Helper()
	if line := c.line(); !strings.HasPrefix(line, "UP s-") {
		c.t.Fatalf("read %q, want UP", line)
	}
	given, ok := strings.CutPrefix(c.line(), "TOKEN ")
	if !ok {
		c.t.Fatalf("read no token: %q", given)
	}
	c.send("HAVE\r\n")
	c.want(fmt.Sprintf("POS %d\r\n", position))
	for n := position + 1; n <= position+moves; n++ {
		c.send(fmt.Sprintf("PLAY %d\r\n", n))
		c.want(fmt.Sprintf("POS %d\r\n", n))
	}
	return given
}

// present sends a request with a token and returns its client.
func (s *site) present(b *balancer, token string) *client {
	s.t.Helper()
	c := b.client(s.t)
	c.send(resumes(token))
	return c
}

// answered presents a token, wants a final answer within a time, and the end after it.
func (s *site) answered(b *balancer, token, want string, within time.Duration) {
	s.t.Helper()
	from := time.Now()
	c := s.present(b, token)
	if line := c.line(); line != want && !(strings.HasSuffix(want, "*") && strings.HasPrefix(line, strings.TrimSuffix(want, "*"))) {
		s.t.Fatalf("answered %q, want %q", line, want)
	}
	if took := time.Since(from); took > within {
		s.t.Errorf("%s after %v", want, took)
	}
	c.wantEnd()
}

// move sends the client of a drained room server away and returns its new token.
func (s *site) move(c *client, from, to int) string {
	s.t.Helper()
	s.only(to)
	s.rooms[from].Drain()
	given, ok := strings.CutPrefix(c.line(), "TOKEN ")
	if !ok {
		s.t.Fatalf("read %q before MOVE", given)
	}
	c.want("MOVE\r\n")
	c.wantEnd()
	return given
}

func (s *site) startedOver(b *balancer, why core.Reason) uint64 {
	return b.module.CurrentSnapshot(5 * time.Second).StartedOver[why]
}

// A session that a drain sends away goes on where it was, at another balancer, and again, with every move kept. Guards
// the whole way: token, export, import, commit, attach.
func TestSessionGoesOn(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, keeps, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	c = s.present(s.balancers[1], tok)
	next := c.hasBoard(3, 2)
	if next == tok {
		t.Error("no new token")
	}
	tok = s.move(c, 1, 2)
	s.present(s.balancers[0], tok).hasBoard(5, 1)
	for i, want := range []int{0, 0, 1} {
		if _, n := s.rooms[i].Sessions(); n != want {
			t.Errorf("%d sessions attached at %s, want %d", n, s.rooms[i].Name(), want)
		}
	}
	if n := s.balancers[1].module.CurrentSnapshot(5 * time.Second).Resumed; n != 1 {
		t.Errorf("%d resumed at the second balancer", n)
	}
}

// A client whose balancer dies comes back to the room server that still has its board, and to the same one.
func TestSessionGoesOnWhereItIs(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps)
	_, tok := s.begin(s.balancers[0], 0, 3)
	s.balancers[0].stop()
	again := s.balancer()
	s.present(again, tok).hasBoard(3, 1)
	s.answered(again, tok, "ANEW used", time.Second)
}

// A token that is presented again is refused, at whichever balancer and whenever; guards against two boards, or one
// stolen by an old token.
func TestReplay(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, keeps, keeps)
	c, first := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	c = s.present(s.balancers[0], tok)
	c.hasBoard(3, 1)
	for _, b := range append(s.balancers, s.balancer()) { // a restarted one too
		s.answered(b, tok, "ANEW used", time.Second)
		s.answered(b, first, "ANEW used", time.Second)
	}
	c.send("PLAY 5\r\n")
	c.want("POS 5\r\n")
	c.send("BYE\r\n")
	c.want("BYE\r\n")
	s.answered(s.balancers[1], tok, "ANEW over", time.Second)
}

// One token at two balancers at the same instant attaches once, each time; the other is told to come again, or that it
// is used.
func TestReplayAtTheSameInstant(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 2)
	tok := s.move(c, 0, 1)
	var all sync.WaitGroup
	var mu sync.Mutex
	ups := 0
	for i := range 20 {
		c := s.present(s.balancers[i%2], tok)
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
	if _, n := s.rooms[1].Sessions(); n != 1 {
		t.Errorf("%d sessions attached", n)
	}
}

// With the first attach under way, cut off before the client heard of it, the token is good again: no move is lost.
func TestAttachCutOff(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]emulator.Faults{"at GO": {LoseGo: true}, "at COMMIT, done": {LoseCommit: true},
		"at COMMIT, stalled": {StallCommit: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, keeps, keeps, keeps)
			c, _ := s.begin(s.balancers[0], 0, 3)
			tok := s.move(c, 0, 1)
			for _, r := range s.rooms {
				r.Misbehave(fault)
			}
			c = s.present(s.balancers[0], tok)
			time.Sleep(100 * time.Millisecond) // well into it
			s.balancers[0].stop()              // killed between export and attach
			for _, r := range s.rooms {
				r.Misbehave(emulator.Faults{})
			}
			s.only(2)
			for range 20 { // while the first attach's end is not seen yet, the answer is to come again
				c = s.present(s.balancers[1], tok)
				if raw, _ := c.r.Peek(4); string(raw) != "BUSY" {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.hasBoard(3, 1)
		})
	}
}

// An attempt that is lost at GO is made again by the same balancer, along the trace, within the same request.
func TestLostGoIsTriedAgain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	s.set(2, decide.Ready)
	s.rooms[1].Misbehave(emulator.Faults{LoseGo: true})
	s.present(s.balancers[0], tok).hasBoard(3, 1)
}

// What cannot go on is said at once, in its own word, and the client can begin anew. Guards against a hang, and against a
// client that plays on an empty board without knowing.
func TestStartOver(t *testing.T) {
	t.Parallel()
	stop := func(s *site) { s.rooms[0].Stop() }
	for name, v := range map[string]struct {
		why    string
		breaks func(s *site)
		rooms  [2]emulator.RoomServerConfig
	}{
		"no state":              {"gone", func(s *site) { s.rooms[0].Misbehave(emulator.Faults{Forget: true}) }, [2]emulator.RoomServerConfig{keeps, keeps}},
		"dead":                  {"gone", stop, [2]emulator.RoomServerConfig{keeps, keeps}},
		"stalls":                {"late", func(s *site) { s.rooms[0].Misbehave(emulator.Faults{StallExport: true}) }, [2]emulator.RoomServerConfig{keeps, keeps}},
		"dies half-way":         {"gone", func(s *site) { s.rooms[0].Misbehave(emulator.Faults{HalfExport: true}) }, [2]emulator.RoomServerConfig{keeps, keeps}},
		"lies about size":       {"gone", func(s *site) { s.rooms[0].Misbehave(emulator.Faults{SmallState: true}) }, [2]emulator.RoomServerConfig{keeps, keeps}},
		"one byte over":         {"large", func(*site) {}, [2]emulator.RoomServerConfig{{Keeps: true, State: 4097}, keeps}},
		"new one knows nothing": {"unsupported", func(*site) {}, [2]emulator.RoomServerConfig{keeps, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, v.rooms[0], v.rooms[1])
			c, _ := s.begin(s.balancers[0], 0, 3)
			tok := s.move(c, 0, 1)
			v.breaks(s)
			s.answered(s.balancers[0], tok, "ANEW "+v.why, stateWait+time.Second)
			if n := s.startedOver(s.balancers[0], core.Reason(v.why)); n != 1 {
				t.Errorf("%d counted", n)
			}
			c = s.present(s.balancers[0], "new")
			if line := c.line(); !strings.HasPrefix(line, "UP ") {
				t.Errorf("cannot begin anew: %q", line)
			}
		})
	}
}

// A state of exactly the limit goes on.
func TestLargestState(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, emulator.RoomServerConfig{Keeps: true, State: 4096}, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	s.present(s.balancers[0], s.move(c, 0, 1)).hasBoard(3, 1)
}

// Past the bound on bytes in flight a client is told to come again, and its state stays where it is.
func TestBytesInFlight(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	set := s.balancers[0].front.resuming
	if !set.bytes.TryAcquire(1 << 20) {
		t.Fatal("taken already")
	}
	s.answered(s.balancers[0], tok, "BUSY 250", time.Second)
	set.bytes.Release(1 << 20)
	s.present(s.balancers[0], tok).hasBoard(3, 1)
	if !set.bytes.TryAcquire(1<<20) || !set.moves.TryAcquire(64) {
		t.Error("a move gave less back than it took")
	}
}

// Every token that is refused is refused in its own word, before any room server is asked.
func TestRefusedTokens(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 1)
	tok := s.move(c, 0, 1)
	other := newSite(t, 0)
	other.key.Secret = []byte(strings.Repeat("k", 32))
	other.key.ID = "0a0b0c0d"
	seal := func(key token.Key, change func(*token.Token)) string {
		ring, err := token.NewRing([]token.Key{key}, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		v := token.Token{Site: "armor", Room: "5c0f6e1a", Server: "s-1", Expires: time.Now().Add(time.Hour)}
		change(&v)
		text, err := ring.Seal(v, time.Now(), zeros{})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	forged := s.key
	forged.Secret = other.key.Secret
	nothing := func(*token.Token) {}
	spoof := s.balancers[0].client(t)
	spoof.send(strings.Replace(opening(), "\r\n", ",session="+protocol.Open{Mode: protocol.ModeReattach}.String()+"\r\n", 1))
	spoof.want("ERR\r\n")
	for text, why := range map[string]string{
		tok[:40]: "malformed", "7" + tok[1:]: "version", seal(other.key, nothing): "unknown-key",
		seal(forged, nothing): "forged",
		seal(s.key, func(v *token.Token) { v.Expires = time.Now().Add(-time.Hour) }): "expired",
		seal(s.key, func(v *token.Token) { v.Site = "brest" }):                       "site",
		seal(s.key, func(v *token.Token) { v.Room = "other" }):                       "room",
		seal(s.key, nothing): "gone", // a sound one of a session that nobody knows
	} {
		s.answered(s.balancers[0], text, "ANEW "+why, time.Second)
	}
	s.present(s.balancers[0], tok).hasBoard(1, 1)
}

// While nothing switches it on, whatever is said of sessions passes as it is: the platform's wire stays as it was.
func TestOffIsByteForByte(t *testing.T) {
	t.Parallel()
	const said = "UP receipt-1\r\nKEPT 1 0\r\nPOS 3\r\nTOKEN x\r\nMOVE\r\n"
	server := newServer(t, "s-1", say(said))
	b := newBalancer(t, server)
	for _, text := range []string{resumes("new"), resumes("1.0a0b0c0d.AAAA"), opening(),
		strings.Replace(opening(), "\r\n", ",session=new\r\n", 1)} {
		c := b.client(t)
		c.send(text)
		got, err := io.ReadAll(c.r)
		if err != nil || string(got) != said {
			t.Errorf("%q brings %q, %v", text, got, err)
		}
		lines := server.lines()
		head, tail, _ := strings.Cut(text, "d=2000")
		if last := lines[len(lines)-1]; !strings.HasPrefix(last, head+"d=") || !strings.HasSuffix(last, tail) {
			t.Errorf("%q goes on as %q", text, last)
		}
	}
}

// With it on, a client that asks for nothing and a room server that knows nothing go on as before.
func TestOldClientsAndServers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps, emulator.RoomServerConfig{})
	s.only(0)
	c := s.balancers[0].client(t)
	c.send(opening())
	if line := c.line(); !strings.HasPrefix(line, "UP s-1-") {
		t.Fatalf("read %q", line)
	}
	c.send("hello\r\n")
	c.want("RE hello\r\n")
	s.only(1)
	c = s.balancers[0].client(t)
	c.send(resumes("new"))
	if line := c.line(); !strings.HasPrefix(line, "UP s-2-") {
		t.Fatalf("read %q", line)
	}
	c.send("hello\r\n")
	c.want("RE hello\r\n") // no token before it
}

// A client that goes away while its state travels leaves nothing held, and comes back to its board.
func TestClientGoesWhileStateTravels(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	s.rooms[0].Misbehave(emulator.Faults{StallCommit: true})
	c = s.present(s.balancers[0], tok)
	time.Sleep(50 * time.Millisecond)
	c.conn.SetLinger(0)
	c.conn.Close()
	s.rooms[0].Misbehave(emulator.Faults{})
	time.Sleep(100 * time.Millisecond)
	s.present(s.balancers[0], tok).hasBoard(3, 1)
	if set := s.balancers[0].front.resuming; !set.moves.TryAcquire(63) {
		t.Error("the move that was given up holds its place")
	}
}

// The new room server drains while the move is under way: the session comes to a third one.
func TestSecondDrainUnderWay(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, keeps, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	s.rooms[1].Drain() // discovery is late: the balancers still think that it is ready
	s.set(2, decide.Ready)
	s.present(s.balancers[1], tok).hasBoard(3, 1)
	if _, n := s.rooms[2].Sessions(); n != 1 {
		t.Errorf("%d attached at the third", n)
	}
}

// The new room server dies while the move waits for its commit: the balancer asks what became of it and brings the
// session to a third one.
func TestNewOneDies(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, keeps, keeps, keeps)
	c, _ := s.begin(s.balancers[0], 0, 3)
	tok := s.move(c, 0, 1)
	s.rooms[0].Misbehave(emulator.Faults{StallCommit: true})
	c = s.present(s.balancers[0], tok)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if s.rooms[0].StalledCommits() == 1 {
			break
		} else if time.Now().After(end) {
			t.Fatal("the commit did not come")
		}
	}
	s.rooms[0].Misbehave(emulator.Faults{})
	s.only(2)
	s.rooms[1].Stop()
	c.hasBoard(3, 1)
}

// A lame duck's clients get their tokens with MOVE and go on at another balancer, where they are. Guards moves that a
// balancer makes itself, as for overload and in a planned stop.
func TestMovedByTheBalancer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, keeps)
	c, first := s.begin(s.balancers[0], 0, 3)
	if err := s.balancers[0].module.EnterLameDuck(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	tok, ok := strings.CutPrefix(c.line(), "TOKEN ")
	if !ok || tok == first {
		t.Fatalf("read %q", tok)
	}
	c.want("MOVE\r\n")
	s.present(s.balancers[1], tok).hasBoard(3, 1)
}

// A whole puzzle room of 60 is moved at once: all of it goes on, at one room server.
func TestWholeRoom(t *testing.T) {
	t.Parallel()
	const players = 60
	large := emulator.RoomServerConfig{Keeps: true, State: 100, Capacity: 400}
	s := newSite(t, 2, large, large, large)
	var clients []*client
	for i := range players {
		c, _ := s.begin(s.balancers[i%2], 0, 1)
		clients = append(clients, c)
	}
	// Other rooms' players, by whom the balancers know what a connection loads a room server with.
	for i := range players {
		s.only(1 + i%2)
		c := s.balancers[i/2%2].client(t)
		c.send(strings.Replace(opening(), "g=5c0f6e1a", fmt.Sprintf("g=other%d", i), 1))
		if line := c.line(); !strings.HasPrefix(line, "UP s-") {
			t.Fatalf("read %q", line)
		}
	}
	s.set(1, decide.Ready)
	s.set(2, decide.Ready)
	time.Sleep(1500 * time.Millisecond) // both are probed by then, as room servers that have served for a while are
	s.set(0, decide.Draining)
	s.rooms[0].Drain()
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
			io.WriteString(conn, resumes(given))
			r := bufio.NewReader(conn)
			for _, want := range []string{"UP ", "TOKEN "} {
				if line, err := r.ReadString('\n'); !strings.HasPrefix(line, want) {
					t.Errorf("read %q, %v, want %s", line, err, want)
				}
			}
		})
	}
	all.Wait()
	_, one := s.rooms[1].Sessions()
	_, two := s.rooms[2].Sessions()
	if one+two != players || one != 0 && two != 0 {
		t.Errorf("%d and %d attached", one, two)
	}
}

// The client's line for the room server is the same but for d and what it says of its session.
func TestForwardSession(t *testing.T) {
	f, err := parseFirst("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,resume=new,t=familles,d=2000,g=5c0f", testNames)
	if err != nil || f.resume != "new" {
		t.Fatal(f, err)
	}
	o := protocol.Open{Mode: protocol.ModeNew, Ref: token.Ref{Epoch: 1, Fence: 0xab}}
	want := "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,session=" + o.String() + ",t=familles,d=1500,g=5c0f"
	if got := f.forwardSession(1500*time.Millisecond, o); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
