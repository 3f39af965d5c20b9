package protocol

import (
	"strings"
	"testing"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
	"cottonplank/internal/testbench/fuzzcorpus"
)

var ref = token.Ref{Session: token.SessionID{1, 0xff}, Epoch: 3, Fence: 0xabc}

// What is written is read again as it was, and names of any bytes pass.
func TestWrittenAndRead(t *testing.T) {
	for _, o := range []Open{{Mode: ModeNew, Ref: ref}, {Mode: ModeReattach, Ref: ref, Next: 9, ViaRedirect: true},
		{Mode: ModeMigrate, Ref: ref, Position: 7, Size: MaxState}} {
		if got, err := ParseOpen(o.String()); err != nil || got != o || strings.ContainsAny(o.String(), ", =") {
			t.Errorf("%s is read as %+v, %v", o, got, err)
		}
	}
	e := Export{Ref: ref, Claim: 5, ClaimFor: 2 * time.Second, MaxState: 100, ViaRedirect: true}
	if got, err := ParseExport(e.String()); err != nil || got != e {
		t.Errorf("%s is read as %+v, %v", e, got, err)
	}
	c := Commit{Session: ref.Session, Claim: 5, To: "s 1/é%"}
	if got, err := ParseCommit(c.String()); err != nil || got != c {
		t.Errorf("%s is read as %+v, %v", c, got, err)
	}
	for _, a := range []arbiter.Answer{{Verdict: arbiter.Granted, Position: 4, State: []byte("abc"), Ref: ref},
		{Verdict: arbiter.Migrated, MigratedTo: "s 1", Ref: ref}, {Verdict: arbiter.InUse, RetryAfter: time.Second}, {Verdict: arbiter.TokenUsed},
		{Verdict: arbiter.Ended}, {Verdict: arbiter.StateTooLarge}, {Verdict: arbiter.Unknown}} {
		got, size, ok := ParseAnswer(AnswerLine(a), ref.Session)
		if !ok || got.Verdict != a.Verdict || size != len(a.State) || got.Position != a.Position || got.MigratedTo != a.MigratedTo ||
			got.RetryAfter != a.RetryAfter || got.Ref.Epoch != a.Ref.Epoch {
			t.Errorf("%q is read as %+v, %d", AnswerLine(a), got, size)
		}
	}
	var epoch, position uint64
	if !Parse(HeldLine(3, 4), "HELD", &epoch, &position) || epoch != 3 || position != 4 || Parse("HELD 3", "HELD", &epoch, &position) {
		t.Error("HELD")
	}
}

// Whatever is taken is in the one form that is written; guards against two readings of one line.
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f, []byte(Open{Mode: ModeReattach, Ref: ref, Next: 9}.String()), []byte(Open{Mode: ModeMigrate, Ref: ref, Size: 9}.String()),
		[]byte(Export{Ref: ref, Claim: 5, MaxState: 9}.String()), []byte(Commit{Session: ref.Session, Claim: 5, To: "s%201"}.String()),
		[]byte("STATE 3 4 5"), []byte("MOVED s-1 3 ab"), []byte("INUSE 50"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		text := string(raw)
		if o, err := ParseOpen(text); err == nil && o.String() != text {
			t.Errorf("%q is read as %s", text, o)
		}
		if e, err := ParseExport(text); err == nil && e.String() != text {
			t.Errorf("%q is read as %s", text, e)
		}
		if c, err := ParseCommit(text); err == nil && c.String() != text {
			t.Errorf("%q is read as %s", text, c)
		}
		if a, size, ok := ParseAnswer(text, ref.Session); ok {
			if a.State = make([]byte, size); AnswerLine(a) != text {
				t.Errorf("%q is read as %+v", text, a)
			}
		}
	})
}
