package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/session/token"
	"cottonplank/internal/testbench/emulator"
)

// stateTimeout is how long the balancers of a sessionFixture wait for a session's state.
const stateTimeout = 400 * time.Millisecond

// sessionServer configures a room server that keeps sessions with 100 bytes of state each.
var sessionServer = emulator.RoomServerConfig{ResumesSessions: true, StateBytes: 100}

// sessionFixture is a set of balancers with common token keys, and of room servers that keep sessions.
type sessionFixture struct {
	t         testing.TB
	servers   []*emulator.RoomServer
	balancers []*testBalancer
	key       token.Key
	limits    SessionLimits
}

// newSessionFixture starts the given room servers and a number of balancers.
func newSessionFixture(t testing.TB, balancers int, servers ...emulator.RoomServerConfig) *sessionFixture {
	t.Helper()
	key, err := token.NewKey(time.Now().Add(-time.Hour), time.Now().Add(time.Hour), zeroReader{})
	if err != nil {
		t.Fatal(err)
	}
	s := &sessionFixture{t: t, key: key, limits: SessionLimits{
		Site:          "armor",
		TokenLifetime: time.Hour,
		MaxState:      4096,
		MaxBytes:      1 << 20,
		MaxMigrations: 64,
	}}
	for i, config := range servers {
		config.Name = serverName(i + 1)
		server, err := emulator.NewRoomServer(config)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		s.servers = append(s.servers, server)
	}
	for range balancers {
		s.balancers = append(s.balancers, s.startBalancer())
	}
	return s
}

// withT returns a copy of the fixture for a subtest.
func (s *sessionFixture) withT(t testing.TB) *sessionFixture {
	forSubtest := *s
	forSubtest.t = t
	return &forSubtest
}

// zeroReader is a source of zero bytes, in place of random ones.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// startBalancer starts another balancer. Like a balancer after a restart, it has the token keys but knows no session.
func (s *sessionFixture) startBalancer() *testBalancer {
	s.t.Helper()
	var known []core.Endpoint
	for i := range s.servers {
		known = append(known, s.endpoint(i, decide.Ready))
	}
	ring, err := token.NewRing([]token.Key{s.key}, s.limits.TokenLifetime)
	if err != nil {
		s.t.Fatal(err)
	}
	settings := newTestSettings(time.Second, 3*time.Second)
	settings.GroupAffinity = true
	settings.ProbingAllowed = true
	return startTestBalancer(s.t, testBalancerConfig{
		engine: core.Config{
			Known:        known,
			MaxClients:   300,
			StateTimeout: stateTimeout,
			Log:          func(string) {},
			Settings:     settings,
		},
		budget:        DescriptorBudget{Total: 600, DialReserve: 200},
		sessions:      NewSessionResumer(s.limits, ring),
		maxProbeConns: 100,
	})
}

// endpoint returns a room server's entry in the endpoint list.
func (s *sessionFixture) endpoint(server int, state decide.State) core.Endpoint {
	emulated := s.servers[server]
	return core.Endpoint{
		Name:    emulated.Name(),
		Address: emulated.Address(),
		Server:  decide.Server{ID: core.ServerID(emulated.Name()), Zone: "a", State: state},
	}
}

// setState updates the state of a room server in the endpoint lists of all balancers.
func (s *sessionFixture) setState(server int, state decide.State) {
	update := core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{s.endpoint(server, state)}}
	for _, b := range s.balancers {
		b.engine.EndpointsUpdated(update)
		b.engine.CurrentSnapshot(5 * time.Second)
	}
}

// setOnlyReady sets the state of one room server to ready and that of all others to draining.
func (s *sessionFixture) setOnlyReady(server int) {
	for i := range s.servers {
		state := decide.Draining
		if i == server {
			state = decide.Ready
		}
		s.setState(i, state)
	}
}

// requestLineWithToken returns a request line with a new ID and a session token.
func requestLineWithToken(token string) string {
	return strings.Replace(newRequestLine(), "\r\n", ",resume="+token+"\r\n", 1)
}

// startSession starts a session at a room server and plays some moves (PLAY lines). It returns the client and its
// token.
func (s *sessionFixture) startSession(b *testBalancer, server, moves int) (*testClient, string) {
	s.t.Helper()
	s.setOnlyReady(server)
	c := b.newClient(s.t)
	c.send(requestLineWithToken("new"))
	return c, c.wantSession(0, moves)
}

// wantSession reads the acceptance and the token, checks that the session is at the given position, and plays some
// moves. It returns the token.
func (c *testClient) wantSession(position, moves int) string {
	c.t.Helper()
	if line := c.readLine(); !strings.HasPrefix(line, "UP s-") {
		c.t.Fatalf("read %q, want UP", line)
	}
	token, ok := strings.CutPrefix(c.readLine(), "TOKEN ")
	if !ok {
		c.t.Fatalf("read %q, want a TOKEN line", token)
	}
	c.send("HAVE\r\n")
	c.wantLine(fmt.Sprintf("POS %d\r\n", position))
	for n := position + 1; n <= position+moves; n++ {
		c.send(fmt.Sprintf("PLAY %d\r\n", n))
		c.wantLine(fmt.Sprintf("POS %d\r\n", n))
	}
	return token
}

// presentToken sends a request with a token and returns the client.
func (s *sessionFixture) presentToken(b *testBalancer, token string) *testClient {
	s.t.Helper()
	c := b.newClient(s.t)
	c.send(requestLineWithToken(token))
	return c
}

// wantFinalAnswer presents a token and checks that the balancer answers with want within a time and closes the
// connection.
func (s *sessionFixture) wantFinalAnswer(b *testBalancer, token, want string, within time.Duration) {
	s.t.Helper()
	start := time.Now()
	c := s.presentToken(b, token)
	if line := c.readLine(); line != want {
		s.t.Fatalf("answered %q, want %q", line, want)
	}
	if took := time.Since(start); took > within {
		s.t.Errorf("answer %q took %v", want, took)
	}
	c.wantEOF()
}

// drainAndMove drains the client's room server and sets another one to ready. It checks that the client receives MOVE,
// and returns the token of the line before it.
func (s *sessionFixture) drainAndMove(c *testClient, from, to int) string {
	s.t.Helper()
	s.setOnlyReady(to)
	s.servers[from].Drain()
	token, ok := strings.CutPrefix(c.readLine(), "TOKEN ")
	if !ok {
		s.t.Fatalf("read %q, want a TOKEN line before MOVE", token)
	}
	c.wantLine("MOVE\r\n")
	c.wantEOF()
	return token
}

// startedOverCount returns a balancer's counter StartedOver for a reason.
func (s *sessionFixture) startedOverCount(b *testBalancer, reason core.Reason) uint64 {
	return b.engine.CurrentSnapshot(5 * time.Second).StartedOver[reason]
}
