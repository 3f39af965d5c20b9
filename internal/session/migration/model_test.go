package migration

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"

	"pgregory.net/rapid"
)

// world is one session, its clients (the true one and those that replay its tokens), two balancers and three room
// servers. Each exchange with a room server is one action, and may be cut off before it arrives or before its answer
// does; everything else may come between two exchanges.
type world struct {
	now     time.Time
	servers map[string]*room
	flows   []*run
	conns   arbiter.Conn
	claims  uint64

	held     token.Token   // the newest token that the client has
	had      []token.Token // all that it ever had
	acked    uint64        // moves of the game that the client knows to be in the board
	playing  *run          // the client's connection, if it stands
	epoch    uint64        // the highest at which an attach was seen
	crashed  bool          // a room server that knew the session fell: starting over is sound from then on
	startedO bool
	proven   uint64 // the highest epoch whose token a room server has seen the client have
	fault    string
}

type room struct {
	name string
	l    *arbiter.Arbiter
}

// run is one request of a client at one balancer.
type run struct {
	balancer int
	flow     *Flow
	step     Step
	at       string // the room server of the attempt
	conn     arbiter.Conn
	export   arbiter.Conn // the connection on which the claim stands
	exportAt string
	true_    bool // the true client's, not a replay
	up       bool
	tries    int
	began    uint64 // epoch of the token that was presented,
	spent    bool   // which had done its work by then
}

var session = token.SessionID{1}

func newWorld() *world {
	w := &world{now: time.Unix(1e9, 0), servers: map[string]*room{}}
	for _, name := range []string{"a", "b", "c"} {
		w.servers[name] = &room{name: name, l: arbiter.New(arbiter.Config{Retention: time.Hour, Limit: 10})}
	}
	w.held = token.Token{Ref: token.Ref{Session: session, Epoch: 1, Fence: 77}, Server: "a"}
	w.had = []token.Token{w.held}
	w.servers["a"].l.Create(w.now, w.held.Ref, w.conn())
	w.servers["a"].l.Disconnected(w.now, w.conns, session)
	w.epoch = 1
	return w
}

func (w *world) conn() arbiter.Conn { w.conns++; return w.conns }

// present begins a request with a token.
func (w *world) present(balancer int, t token.Token, true_ bool, at string) *run {
	w.claims++
	r := &run{balancer: balancer, flow: New(t, 1000+w.claims), at: at, true_: true_, conn: w.conn()}
	r.step, r.began, r.spent = r.flow.Attempt(at), t.Epoch, t.Epoch < w.proven
	w.flows = append(w.flows, r)
	return r
}

// drop ends a request's connections, whatever it had come to.
func (w *world) drop(r *run) {
	w.servers[r.at].l.Disconnected(w.now, r.conn, session)
	if r.export != 0 {
		w.servers[r.exportAt].l.Disconnected(w.now, r.export, session)
	}
	if w.playing == r {
		w.playing = nil
	}
	for i, o := range w.flows {
		if o == r {
			w.flows = append(w.flows[:i:i], w.flows[i+1:]...)
			return
		}
	}
}

// cut closes the connection that lost the session at a room server.
func (w *world) cut(by *run, conn arbiter.Conn) {
	for _, r := range w.flows {
		if conn != 0 && r.conn == conn {
			if r.true_ && !by.true_ {
				w.fault = "a replay cut the client's attach"
			}
			w.drop(r)
			return
		}
	}
}

// proves notes that a room server has seen the client's token of a hold: those before it have done their work.
func (w *world) proves(r *run, a arbiter.Answer) {
	if r.true_ && a.Verdict == arbiter.Granted && !r.flow.ViaRedirect {
		w.proven = max(w.proven, r.began)
	}
}

