package migration

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var longModel = flag.Bool("model.long", false, "check more sequences of actions, which takes minutes")

// The model checks the order of export, commit and activate. It runs random sequences of requests, interrupted
// exchanges, replayed tokens and killed processes against the real Flow and Arbiter. A session must never be attached
// twice. Unless a room server has crashed, its epochs must not decrease, no acknowledged move may be lost, and the
// client's newest token must resume the session once the faults have ended, if the client was not told to start over.
func TestModel(t *testing.T) {
	if *longModel {
		flag.Set("rapid.checks", "300000")
	} else {
		flag.Set("rapid.checks", "4000")
		flag.Set("rapid.steps", "60")
		flag.Set("rapid.seed", "20261201")
	}
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, explore)
}

var (
	anyServer   = rapid.SampledFrom([]string{"a", "b", "c"})
	anyBalancer = rapid.IntRange(0, 1)
	anyLoss     = rapid.IntRange(int(requestLost), int(responseLost))
)

// explore runs random actions, checks the invariants after each one, and finally checks that the client can resume
// its session.
func explore(t *rapid.T) {
	s := newSimulation()
	// rapid sorts the actions by name before it draws one, so changing a name changes the sequence that a seed
	// selects.
	t.Repeat(map[string]func(*rapid.T){
		"":                    s.check,
		"advance":             s.advanceAny,
		"advance again":       s.advanceAny, // the same action again makes it twice as likely as others
		"attempt again":       s.retryAny,
		"connect":             s.connect,
		"crash a server":      s.crashServer,
		"drain a server":      s.drainServer,
		"finish":              s.finishAny,
		"finish but the last": s.loseFinalExchange,
		"kill a balancer":     s.killBalancer,
		"leave":               func(t *rapid.T) { s.drop(s.anyRequest(t)) }, // the client or a replay disconnects
		"lose an exchange":    s.loseExchange,
		"play a move":         s.playMove,
		"replay a token":      s.replayToken,
		"wait":                s.wait,
	})
	s.checkResumable(t)
}

// anyRequest draws one of the current requests. If there is none, the action that calls it is skipped.
func (s *simulation) anyRequest(t *rapid.T) *request {
	if len(s.requests) == 0 {
		t.Skip("no request")
	}
	return s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(t, "request")]
}

// connect makes the client present its newest token, unless it has a request or a connection already.
func (s *simulation) connect(t *rapid.T) {
	for _, r := range s.requests {
		if r.byClient {
			t.Skip("the client has a request or a connection")
		}
	}
	s.present(anyBalancer.Draw(t, "balancer"), s.current, true, anyServer.Draw(t, "server"))
}

// replayToken presents any token that the client has ever had, as somebody who has recorded it.
func (s *simulation) replayToken(t *rapid.T) {
	old := rapid.SampledFrom(s.issued).Draw(t, "token")
	// A token is a bearer token: an arbiter cannot distinguish a thief with the newest token from the client. So the
	// invariants do not cover the theft of the newest token while the client is connected.
	if old.Ref == s.current.Ref && s.established != nil {
		t.Skip("the newest token, while the client is connected")
	}
	s.present(anyBalancer.Draw(t, "balancer"), old, false, anyServer.Draw(t, "server"))
}

func (s *simulation) advanceAny(t *rapid.T) { s.advance(s.anyRequest(t), delivered) }

func (s *simulation) loseExchange(t *rapid.T) {
	r := s.anyRequest(t)
	s.advance(r, delivery(anyLoss.Draw(t, "loss")))
}

// finishAny advances a request by several steps, usually until it is finished.
func (s *simulation) finishAny(t *rapid.T) {
	r := s.anyRequest(t)
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		if r.finished() {
			return
		}
		s.advance(r, delivered)
		s.check(t)
	}
}

// loseFinalExchange advances a request until it is finished or its next step is Activate or Establish. The exchange
// of that step, if it has one, fails.
func (s *simulation) loseFinalExchange(t *rapid.T) {
	r := s.anyRequest(t)
	for !r.finished() && r.step != Activate && r.step != Establish {
		s.advance(r, delivered)
		s.check(t)
	}
	s.advance(r, delivery(anyLoss.Draw(t, "loss")))
}

// finished reports whether the request has got its final answer or its connection is established.
func (r *request) finished() bool {
	return r.step == Wait || r.step == StartOver || r.step == RetryLater
}

// retryAny ends the current attempt of a request and starts the next one at any room server.
func (s *simulation) retryAny(t *rapid.T) {
	const maxRetries = 2
	r := s.anyRequest(t)
	r.retries++
	if r.retries > maxRetries || r.established || r.step == StartOver || r.step == RetryLater {
		t.Skip("no attempt left")
	}
	s.retry(r, anyServer.Draw(t, "server"))
}

// playMove saves one more move of the client, which is acknowledged if the arbiter saves it.
func (s *simulation) playMove(t *rapid.T) {
	if s.established == nil {
		t.Skip("the client is not connected")
	}
	r := s.established
	if s.servers[r.server].sessions.SaveState(r.conn, session, s.acknowledged+1, []byte{1}) {
		s.acknowledged++
	}
}

func (s *simulation) wait(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (s *simulation) killBalancer(t *rapid.T) {
	balancer := anyBalancer.Draw(t, "balancer")
	s.dropAll(func(r *request) bool { return r.balancer == balancer })
}

// drainServer closes the established connections of a room server, which keeps its sessions.
func (s *simulation) drainServer(t *rapid.T) {
	server := anyServer.Draw(t, "server")
	s.dropAll(func(r *request) bool { return r.server == server && r.established })
}

// crashServer closes all connections of a room server and removes its sessions. Nine of ten draws skip it, because
// several invariants are not checked after a crash.
func (s *simulation) crashServer(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "one in ten") != 0 {
		t.Skip("no crash in nine of ten draws")
	}
	name := anyServer.Draw(t, "server")
	s.serverCrashed = true
	s.dropAll(func(r *request) bool { return r.server == name || r.exportServer == name })
	s.servers[name] = newRoomServer(name)
}

// checkResumable closes all connections, waits until all claims have expired, and checks that the client's newest
// token resumes the session if no further exchange fails.
func (s *simulation) checkResumable(t *rapid.T) {
	s.dropAll(func(*request) bool { return true })
	if s.startedOver {
		return // an earlier fault has made the client start over, so it has begun another session
	}
	s.now = s.now.Add(5 * time.Second)
	const maxSteps = 60
	r := s.present(0, s.current, true, anyServer.Draw(t, "last server"))
	for range maxSteps {
		if r.finished() {
			break
		}
		s.advance(r, delivered)
		s.check(t)
	}
	if r.flow.redirects > maxRedirects {
		return // the client was disconnected after too many migrations before it received the new token
	}
	if s.established != r && !s.serverCrashed {
		t.Fatalf("the newest token did not resume the session: last step %d, reason %v", r.step, r.flow.Reason)
	}
}
