package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// These tests force two things that end an attempt, a request or a connection to come together, in the order that does
// harm: a channel's actor is taken through its turns by hand, or a stand-in holds back until the other side has happened.

// hand is a channel on real sockets whose actor the test plays: what the core orders and what the readers bring waits
// until the test takes it.
type hand struct {
	*channel
	t      *testing.T
	b      *balancer
	client *client
}

func (b *balancer) byHand(t *testing.T) *hand {
	t.Helper()
	conn, far := pair(t)
	c := b.front.channel(conn)
	c.call = b.module.Accept(c, core.Traits{Descriptor: true})
	h := &hand{channel: c, t: t, b: b, client: far}
	t.Cleanup(func() { // before the balancer's own end
		c.closeUp(false)
		close(c.done)
		b.module.ClientClosed(c.call)
	})
	return h
}

// requests lets the request reach the core, which orders the first attempt, and has the dial's news, which wait.
func (h *hand) requests() newsDialled {
	h.t.Helper()
	h.asked = true
	h.begin(strings.TrimRight(opening(), "\r\n"), time.Now())
	return h.attempts()
}

func (h *hand) attempts() newsDialled {
	h.t.Helper()
	o := <-h.commands
	if !is[attemptCommand](o) {
		h.t.Fatalf("the core orders %T, want an attempt", o)
	}
	h.execute(h.t.Context(), o)
	n, ok := (<-h.news).(newsDialled)
	if !ok || n.err != nil {
		h.t.Fatalf("the dial brings %+v", n)
	}
	return n
}

// ordered tells what the core has ordered by now, if anything.
func (h *hand) ordered() (o command, any bool) {
	h.b.sync()
	select {
	case o = <-h.commands:
		return o, true
	default:
		return o, false
	}
}

// sync waits until the core has done what it was told before.
func (b *balancer) sync() { b.module.CurrentSnapshot(20 * time.Second) }

// waiting is a client whose request the core has, and cannot send on.
func (b *balancer) waiting(t *testing.T) *client {
	t.Helper()
	c := b.client(t)
	c.send(opening())
	until(t, "the request", func() bool { return b.module.CurrentSnapshot(20*time.Second).Waiting == 1 })
	return c
}

// unaccepted is a client whose request lies in the listener's backlog, until the pause is over.
func (b *balancer) unaccepted(t *testing.T) *client {
	t.Helper()
	b.sync()
	b.pause.Pause()
	until(t, "the pause", func() bool { return len(b.front.held) == 0 })
	c := b.client(t)
	c.send(opening())
	return c
}

// until waits for what is sure to come.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come", what)
		}
	}
}

func (s *answerer) as(state decide.State) core.EndpointUpdate {
	in := s.instance()
	in.State = state
	return core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{in}}
}

func (s *answerer) in(zone string) core.EndpointUpdate {
	in := s.instance()
	in.Zone = zone
	return core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{in}}
}

var room = DescriptorBudget{Total: 300, DialReserve: 50}

// unsafe makes the class one that must not run twice.
func unsafe(s *decide.Settings) { s.Classes[0].Idempotency = decide.NotIdempotent }

// A dial comes up as its time-out falls due. Whichever the actor takes first, there is one attempt: what was written may
// have run, and goes on; what was not is not written any more.
func TestDialCrossesItsTimeOut(t *testing.T) {
	t.Parallel()
	for _, written := range []bool{true, false} {
		s1, s2 := newServer(t, "s-1", echo), newServer(t, "s-2", echo)
		b := with(t, room, func(s *decide.Settings) { unsafe(s); s.ConnectTimeout = 50 * time.Millisecond }, s1, s2)
		h := b.byHand(t)
		dialled := h.requests()
		o := <-h.commands // the time-out
		if !is[giveUpCommand](o) {
			t.Fatalf("the core orders %T, want to give up", o)
		}
		if o, more := h.ordered(); more {
			t.Fatalf("the core orders %T before the attempt has ended", o)
		}
		if written {
			h.handle(dialled)
		}
		h.execute(t.Context(), o)
		if !written {
			h.handle(dialled) // too late
			h.handle(h.attempts())
		}
		h.handle(<-h.news) // UP
		if o := <-h.commands; !is[standCommand](o) {
			t.Errorf("written %v: the core orders %T, want to stand", written, o)
		}
		if n := len(s1.lines()) + len(s2.lines()); n != 1 {
			t.Errorf("written %v: %d lines went out, want one", written, n)
		}
	}
}

