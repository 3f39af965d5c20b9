package protocol

import (
	"testing"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/token"
)

// Balancers, room servers and clients of different versions exchange these lines, so their texts must not change.
func TestLineTexts(t *testing.T) {
	const id = "01ff0000000000000000000000000000"
	export := Export{Ref: ref, Claim: 0x5f, ClaimFor: 2 * time.Second, MaxState: 100, ViaRedirect: true}
	for _, v := range []struct{ got, want string }{
		{FieldName, "session"},
		{NewSession, "new"},
		{ReadyLine, "READY"},
		{ActivateLine, "GO"},
		{TokenReceivedLine, "HAVE"},
		{CommitDone, "DONE"},
		{CommitRejected, "NO"},
		{Open{Mode: ModeNew, Ref: ref}.String(), "new:" + id + ":3:abc"},
		{Open{Mode: ModeReattach, Ref: ref, NextFence: 0x1d, ViaRedirect: true}.String(), "back:" + id + ":3:abc:1d:1"},
		{Open{Mode: ModeReattach, Ref: ref, NextFence: 9}.String(), "back:" + id + ":3:abc:9:0"},
		{Open{Mode: ModeMigrate, Ref: ref, Position: 7, Size: 12}.String(), "move:" + id + ":3:abc:7:12"},
		{export.String(), "EXPORT " + id + " 3 abc 5f 2000 100 1"},
		{Commit{Session: ref.Session, Claim: 0x5f, To: "s 1/é%"}.String(), "COMMIT " + id + " 5f s%201%2F%C3%A9%25"},
		{SessionReadyLine(3, 4), "HELD 3 4"},
		{SessionRetainedLine(3, 4), "KEPT 3 4"},
		{PositionLine(4), "POS 4"},
		{TokenLine("1.x.y"), "TOKEN 1.x.y"},
		{StartOverLine("gone"), "ANEW gone"},
	} {
		if v.got != v.want {
			t.Errorf("line %q, want %q", v.got, v.want)
		}
	}
	if MaxState != 1048576 {
		t.Errorf("MaxState is %d bytes, want 1048576", MaxState)
	}
}

// The answers of a room server to Export must not change either, and ParseAnswer understands each of them.
func TestAnswerTexts(t *testing.T) {
	for want, answer := range map[string]arbiter.Answer{
		"STATE 3 4 5":       {Verdict: arbiter.Granted, Position: 4, State: []byte("board"), Ref: ref},
		"MOVED s%201 3 abc": {Verdict: arbiter.Migrated, MigratedTo: "s 1", Ref: ref},
		"INUSE 1500":        {Verdict: arbiter.InUse, RetryAfter: 1500 * time.Millisecond},
		"USED":              {Verdict: arbiter.TokenUsed},
		"OVER":              {Verdict: arbiter.Ended},
		"LARGE":             {Verdict: arbiter.StateTooLarge},
		"UNKNOWN":           {Verdict: arbiter.Unknown},
	} {
		if got := AnswerLine(answer); got != want {
			t.Errorf("line %q, want %q", got, want)
		}
		got, size, ok := ParseAnswer(want, ref.Session)
		if !ok || got.Verdict != answer.Verdict || size != len(answer.State) || got.MigratedTo != answer.MigratedTo ||
			got.RetryAfter != answer.RetryAfter || got.Position != answer.Position {
			t.Errorf("%q is parsed as %+v, %d bytes, %v", want, got, size, ok)
		}
	}
}

// ParseOpen rejects wrong numbers of fields, leading zeros, upper-case digits, unknown modes and values out of range.
func TestParseOpenRejectsOtherForms(t *testing.T) {
	const id = "01ff0000000000000000000000000000"
	for _, text := range []string{
		"", "new", "new:" + id + ":3", "new:" + id + ":3:abc:1", "new:" + id + ":03:abc", "new:" + id + ":3:ABC",
		"old:" + id + ":3:abc", "back:" + id + ":3:abc:9", "back:" + id + ":3:abc:9:2", "move:" + id + ":3:abc:7",
		"move:" + id + ":3:abc:7:1048577", "new:" + id[2:] + ":3:abc",
	} {
		if open, err := ParseOpen(text); err == nil {
			t.Errorf("%q is parsed as %+v", text, open)
		}
	}
	if _, err := ParseOpen("move:" + id + ":3:abc:7:1048576"); err != nil {
		t.Errorf("state of the maximum size: error %v, want none", err)
	}
	if id, err := token.ParseSessionID(id); err != nil || id != ref.Session {
		t.Errorf("session ID %s, %v", id, err)
	}
}