// advance makes a request's next exchange. lost 1: it does not arrive; lost 2: its answer does not.
func (w *world) advance(r *run, lost int) {
	f, at := r.flow, w.servers[r.at]
	holder := w.servers[f.Holder]
	var next Step
	switch r.step {
	case Locate:
		r.step = f.Located(holder != nil)
		return
	case Export:
		if r.export != 0 {
			w.servers[r.exportAt].l.Disconnected(w.now, r.export, session)
		}
		r.export, r.exportAt = w.conn(), f.Holder
		var a arbiter.Answer
		if lost != 1 {
			a = holder.l.Export(w.now, f.Ref, f.Claim, w.now.Add(2*time.Second), 100, f.ViaRedirect, r.export)
			w.cut(r, a.Displaced)
			w.proves(r, a)
		}
		if lost != 0 {
			holder.l.Disconnected(w.now, r.export, session)
			next = f.HolderDisconnected()
		} else {
			next = f.HolderAnswered(a)
		}
	case OpenReattach:
		if lost == 1 {
			w.drop(r)
			return
		}
		a := at.l.Reattach(w.now, f.Ref, f.Claim, f.ViaRedirect, r.conn)
		w.cut(r, a.Displaced)
		w.proves(r, a)
		if lost != 0 {
			w.drop(r)
			return
		}
		if a.Verdict == arbiter.Granted {
			next = f.UpstreamHolds(a.Ref.Epoch, a.Position)
		} else {
			next = f.HolderAnswered(a)
		}
	case OpenMigrated:
		next = f.UpstreamReady()
	case SendState:
		ok := lost != 1 && at.l.Prepare(w.now, f.Next, f.Position, f.State, r.conn)
		if !ok || lost != 0 {
			w.drop(r)
			return
		}
		next = f.UpstreamHolds(f.Next.Epoch, f.Position)
	case Commit:
		yes := lost != 1 && holder.l.Commit(w.now, session, f.Claim, r.at)
		if lost != 0 {
			next = f.HolderDisconnected()
		} else {
			next = f.Committed(yes)
		}
	case Activate:
		if lost == 1 || !f.back && !at.l.Activate(w.now, r.conn, session) || lost == 2 {
			w.drop(r)
			return
		}
		next = f.UpstreamAccepted()
	case Establish:
		w.stand(r, lost)
		return
	case StartOver, RetryLater:
		if r.true_ && r.step == StartOver {
			w.startedO = true
		}
		w.drop(r)
		return
	}
	r.step = next
}

// stand brings UP and the new token to the client, and its HAVE to the room server.
func (w *world) stand(r *run, lost int) {
	r.up = true
	if r.spent && !w.crashed {
		w.fault = "a token that had done its work attached again"
	}
	if lost == 1 || !r.true_ {
		// The client never sees it; one that replays an old token has none to go on with.
		w.drop(r)
		return
	}
	w.held = token.Token{Ref: r.flow.Next, Server: r.at, Position: r.flow.Position}
	w.had = append(w.had, w.held)
	if r.flow.Position < w.acked && !w.crashed {
		panic(fmt.Sprintf("the client knows %d moves, the board it was given has %d", w.acked, r.flow.Position))
	}
	if lost == 2 {
		w.drop(r)
		return
	}
	w.servers[r.at].l.ConfirmToken(r.conn, session)
	w.proven = max(w.proven, w.held.Epoch)
	w.playing, r.step = r, Wait
}

// check holds what must be true at any moment.
func (w *world) check(t *rapid.T) {
	if w.fault != "" {
		t.Fatal(w.fault)
	}
	attached := 0
	for _, s := range w.servers {
		_, n := s.l.Sessions()
		attached += n
	}
	if attached > 1 {
		t.Fatalf("attached %d times", attached)
	}
	for _, r := range w.flows {
		if r.flow.Next.Epoch == 0 || r.step != Establish {
			continue
		}
		if r.flow.Next.Epoch < w.epoch && !w.crashed {
			t.Fatalf("epoch %d after %d", r.flow.Next.Epoch, w.epoch)
		}
		w.epoch = max(w.epoch, r.flow.Next.Epoch)
	}
}

var long = flag.Bool("model.long", false, "explore the model for minutes")

// A session is never attached twice, its epochs do not go back, and no acknowledged move is lost while the room server
// that holds it lives: whatever is cut off, replayed, killed and in whatever order, the newest token brings the client
// back to its board once the troubles end. Guards the order of export, commit and attach.
func TestModel(t *testing.T) {
	if *long {
		flag.Set("rapid.checks", "300000")
	} else {
		flag.Set("rapid.checks", "4000")
		flag.Set("rapid.steps", "60")
		flag.Set("rapid.seed", "20261201")
	}
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, explore)
}

