package platform

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/session/protocol"
	"cottonplank/internal/session/token"
	"cottonplank/internal/testbench/emulator"
)

// A token that is presented again is rejected, at every balancer and at any time. Otherwise an old token could attach
// a second client to the session, or take the session over.
func TestReplayedTokenIsRejected(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer, sessionServer)
	c, firstToken := s.startSession(s.balancers[0], 0, 3)
	secondToken := s.drainAndMove(c, 0, 1)
	c = s.presentToken(s.balancers[0], secondToken)
	c.wantSession(3, 1)
	for _, b := range append(s.balancers, s.startBalancer()) { // The last balancer is like one after a restart.
		s.wantFinalAnswer(b, secondToken, "ANEW used", time.Second)
		s.wantFinalAnswer(b, firstToken, "ANEW used", time.Second)
	}
	c.send("PLAY 5\r\n")
	c.wantLine("POS 5\r\n")
	c.send("BYE\r\n")
	c.wantLine("BYE\r\n")
	s.wantFinalAnswer(s.balancers[1], secondToken, "ANEW over", time.Second)
}

// If one token is presented many times concurrently at two balancers, one client is attached. The other clients are
// asked to retry, or notified that the token was used.
func TestConcurrentReplayAttachesOnce(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 2, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 2)
	token := s.drainAndMove(c, 0, 1)
	var clients sync.WaitGroup
	var mu sync.Mutex
	attached := 0
	for i := range 20 {
		c := s.presentToken(s.balancers[i%2], token)
		clients.Go(func() {
			line, _ := c.r.ReadString('\n')
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.HasPrefix(line, "UP "):
				attached++
			case !strings.HasPrefix(line, "BUSY") && !strings.HasPrefix(line, "ANEW used"):
				t.Errorf("answered %q, want UP, BUSY or ANEW used", line)
			}
		})
	}
	clients.Wait()
	if attached != 1 {
		t.Errorf("%d clients attached, want 1", attached)
	}
	if _, n := s.servers[1].Sessions(); n != 1 {
		t.Errorf("%d sessions attached at the second server, want 1", n)
	}
}

// sealToken seals a valid token, modified by change, for a session that no room server has.
func sealToken(t *testing.T, key token.Key, change func(*token.Token)) string {
	t.Helper()
	ring, err := token.NewRing([]token.Key{key}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	content := token.Token{Site: "armor", Room: "5c0f6e1a", Server: "s-1", Expires: time.Now().Add(time.Hour)}
	change(&content)
	text, err := ring.Seal(content, time.Now(), zeroReader{})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each kind of invalid token is rejected with its own reason, before a room server is contacted. Known gap: the test
// does not check that none is contacted. A valid token of a session that no room server has is rejected as well, and
// so is a client that sends the field reserved for balancers.
func TestRejectedTokens(t *testing.T) {
	t.Parallel()
	s := newSessionFixture(t, 1, sessionServer, sessionServer)
	c, _ := s.startSession(s.balancers[0], 0, 1)
	valid := s.drainAndMove(c, 0, 1)
	unknownKey := newSessionFixture(t, 0).key
	unknownKey.Secret = []byte(strings.Repeat("k", 32))
	unknownKey.ID = "0a0b0c0d"
	forgedKey := s.key
	forgedKey.Secret = unknownKey.Secret
	unchanged := func(*token.Token) {}

	spoof := s.balancers[0].newClient(t)
	open := protocol.Open{Mode: protocol.ModeReattach}
	spoof.send(strings.Replace(newRequestLine(), "\r\n", ",session="+open.String()+"\r\n", 1))
	spoof.wantLine("ERR\r\n")

	for reason, text := range map[string]string{
		"malformed":   valid[:40],
		"version":     "7" + valid[1:],
		"unknown-key": sealToken(t, unknownKey, unchanged),
		"forged":      sealToken(t, forgedKey, unchanged),
		"expired":     sealToken(t, s.key, func(v *token.Token) { v.Expires = time.Now().Add(-time.Hour) }),
		"site":        sealToken(t, s.key, func(v *token.Token) { v.Site = "brest" }),
		"room":        sealToken(t, s.key, func(v *token.Token) { v.Room = "other" }),
		"gone":        sealToken(t, s.key, unchanged), // Valid, but no room server has the session.
	} {
		t.Run(reason, func(t *testing.T) {
			s.withT(t).wantFinalAnswer(s.balancers[0], text, "ANEW "+reason, time.Second)
		})
	}
	s.presentToken(s.balancers[0], valid).wantSession(1, 1)
}

// While sessions are disabled, all lines of the session extension are relayed unchanged.
func TestSessionsDisabledRelaysUnchanged(t *testing.T) {
	t.Parallel()
	const response = "UP receipt-1\r\nKEPT 1 0\r\nPOS 3\r\nTOKEN x\r\nMOVE\r\n"
	server := newFakeServer(t, "s-1", respond(response))
	b := newTestBalancer(t, server)
	for name, line := range map[string]string{
		"new session":      requestLineWithToken("new"),
		"token":            requestLineWithToken("1.0a0b0c0d.AAAA"),
		"no session":       newRequestLine(),
		"balancer's field": strings.Replace(newRequestLine(), "\r\n", ",session=new\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			c := b.newClient(t)
			c.send(line)
			got, err := io.ReadAll(c.r)
			if err != nil || string(got) != response {
				t.Errorf("the answer to %q is %q, %v", line, got, err)
			}
			lines := server.receivedLines()
			before, after, _ := strings.Cut(line, "d=2000")
			last := lines[len(lines)-1]
			if !strings.HasPrefix(last, before+"d=") || !strings.HasSuffix(last, after) {
				t.Errorf("%q is forwarded as %q", line, last)
			}
		})
	}
}

// While sessions are enabled, clients that request none and room servers without the extension are served as without
// sessions.
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
	c.wantLine("RE hello\r\n") // No token precedes it.
}

// The forwarded line differs from the client's only in the timeout and in the session's field.
func TestRequestLineWithSession(t *testing.T) {
	const head = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,"
	line, err := parseRequestLine(head+"resume=new,t=familles,d=2000,g=5c0f", testNames)
	if err != nil || line.resumeToken != "new" {
		t.Fatal(line, err)
	}
	open := protocol.Open{Mode: protocol.ModeNew, Ref: token.Ref{Epoch: 1, Fence: 0xab}}
	want := head + "session=" + open.String() + ",t=familles,d=1500,g=5c0f"
	if got := line.withSession(1500*time.Millisecond, open); got != want {
		t.Errorf("line %q, want %q", got, want)
	}
}
