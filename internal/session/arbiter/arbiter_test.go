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

// newArbiterWithSession returns an arbiter with the session of firstRef, which is attached to connection 1 and has a
// state at position 5.
func newArbiterWithSession(t *testing.T) *Arbiter {
	t.Helper()
	a := newTestArbiter()
	if !a.Create(start, firstRef, 1) || !a.SaveState(1, firstRef.Session, 5, []byte("board")) {
		t.Fatal("the session was not created")
	}
	return a
}

// A session must never be attached twice. An export detaches it from its connection, and later moves on that
// connection are not saved. After the commit, the tombstone at the old room server redirects to the new one. Only the
// connection that has prepared the copy there can activate it, and a redirected request does not displace that
// connection.
func TestMigration(t *testing.T) {
	old, next := newArbiterWithSession(t), newTestArbiter()
	session := firstRef.Session
	exported := old.Export(start, firstRef, 77, start.Add(time.Second), 5, false, 2)
	if exported.Verdict != Granted || exported.Displaced != 1 || exported.Position != 5 ||
		string(exported.State) != "board" {
		t.Fatalf("export: %+v", exported)
	}
	if old.SaveState(1, session, 6, nil) {
		t.Error("a move was saved on a connection that has lost the session")
	}
	if answer := old.Reattach(start, firstRef, 78, false, 3); answer.Verdict != InUse || answer.RetryAfter <= 0 {
		t.Errorf("reattach during a claim: got %+v, want InUse", answer)
	}
	migrated := token.Ref{Session: session, Epoch: 2, Fence: 77}
	if !next.Prepare(start, migrated, 5, exported.State, 4) || next.SaveState(4, session, 6, nil) {
		t.Error("the copy was not prepared, or was attached before the commit")
	}
	if next.Activate(start, 5, session) || !old.Commit(start, session, 77, "b") || !next.Activate(start, 4, session) {
		t.Error("activated on another connection, not committed, or not activated on connection 4")
	}
	answer := old.Reattach(start, firstRef, 79, false, 3)
	if answer.Verdict != Migrated || answer.MigratedTo != "b" || answer.Ref != migrated {
		t.Errorf("reattach at the old room server after the migration: got %+v, want a redirect", answer)
	}
	if old.Commit(start, session, 77, "c") {
		t.Error("a second commit was accepted")
	}
	if answer := next.Reattach(start, migrated, 80, true, 6); answer.Verdict != InUse {
		t.Errorf("redirected request before the client has confirmed its token: got %+v, want InUse", answer)
	}
	next.ConfirmToken(4, session)
	if answer := next.Reattach(start, migrated, 80, true, 6); answer.Verdict != TokenUsed {
		t.Errorf("redirected request after the client has confirmed its token: got %+v, want TokenUsed", answer)
	}
}

// The limits on the size of an exported state and on the number of sessions are enforced. A claim ends with its
// connection. A session that has ended and a session whose retention is over have different verdicts.
func TestEndsAndLimits(t *testing.T) {
	a := newArbiterWithSession(t)
	session := firstRef.Session
	if answer := a.Export(start, firstRef, 77, start.Add(time.Second), 4, false, 2); answer.Verdict != StateTooLarge {
		t.Errorf("export of a state that is one byte too large: got %+v, want StateTooLarge", answer)
	}
	if !a.Create(start, token.Ref{Session: token.SessionID{2}, Epoch: 1}, 2) ||
		a.Create(start, token.Ref{Session: token.SessionID{3}, Epoch: 1}, 3) {
		t.Error("the limit on sessions is not 2")
	}
	a.Export(start, firstRef, 77, start.Add(time.Second), 100, false, 4)
	a.Disconnected(start, 4, session)
	if a.Commit(start, session, 77, "b") {
		t.Error("a claim was committed after its connection had ended")
	}
	answer := a.Reattach(start, firstRef, 80, false, 5)
	if answer.Verdict != Granted || answer.Ref.Epoch != 2 || answer.Position != 5 {
		t.Errorf("reattach after the end of the claim: got %+v, want Granted at epoch 2, position 5", answer)
	}
	a.End(start, 5, session)
	if answer := a.Reattach(start, firstRef, 81, false, 6); answer.Verdict != Ended {
		t.Errorf("reattach after the end of the session: got %+v, want Ended", answer)
	}
	if answer := a.Reattach(start.Add(20*time.Second), firstRef, 81, false, 6); answer.Verdict != Unknown {
		t.Errorf("reattach after the retention: got %+v, want Unknown", answer)
	}
	if held, attached := a.Sessions(); held != 1 || attached != 1 {
		t.Errorf("%d held, %d attached, want 1 and 1: the attached session must be retained", held, attached)
	}
}