// The attempt's answer crosses its time-out: the core takes what the channel has told, and the client is served.
func TestAnswerCrossesTheTimeOut(t *testing.T) {
	t.Parallel()
	b := with(t, room, unsafe, newServer(t, "s-1", echo))
	h := b.byHand(t)
	h.handle(h.requests())
	h.handle(<-h.news) // UP: the core is told
	h.execute(t.Context(), giveUpCommand{0, decide.TimedOut})
	h.execute(t.Context(), <-h.commands)
	h.client.want("UP receipt-1\r\n")
}

// A room server is told to drain, is gone, is left out of a whole list, or comes back elsewhere or anew, while a dial to it
// is on its way: nothing is sent there, and the request goes elsewhere at once.
func TestDialIsRecalled(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*core.EndpointUpdate){
		"draining":  func(r *core.EndpointUpdate) { r.Endpoints[0].State = decide.Draining },
		"gone":      func(r *core.EndpointUpdate) { r.Endpoints[0].State = decide.Removed },
		"elsewhere": func(r *core.EndpointUpdate) { r.Endpoints[0].Address = "127.0.0.1:1" },
		"anew":      func(r *core.EndpointUpdate) { r.Endpoints[0].Started = time.Now() },
		"left out":  func(r *core.EndpointUpdate) { r.Kind, r.Endpoints = decide.ListSnapshot, nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s1, s2 := newServer(t, "s-1", echo), newServer(t, "s-2", echo)
			b := newBalancer(t, s1)
			h := b.byHand(t)
			dialled := h.requests()
			r := s1.as(decide.Ready)
			change(&r)
			b.module.EndpointsUpdated(r)
			b.module.EndpointsUpdated(s2.as(decide.Ready))
			if o, any := h.ordered(); any {
				h.execute(t.Context(), o)
			}
			h.handle(dialled)
			h.handle(h.attempts())
			if n, m := len(s1.lines()), len(s2.lines()); n > 0 {
				t.Errorf("%d lines went to the room server that left, %d to the other", n, m)
			}
		})
	}
}

// Room servers that come back elsewhere as a dial to one is on its way are not to blame for it.
func TestRecallBlamesNobody(t *testing.T) {
	t.Parallel()
	s1, s2 := newServer(t, "s-1", echo), newServer(t, "s-2", echo)
	b := newBalancer(t, s1, s2)
	h := b.byHand(t)
	dialled := h.requests()
	for _, s := range []*answerer{s1, s2} {
		r := s.as(decide.Ready)
		r.Endpoints[0].Started = time.Now()
		b.module.EndpointsUpdated(r)
	}
	o, _ := h.ordered()
	h.execute(t.Context(), o)
	h.handle(dialled)
	if n := b.module.CurrentSnapshot(20 * time.Second).Ejected; n > 0 {
		t.Errorf("%d room servers are left out", n)
	}
}

// A connection that was open before the start is not opened at a room server past its grace, and one within it not later
// than its end.
func TestReopeningEndsWithTheGrace(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", echo)
	b := with(t, room, func(s *decide.Settings) { s.Safety.DrainGrace = 30 * time.Millisecond }, s)
	h := b.byHand(t)
	b.module.EndpointsUpdated(s.as(decide.Draining))
	h.asked = true
	h.begin(strings.TrimRight(opening(), "\r\n")+",at=s-1", time.Now())
	b.sync()
	var dialled newsDialled
	o, any := h.ordered()
	if any { // it was within the grace still
		h.execute(t.Context(), o)
		dialled = (<-h.news).(newsDialled)
		h.execute(t.Context(), <-h.commands) // at its end
		h.handle(dialled)
	}
	for range 2 { // no other follows, and each would within this
		time.Sleep(reopenAgain)
		if o, any := h.ordered(); any {
			t.Fatalf("the core orders %T", o)
		}
	}
	if n := len(s.lines()); n > 0 {
		t.Errorf("%d lines went to the room server that drains", n)
	}
}

// reopenAgain is longer than the core's pause between dials for a connection that was open before the start.
const reopenAgain = 300 * time.Millisecond

// leave ends a client's connection, and waits until our side of it has heard.
func (h *hand) leave(reset bool) {
	h.t.Helper()
	end(h.client, reset)
	until(h.t, "the client's end", func() bool { left, _ := h.clientState(); return left })
}

func end(c *client, reset bool) {
	if reset {
		c.conn.SetLinger(0)
	}
	c.conn.Close()
}

