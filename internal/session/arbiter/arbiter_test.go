package arbiter

import (
	"testing"
	"time"

	"cottonplank/internal/session/token"
)

var (
	start = time.Unix(1e9, 0)
	first = token.Ref{Session: token.SessionID{1}, Epoch: 1, Fence: 9}
)

func began(t *testing.T) *Arbiter {
	t.Helper()
	l := New(Config{Retention: 10 * time.Second, Limit: 2})
	if !l.Create(start, first, 1) || !l.SaveState(1, first.Session, 5, []byte("board")) {
		t.Fatal("did not begin")
	}
	return l
}

// A move takes the session away: its connection is cut and acknowledged no more, the trace tells where it went, and
// what was prepared attaches with the word of that connection alone. Guards against two boards of one session.
func TestMove(t *testing.T) {
	old, next := began(t), New(Config{Retention: 10 * time.Second, Limit: 2})
	a := old.Export(start, first, 77, start.Add(time.Second), 5, false, 2)
	if a.Verdict != Granted || a.Displaced != 1 || a.Position != 5 || string(a.State) != "board" {
		t.Fatalf("export: %+v", a)
	}
	if old.SaveState(1, first.Session, 6, nil) {
		t.Error("a connection that lost the session was acknowledged")
	}
	if b := old.Reattach(start, first, 78, false, 3); b.Verdict != InUse || b.Wait <= 0 {
		t.Errorf("under a claim: %+v", b)
	}
	moved := token.Ref{Session: first.Session, Epoch: 2, Fence: 77}
	if !next.Prepare(start, moved, 5, a.State, 4) || next.SaveState(4, first.Session, 6, nil) {
		t.Error("not prepared, or attached before the commit")
	}
	if next.Activate(start, 5, first.Session) || !old.Commit(start, first.Session, 77, "b") || !next.Activate(start, 4, first.Session) {
		t.Error("attached by another connection, or not at all")
	}
	if b := old.Reattach(start, first, 79, false, 3); b.Verdict != Moved || b.MovedTo != "b" || b.Ref != moved {
		t.Errorf("after the move: %+v", b)
	}
	if old.Commit(start, first.Session, 77, "c") {
		t.Error("committed twice")
	}
	if b := next.Reattach(start, moved, 80, true, 6); b.Verdict != InUse {
		t.Errorf("an attach under way: %+v", b)
	}
	next.ConfirmToken(4, first.Session)
	if b := next.Reattach(start, moved, 80, true, 6); b.Verdict != TokenUsed {
		t.Errorf("by the trace, after the client has its token: %+v", b)
	}
}

// What ends is told apart: the end of a claim with its connection, of a game, of the time that a session is kept; and
// neither size nor number passes its bound.
func TestEnds(t *testing.T) {
	l := began(t)
	if a := l.Export(start, first, 77, start.Add(time.Second), 4, false, 2); a.Verdict != StateTooLarge {
		t.Errorf("one byte over: %+v", a)
	}
	if !l.Create(start, token.Ref{Session: token.SessionID{2}, Epoch: 1}, 2) ||
		l.Create(start, token.Ref{Session: token.SessionID{3}, Epoch: 1}, 3) {
		t.Error("the bound on sessions")
	}
	l.Export(start, first, 77, start.Add(time.Second), 100, false, 4)
	l.Disconnected(start, 4, first.Session)
	if l.Commit(start, first.Session, 77, "b") {
		t.Error("a claim outlives its connection")
	}
	if a := l.Reattach(start, first, 80, false, 5); a.Verdict != Granted || a.Ref.Epoch != 2 || a.Position != 5 {
		t.Errorf("back: %+v", a)
	}
	l.End(start, 5, first.Session)
	if a := l.Reattach(start, first, 81, false, 6); a.Verdict != Ended {
		t.Errorf("after the end: %+v", a)
	}
	if a := l.Reattach(start.Add(20*time.Second), first, 81, false, 6); a.Verdict != Unknown {
		t.Errorf("long after: %+v", a)
	}
	if held, attached := l.Sessions(); held != 1 || attached != 1 {
		t.Errorf("%d held, %d attached: one that plays was forgotten", held, attached)
	}
}
