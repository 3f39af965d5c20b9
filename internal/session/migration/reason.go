package migration

import (
	"errors"

	"cottonplank/internal/session/token"
)

// Refusal is the reason that belongs to an error of token.Ring.Open.
func Refusal(err error) Reason {
	for reason, is := range map[Reason]error{Version: token.ErrVersion, UnknownKey: token.ErrKey, Forged: token.ErrForged,
		Expired: token.ErrExpired, Site: token.ErrSite} {
		if errors.Is(err, is) {
			return reason
		}
	}
	return Malformed
}
