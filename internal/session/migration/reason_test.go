package migration

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"cottonplank/internal/session/token"
)

// Clients receive these words, and INFO and the MIB's table contain them. The table's order must not change either.
func TestReasonWords(t *testing.T) {
	want := []string{"malformed", "version", "unknown-key", "forged", "expired", "site", "room", "used", "over", "gone",
		"late", "large", "stale", "lost", "unsupported"}
	if got := ReasonWords(); !slices.Equal(got, want) {
		t.Errorf("words %q, want %q", got, want)
	}
	for reason := range NumReasons {
		if got, want := reason.IsTokenError(), reason <= 6; got != want {
			t.Errorf("%v: is a token error: %v, want %v", reason, got, want)
		}
	}
}

// Each error of token.Ring.Open has its own reason, also if it is wrapped. Any other error counts as malformed.
func TestReasonForError(t *testing.T) {
	for err, want := range map[error]string{
		token.ErrMalformed:          "malformed",
		token.ErrUnsupportedVersion: "version",
		token.ErrUnknownKey:         "unknown-key",
		token.ErrForged:             "forged",
		token.ErrExpired:            "expired",
		token.ErrWrongSite:          "site",
		errors.New("any other"):     "malformed",
	} {
		if got := ReasonForError(fmt.Errorf("wrapped: %w", err)); got.String() != want {
			t.Errorf("%v: reason %v, want %s", err, got, want)
		}
	}
}
