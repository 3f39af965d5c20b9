package migration

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var longModel = flag.Bool("model.long", false, "explore the model for minutes")

// A session is never attached twice, its epochs do not decrease, and no acknowledged move is lost while the room server
// that holds it lives. Whatever exchanges are cut off, tokens replayed and processes killed, in whatever order, the
// newest token resumes the session once the faults end. So the order of export, commit and activate is right.
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

// explore runs random actions and then checks that the client can resume its session.
func explore(t *rapid.T) {
	s := newSimulation()
	// rapid draws from the sorted names, so the names are part of what a seed explores.
	t.Repeat(map[string]func(*rapid.T){
		"":                    s.check,
		"advance":             s.advanceAny,
		"advance again":       s.advanceAny, // twice as likely as other actions
		"attempt again":       s.retryAny,
		"connect":             s.connect,
		"crash a server":      s.crashServer,
		"drain a server":      s.drainServer,
		"finish":              s.finishAny,
		"finish but the last": s.finishButLast,
		"kill a balancer":     s.killBalancer,
		"leave":               func(t *rapid.T) { s.drop(s.anyRequest(t)) },
		"lose an exchange":    s.loseExchange,
		"play a move":         s.playMove,
		"replay a token":      s.replayToken,
		"wait":                s.wait,
	})
	s.checkResumable(t)
}

// anyRequest draws a request, or skips the action if there is none.
func (s *simulation) anyRequest(t *rapid.T) *request {
	if len(s.requests) == 0 {
		t.Skip("no request")
	}
	return s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(t, "request")]
}

// connect lets the client present its newest token.
func (s *simulation) connect(t *rapid.T) {
	for _, r := range s.requests {
		if r.byClient {
			t.Skip("the client has a request or a connection")
		}
	}
	s.present(anyBalancer.Draw(t, "balancer"), s.current, true, anyServer.Draw(t, "server"))
}

// replayToken presents any token that the client has ever had.
func (s *simulation) replayToken(t *rapid.T) {
	old := rapid.SampledFrom(s.issued).Draw(t, "token")
	// The newest token in other hands while its owner is connected is theft, which no arbiter can tell from its use.
	if old.Ref == s.current.Ref && s.established != nil {
		t.Skip("the newest token")
	}
	s.present(anyBalancer.Draw(t, "balancer"), old, false, anyServer.Draw(t, "server"))
}

func (s *simulation) advanceAny(t *rapid.T) { s.advance(s.anyRequest(t), delivered) }

func (s *simulation) loseExchange(t *rapid.T) {
	r := s.anyRequest(t)
	s.advance(r, delivery(anyLoss.Draw(t, "loss")))
}

// finishAny advances a request by several steps, mostly to its end.
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

// finishButLast advances a request until its session is about to be attached, and loses that exchange.
func (s *simulation) finishButLast(t *rapid.T) {
	r := s.anyRequest(t)
	for !r.finished() && r.step != Activate && r.step != Establish {
		s.advance(r, delivered)
		s.check(t)
	}
	s.advance(r, delivery(anyLoss.Draw(t, "loss")))
}

// finished reports whether the request has its final answer, or its connection is established.
func (r *request) finished() bool {
	return r.step == Wait || r.step == StartOver || r.step == RetryLater
}

// retryAny ends a request's attempt, and the balancer makes another.
func (s *simulation) retryAny(t *rapid.T) {
	const maxRetries = 2
	r := s.anyRequest(t)
	r.retries++
	if r.retries > maxRetries || r.established || r.step == StartOver || r.step == RetryLater {
		t.Skip("no attempt left")
	}
	s.retry(r, anyServer.Draw(t, "server"))
}

// playMove saves one more move of the client, and acknowledges it if the arbiter allows that.
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

// drainServer closes a room server's established connections.
func (s *simulation) drainServer(t *rapid.T) {
	server := anyServer.Draw(t, "server")
	s.dropAll(func(r *request) bool { return r.server == server && r.established })
}

// crashServer closes a room server's connections and removes its state.
func (s *simulation) crashServer(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "one in ten") != 0 {
		t.Skip("not now")
	}
	name := anyServer.Draw(t, "server")
	s.serverCrashed = true
	s.dropAll(func(r *request) bool { return r.server == name || r.exportServer == name })
	s.servers[name] = newRoomServer(name)
}

// checkResumable ends all faults and checks that the client's newest token resumes the session.
func (s *simulation) checkResumable(t *rapid.T) {
	s.dropAll(func(*request) bool { return true })
	if s.startedOver {
		return // a claim or a lost exchange was in the way then; the client has begun another session
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
		return // too many migrations were cut off before the client confirmed its token
	}
	if s.established != r && !s.serverCrashed {
		t.Fatalf("the newest token ends at step %d, reason %v", r.step, r.flow.Reason)
	}
}
