package arbiter

import (
	"testing"
	"time"

	"cottonplank/internal/session/token"
)

var (
	start    = time.Unix(1e9, 0)
	firstRef = token.Ref{Session: token.SessionID{1}, Epoch: 1, Fence: 9}
)

func newTestArbiter() *Arbiter { return New(Config{Retention: 10 * time.Second, Limit: 2}) }

// newArbiterWithSession returns an arbiter with the session of firstRef, which is attached to connection 1.
func newArbiterWithSession(t *testing.T) *Arbiter {
	t.Helper()
	a := newTestArbiter()
	if !a.Create(start, firstRef, 1) || !a.SaveState(1, firstRef.Session, 5, []byte("board")) {
		t.Fatal("the session was not created")
	}
	return a
}

// A migration takes the session away from its connection, whose moves are acknowledged no longer. The tombstone
// redirects to the new server, where only the connection that prepared the copy attaches it. So a session is never
// attached twice.
func TestMigration(t *testing.T) {
	old, next := newArbiterWithSession(t), newTestArbiter()
	session := firstRef.Session
	exported := old.Export(start, firstRef, 77, start.Add(time.Second), 5, false, 2)
	if exported.Verdict != Granted || exported.Displaced != 1 || exported.Position != 5 ||
		string(exported.State) != "board" {
		t.Fatalf("export: %+v", exported)
	}
	if old.SaveState(1, session, 6, nil) {
		t.Error("a connection that lost the session was acknowledged")
	}
	if answer := old.Reattach(start, firstRef, 78, false, 3); answer.Verdict != InUse || answer.RetryAfter <= 0 {
		t.Errorf("reattach during a claim: %+v", answer)
	}
	migrated := token.Ref{Session: session, Epoch: 2, Fence: 77}
	if !next.Prepare(start, migrated, 5, exported.State, 4) || next.SaveState(4, session, 6, nil) {
		t.Error("not prepared, or attached before the commit")
	}
	if next.Activate(start, 5, session) || !old.Commit(start, session, 77, "b") || !next.Activate(start, 4, session) {
		t.Error("attached by another connection, or not at all")
	}
	answer := old.Reattach(start, firstRef, 79, false, 3)
	if answer.Verdict != Migrated || answer.MigratedTo != "b" || answer.Ref != migrated {
		t.Errorf("reattach at the old server after the migration: %+v", answer)
	}
	if old.Commit(start, session, 77, "c") {
		t.Error("committed twice")
	}
	if answer := next.Reattach(start, migrated, 80, true, 6); answer.Verdict != InUse {
		t.Errorf("redirected while the session is being attached: %+v", answer)
	}
	next.ConfirmToken(4, session)
	if answer := next.Reattach(start, migrated, 80, true, 6); answer.Verdict != TokenUsed {
		t.Errorf("redirected after the client has confirmed its token: %+v", answer)
	}
}

// A claim ends with its connection. The end of a session and that of its retention have verdicts of their own. The
// limits on the size of a state and the number of sessions hold.
func TestEndsAndLimits(t *testing.T) {
	a := newArbiterWithSession(t)
	session := firstRef.Session
	if answer := a.Export(start, firstRef, 77, start.Add(time.Second), 4, false, 2); answer.Verdict != StateTooLarge {
		t.Errorf("export of a state that is one byte too large: %+v", answer)
	}
	if !a.Create(start, token.Ref{Session: token.SessionID{2}, Epoch: 1}, 2) ||
		a.Create(start, token.Ref{Session: token.SessionID{3}, Epoch: 1}, 3) {
		t.Error("the limit on sessions is not 2")
	}
	a.Export(start, firstRef, 77, start.Add(time.Second), 100, false, 4)
	a.Disconnected(start, 4, session)
	if a.Commit(start, session, 77, "b") {
		t.Error("a claim outlives its connection")
	}
	answer := a.Reattach(start, firstRef, 80, false, 5)
	if answer.Verdict != Granted || answer.Ref.Epoch != 2 || answer.Position != 5 {
		t.Errorf("reattach after the claim: %+v", answer)
	}
	a.End(start, 5, session)
	if answer := a.Reattach(start, firstRef, 81, false, 6); answer.Verdict != Ended {
		t.Errorf("reattach after the end: %+v", answer)
	}
	if answer := a.Reattach(start.Add(20*time.Second), firstRef, 81, false, 6); answer.Verdict != Unknown {
		t.Errorf("reattach after the retention: %+v", answer)
	}
	if held, attached := a.Sessions(); held != 1 || attached != 1 {
		t.Errorf("%d held, %d attached, want 1 and 1: the attached session must be retained", held, attached)
	}
}