// A client leaves while the dial for its request is on its way. The actor hears of the connection first.
func TestClientLeavesWhileDialling(t *testing.T) {
	t.Parallel()
	for _, reset := range []bool{false, true} {
		s := newServer(t, "s-1", echo)
		b := newBalancer(t, s)
		h := b.byHand(t)
		dialled := h.requests()
		h.leave(reset)
		if h.handle(dialled) {
			t.Errorf("reset %v: the actor goes on without its client", reset)
		}
		h.closeUp(false)
		if n := len(s.lines()); n > 0 {
			t.Errorf("reset %v: %d requests of a client that has left were sent on", reset, n)
		}
	}
}

// One that sends more while the dial is on its way is answered, and nothing is sent on for it: what came is no client's
// form, whether the reader has taken it or not.
func TestMoreWhileDialling(t *testing.T) {
	t.Parallel()
	for _, read := range []bool{false, true} {
		s := newServer(t, "s-1", echo)
		b := newBalancer(t, s)
		h := b.byHand(t)
		dialled := h.requests()
		h.client.send("more")
		until(t, "more", func() bool { _, more := h.clientState(); return more })
		if read {
			h.text.R.Peek(1)
			h.early.Store(true)
		}
		h.handle(dialled)
		h.execute(t.Context(), <-h.commands)
		h.client.want("ERR\r\n")
		if n := len(s.lines()); n > 0 {
			t.Errorf("read %v: %d lines were sent on", read, n)
		}
	}
}

// A client leaves where its request waits in the real front: nothing is sent on, nor tried again.
func TestClientLeavesWhileItWaits(t *testing.T) {
	t.Parallel()
	ends := map[string]bool{"fin": false, "rst": true}
	// gone waits until the core has heard that one left.
	gone := func(t *testing.T, b *balancer) {
		until(t, "the client's end", func() bool { return b.module.CurrentSnapshot(20*time.Second).ClientsLeft == 1 })
	}
	for name, reset := range ends {
		t.Run("for a room server/"+name, func(t *testing.T) {
			t.Parallel()
			b := newBalancer(t)
			c := b.waiting(t)
			end(c, reset)
			gone(t, b)
			s := newServer(t, "s-1", echo)
			b.module.EndpointsUpdated(s.as(decide.Ready)) // a request that waits is placed in this turn
			nothing(t, b, s)
		})
		t.Run("for a descriptor/"+name, func(t *testing.T) {
			t.Parallel()
			s := newServer(t, "s-1", echo)
			b := budgeted(t, DescriptorBudget{Total: 12, DialReserve: 4}, s)
			until(t, "the accepting side's descriptor", func() bool { return len(b.front.held) == 1 })
			for range cap(b.front.held) - 1 { // it waits for a client with its own; none is left for the dial
				b.front.held <- struct{}{}
			}
			c := b.waiting(t)
			end(c, reset)
			gone(t, b)
			for len(b.front.held) > 1 {
				b.front.free()
			}
			nothing(t, b, s)
		})
		t.Run("for the answer/"+name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			s1 := newServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) { hang(conn, r); close(over) })
			s2 := newServer(t, "s-2", echo)
			b := newBalancer(t, s1)
			c := b.client(t)
			c.send(opening())
			until(t, "the attempt", func() bool { return len(s1.lines()) == 1 })
			b.module.EndpointsUpdated(s2.as(decide.Ready))
			end(c, reset)
			<-over
			gone(t, b)
			b.module.EndpointsUpdated(s1.as(decide.Draining)) // for the one who comes next
			nothing(t, b, s2)
		})
		t.Run("unread/"+name, func(t *testing.T) {
			t.Parallel()
			s := newServer(t, "s-1", echo)
			b := newBalancer(t, s)
			c := b.unaccepted(t)
			end(c, reset)
			b.pause.Resume()
			until(t, "the client's end", func() bool {
				s := b.module.CurrentSnapshot(20 * time.Second)
				return s.Clients == 0 && len(b.front.held) == 1
			})
			nothing(t, b, s)
		})
		for _, text := range []string{strings.TrimRight(opening(), "\r\n"), opening() + "x"} {
			t.Run("half a line, or more than one/"+name, func(t *testing.T) {
				t.Parallel()
				s := newServer(t, "s-1", echo)
				b := newBalancer(t, s)
				c := b.client(t)
				c.send(text)
				end(c, reset)
				nothing(t, b, s)
			})
		}
	}
}

