package migration

import (
	"errors"

	"cottonplank/internal/session/token"
)

// ReasonForError is the reason that belongs to an error of token.Ring.Open.
func ReasonForError(err error) Reason {
	for reason, is := range map[Reason]error{Version: token.ErrUnsupportedVersion, UnknownKey: token.ErrUnknownKey, Forged: token.ErrForged,
		Expired: token.ErrExpired, WrongSite: token.ErrWrongSite} {
		if errors.Is(err, is) {
			return reason
		}
	}
	return Malformed
}
