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

// ParseOpen returns what Open.String has formatted. The text contains no separator of request lines.
func TestOpenIsParsed(t *testing.T) {
	for _, open := range []Open{
		{Mode: ModeNew, Ref: ref},
		{Mode: ModeReattach, Ref: ref, NextFence: 9, ViaRedirect: true},
		{Mode: ModeMigrate, Ref: ref, Position: 7, Size: MaxState},
	} {
		t.Run(string(open.Mode), func(t *testing.T) {
			text := open.String()
			if got, err := ParseOpen(text); err != nil || got != open || strings.ContainsAny(text, ", =") {
				t.Errorf("%s is parsed as %+v, %v", text, got, err)
			}
		})
	}
}

// ParseExport and ParseCommit return what String has formatted, also if a room server's name contains spaces,
// slashes, percent signs or characters that are not ASCII.
func TestTransferRequestsAreParsed(t *testing.T) {
	export := Export{Ref: ref, Claim: 5, ClaimFor: 2 * time.Second, MaxState: 100, ViaRedirect: true}
	if got, err := ParseExport(export.String()); err != nil || got != export {
		t.Errorf("%s is parsed as %+v, %v", export, got, err)
	}
	commit := Commit{Session: ref.Session, Claim: 5, To: "s 1/é%"}
	if got, err := ParseCommit(commit.String()); err != nil || got != commit {
		t.Errorf("%s is parsed as %+v, %v", commit, got, err)
	}
}

// ParseAnswer returns what AnswerLine has formatted, for each verdict.
func TestAnswersAreParsed(t *testing.T) {
	for _, want := range []arbiter.Answer{
		{Verdict: arbiter.Granted, Position: 4, State: []byte("abc"), Ref: ref},
		{Verdict: arbiter.Migrated, MigratedTo: "s 1", Ref: ref},
		{Verdict: arbiter.InUse, RetryAfter: time.Second},
		{Verdict: arbiter.TokenUsed},
		{Verdict: arbiter.Ended},
		{Verdict: arbiter.StateTooLarge},
		{Verdict: arbiter.Unknown},
	} {
		t.Run(want.Verdict.String(), func(t *testing.T) {
			line := AnswerLine(want)
			got, size, ok := ParseAnswer(line, ref.Session)
			if !ok || size != len(want.State) || got.Verdict != want.Verdict || got.Position != want.Position ||
				got.MigratedTo != want.MigratedTo || got.RetryAfter != want.RetryAfter ||
				got.Ref.Epoch != want.Ref.Epoch {
				t.Errorf("%q is parsed as %+v, %d bytes, %v", line, got, size, ok)
			}
		})
	}
}

func TestNumbersAreParsed(t *testing.T) {
	var epoch, position uint64
	if !ParseNumbers(SessionReadyLine(3, 4), "HELD", &epoch, &position) || epoch != 3 || position != 4 {
		t.Errorf("HELD is parsed as epoch %d, position %d", epoch, position)
	}
	if ParseNumbers("HELD 3", "HELD", &epoch, &position) {
		t.Error("HELD with one number instead of two is accepted")
	}
}

// Parsing any accepted text and formatting the result gives the same text. So no two accepted texts have the same
// meaning, as they would if leading zeros were accepted.
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f,
		[]byte(Open{Mode: ModeReattach, Ref: ref, NextFence: 9}.String()),
		[]byte(Open{Mode: ModeMigrate, Ref: ref, Size: 9}.String()),
		[]byte(Export{Ref: ref, Claim: 5, MaxState: 9}.String()),
		[]byte(Commit{Session: ref.Session, Claim: 5, To: "s%201"}.String()),
		[]byte("STATE 3 4 5"), []byte("MOVED s-1 3 ab"), []byte("INUSE 50"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		text := string(raw)
		if open, err := ParseOpen(text); err == nil && open.String() != text {
			t.Errorf("%q is parsed as %s", text, open)
		}
		if export, err := ParseExport(text); err == nil && export.String() != text {
			t.Errorf("%q is parsed as %s", text, export)
		}
		if commit, err := ParseCommit(text); err == nil && commit.String() != text {
			t.Errorf("%q is parsed as %s", text, commit)
		}
		if answer, size, ok := ParseAnswer(text, ref.Session); ok {
			if answer.State = make([]byte, size); AnswerLine(answer) != text {
				t.Errorf("%q is parsed as %+v", text, answer)
			}
		}
	})
}