// nothing checks that a room server has heard of nobody but one who comes now.
func nothing(t *testing.T, b *balancer, s *answerer) {
	t.Helper()
	c := b.client(t)
	line := opening()
	c.send(line)
	c.want("UP receipt-1\r\n")
	for _, got := range s.lines() {
		if !strings.HasPrefix(got, line[:21]) {
			t.Errorf("sent on: %q", got)
		}
	}
}

// What became of an attempt, by the effect of its class, from the room server's socket to the client's: nothing runs twice
// that must not, and a client hears that trying again is harmless only where it is.
func TestEffects(t *testing.T) {
	t.Parallel()
	keyed := func(scope decide.KeyScope, window time.Duration) func(*decide.Settings) {
		return func(s *decide.Settings) {
			s.Classes[0].Idempotency, s.Classes[0].KeyScope, s.Classes[0].DedupWindow = decide.IdempotentByKey, scope, window
		}
	}
	closed := func(conn net.Conn, _ *bufio.Reader) { conn.(*net.TCPConn).SetLinger(0) }
	const up, busy, err = "UP", "BUSY", "ERR"
	effects := map[string]struct {
		set   func(*decide.Settings)
		again string // the answer where the first attempt may have run
		lost  string // the same where it hung until its time-out
	}{
		"safe":                          {func(*decide.Settings) {}, up, up},
		"unsafe":                        {unsafe, err, err},
		"keyed everywhere":              {keyed(decide.ScopeAll, 5*time.Second), up, busy},
		"keyed in the zone":             {keyed(decide.ScopeZone, 5*time.Second), err, err},
		"keyed in the cell":             {keyed(decide.ScopeCell, 5*time.Second), err, err},
		"keyed, its window is over":     {keyed(decide.ScopeAll, time.Nanosecond), busy, busy},
		"keyed, over before a dial can": {func(s *decide.Settings) { keyed(decide.ScopeAll, time.Second)(s); s.ConnectTimeout = time.Second }, busy, busy},
	}
	for effect, e := range effects {
		for name, o := range map[string]struct {
			treat func(net.Conn, *bufio.Reader)
			want  string
		}{
			"busy": {say("BUSY inflight=3\r\n"), up}, "refused": {nil, up}, "reset": {closed, e.again}, "ends": {say(""), e.again},
			"error": {say("ERR\r\n"), e.again}, "half an answer": {say("UP rec"), e.again}, "moves": {say("MOVE\r\n"), e.again},
			"no answer": {say("WHAT\r\n"), e.again}, "spoilt": {say("BUSY \x00\xff\r\n"), e.again}, "two": {say("ERR\r\nBUSY\r\n"), e.again},
			"hangs": {hang, e.lost},
		} {
			t.Run(effect+"/"+name, func(t *testing.T) {
				t.Parallel()
				// Own zone first: the attempt that fails is the first, the other zone's server would be the next.
				bad, good := newServer(t, "s-1", o.treat), newServer(t, "s-2", echo)
				if o.treat == nil {
					bad.l.Close()
				}
				b := with(t, room, e.set, bad)
				b.module.EndpointsUpdated(good.in("b"))
				b.sync()
				c := b.client(t)
				c.send(opening())
				line, _ := c.r.ReadString('\n')
				if got, _, _ := strings.Cut(strings.TrimSpace(line), " "); got != o.want {
					t.Errorf("answered %q, want %s", line, o.want)
				}
				if n := len(good.lines()); (n == 1) != (o.want == up) {
					t.Errorf("%d lines went to the next server", n)
				}
			})
		}
	}
}

// A planned stop that finds attempts out at a room server that hangs: the answer says that trying again is harmless only
// where it is, and when to come back only where the settings allow.
func TestStopAnswersByEffect(t *testing.T) {
	t.Parallel()
	for _, o := range []struct {
		set        func(*decide.Settings)
		want, late string
	}{
		{func(s *decide.Settings) { unsafe(s); s.MaxAttempts = 1 }, "ERR\r\n", "BUSY 1000\r\n"},
		{func(s *decide.Settings) { s.MaxRetryAfter, s.MaxAttempts = 0, 1 }, "BUSY\r\n", "BUSY\r\n"},
	} {
		s := newServer(t, "s-1", hang)
		b := with(t, room, o.set, s)
		c := b.client(t)
		c.send(opening())
		until(t, "the attempt", func() bool { return len(s.lines()) == 1 })
		b.module.Drain(time.Second, nil)
		c.want(o.want)
		late := b.client(t) // it comes after the last step, and nothing is sent for it
		late.send(opening())
		late.want(o.late)
	}
}