func explore(t *rapid.T) {
	w := newWorld()
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	balancer := rapid.IntRange(0, 1)
	pick := func(t *rapid.T) *run {
		if len(w.flows) == 0 {
			t.Skip("nothing under way")
		}
		return w.flows[rapid.IntRange(0, len(w.flows)-1).Draw(t, "run")]
	}
	t.Repeat(map[string]func(*rapid.T){
		"": w.check,
		"come": func(t *rapid.T) {
			for _, r := range w.flows {
				if r.true_ {
					t.Skip("the client waits or plays")
				}
			}
			w.present(balancer.Draw(t, "balancer"), w.held, true, names.Draw(t, "at"))
		},
		"replay": func(t *rapid.T) {
			old := rapid.SampledFrom(w.had).Draw(t, "token")
			// The newest token in other hands while its owner plays is theft, which no arbiter can tell from its use.
			if old.Ref == w.held.Ref && w.playing != nil {
				t.Skip("the newest")
			}
			w.present(balancer.Draw(t, "balancer"), old, false, names.Draw(t, "at"))
		},
		"advance":  func(t *rapid.T) { w.advance(pick(t), 0) },
		"advance2": func(t *rapid.T) { w.advance(pick(t), 0) },
		"finish": func(t *rapid.T) {
			r := pick(t)
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				if r.step == Wait || r.step == StartOver || r.step == RetryLater {
					return
				}
				w.advance(r, 0)
				w.check(t)
			}
		},
		"finish but one": func(t *rapid.T) {
			r := pick(t)
			for r.step != Wait && r.step != StartOver && r.step != RetryLater && r.step != Activate && r.step != Establish {
				w.advance(r, 0)
				w.check(t)
			}
			w.advance(r, rapid.IntRange(1, 2).Draw(t, "where"))
		},
		"lose": func(t *rapid.T) { w.advance(pick(t), rapid.IntRange(1, 2).Draw(t, "where")) },
		"again": func(t *rapid.T) { // the attempt ends, the balancer makes another
			r := pick(t)
			if r.tries++; r.tries > 2 || r.up || r.step == StartOver || r.step == RetryLater {
				t.Skip("no attempt left")
			}
			w.servers[r.at].l.Disconnected(w.now, r.conn, session)
			r.at, r.conn = names.Draw(t, "at"), w.conn()
			r.step = r.flow.Attempt(r.at)
		},
		"leave": func(t *rapid.T) { w.drop(pick(t)) },
		"play": func(t *rapid.T) {
			if w.playing == nil {
				t.Skip("nobody plays")
			}
			// A connection that lost the session must not be acknowledged.
			if w.servers[w.playing.at].l.SaveState(w.playing.conn, session, w.acked+1, []byte{1}) {
				w.acked++
			}
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"kill balancer": func(t *rapid.T) {
			b := balancer.Draw(t, "balancer")
			for _, r := range append([]*run(nil), w.flows...) {
				if r.balancer == b {
					w.drop(r)
				}
			}
		},
		"drain": func(t *rapid.T) {
			at := names.Draw(t, "at")
			for _, r := range append([]*run(nil), w.flows...) {
				if r.at == at && r.up {
					w.drop(r)
				}
			}
		},
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") != 0 {
				t.Skip("not now")
			}
			s := w.servers[names.Draw(t, "at")]
			w.crashed = true
			for _, r := range append([]*run(nil), w.flows...) {
				if r.at == s.name || r.exportAt == s.name {
					w.drop(r)
				}
			}
			s.l = arbiter.New(arbiter.Config{Retention: time.Hour, Limit: 10})
		},
	})
	// The troubles end: the client comes with its newest token until it has its answer.
	for _, r := range append([]*run(nil), w.flows...) {
		w.drop(r)
	}
	if w.startedO {
		return // it was told so while a claim or a loss stood in the way; it plays another session
	}
	w.now = w.now.Add(5 * time.Second)
	r := w.present(0, w.held, true, names.Draw(t, "at last"))
	for range 60 {
		if r.step == Wait || r.step == StartOver || r.step == RetryLater {
			break
		}
		w.advance(r, 0)
		w.check(t)
	}
	if r.flow.hops > mostHops {
		return // the bound on ways of cut-off attaches
	}
	if w.playing != r && !w.crashed {
		t.Fatalf("the newest token ends at step %d, reason %v", r.step, r.flow.Reason)
	}
}