// A stop is not over while a client waits to be accepted, or its line to be read.
func TestStopWaitsForWhatIsUnread(t *testing.T) {
	t.Parallel()
	s := newServer(t, "s-1", echo)
	b := newBalancer(t, s)
	c := b.unaccepted(t)
	looked := make(chan bool, 1000)
	over := b.module.Drain(20*time.Second, func() bool {
		waits := b.front.ClientsWaiting(b.l)
		looked <- waits
		return waits
	})
	if !<-looked { // as soon as the stop might be over
		t.Error("the client that waits is not seen")
	}
	b.sync()
	select {
	case <-over:
		t.Error("the stop is over before the client is accepted")
	default:
	}
	b.pause.Resume()
	c.want("UP receipt-1\r\n")
	c.conn.Close()
	<-over
}

// The line has come and lies unread in an accepted channel as the stop might be over.
func TestStopWaitsForAnUnreadChannel(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, newServer(t, "s-1", echo))
	h := b.byHand(t)
	h.client.send(opening())
	until(t, "the line", func() bool { return unread(h.channel.client) })
	over := b.module.Drain(20*time.Second, nil)
	o := <-h.commands // drop it if it says nothing
	if !h.execute(t.Context(), o) {
		t.Fatal("a request that has come is dropped")
	}
	b.sync()
	select {
	case <-over:
		t.Fatal("the stop is over with a request unread")
	default:
	}
	h.front.readers.Go(h.readClient)
	h.handle(<-h.news) // the line
	h.handle(h.attempts())
	for served := false; !served; {
		select {
		case n := <-h.news:
			h.handle(n)
		case o := <-h.commands:
			served = is[standCommand](o)
			h.execute(t.Context(), o)
		}
	}
	h.client.want("UP receipt-1\r\n")
}

// What lies unread as the stop might be over is a health check's question: it is answered, and holds the stop up no longer.
func TestStopDoesNotWaitForHealthChecks(t *testing.T) {
	t.Parallel()
	b := newBalancer(t)
	h := b.byHand(t)
	h.client.send("PING\r\n")
	until(t, "the line", func() bool { return unread(h.channel.client) })
	over := b.module.Drain(1900*time.Millisecond, nil) // less than a channel that says nothing may stay
	if !h.execute(t.Context(), <-h.commands) {
		t.Fatal("a line that has come is dropped")
	}
	h.front.readers.Go(h.readClient)
	h.client.want("BUSY\r\n")
	select {
	case o := <-h.commands:
		if h.execute(t.Context(), o) {
			t.Fatal("a health check that was answered stays")
		}
	case <-over:
		t.Error("the stop waited for its whole time")
	}
}

// A move finds a line half read: the client gets it whole, then MOVE. One that follows the room server's own end sends none.
func TestMoveBetweenTwoLines(t *testing.T) {
	t.Parallel()
	b := newBalancer(t)
	front := New(b.module, testNames, room, b.front.log) // it accepts nothing
	for _, o := range []struct{ before, after, want string }{
		{"re he", "llo\r\n", "re hello\r\nMOVE\r\n"}, {"re he", "", "MOVE\r\n"}, {"re hello\r\n", "", "re hello\r\nMOVE\r\n"},
		{"BYE\r\n", "", "BYE\r\n"}, {"MOVE\r\n", "", "MOVE\r\n"},
	} {
		ours, client := pair(t)
		near, room := pair(t)
		c := front.channel(ours)
		c.call = b.module.Accept(c, core.Traits{})
		front.held <- struct{}{}
		up := &upstream{conn: near, text: textproto.NewConn(near), cancel: func() {}}
		c.up, c.stands = up, true
		room.send(o.before)
		up.text.R.Peek(len(o.before)) // it is read, and not passed on yet
		c.execute(context.Background(), moveCommand{})
		room.send(o.after)
		front.readers.Go(func() { c.relayDown(up) })
		if !c.handle(<-c.news) {
			t.Errorf("%q: the actor ended before its client did", o.before)
		}
		if got, err := io.ReadAll(client.r); err != nil || string(got) != o.want {
			t.Errorf("%q, then %q: the client reads %q, %v, want %q", o.before, o.after, got, err, o.want)
		}
	}
}

// is tells whether a command is of a kind.
func is[T command](cmd command) bool {
	_, yes := cmd.(T)
	return yes
}
