package hotrestart

import (
	"context"
	"errors"
	"os"
	"time"
)

// pastDeadline is a deadline in the past. It makes calls fail at once.
var pastDeadline = time.Unix(1, 0)

// Pauser pauses and resumes the goroutine that accepts connections from a socket or reads from it; there must be only
// one. The socket stays open, and another process that holds the same socket is not affected.
type Pauser struct {
	setDeadline func(time.Time) error
	resumed     chan struct{}
}

// NewPauser returns a Pauser for a socket. setDeadline sets the deadline of the calls to pause: accepts or reads.
func NewPauser(setDeadline func(time.Time) error) *Pauser {
	return &Pauser{setDeadline: setDeadline, resumed: make(chan struct{}, 1)}
}

// Pause makes the goroutine's calls fail, including a call that is blocked. One call that is just about to return may
// still succeed. If the socket is closed, Pause has no effect: calls fail anyway.
func (p *Pauser) Pause() { _ = p.setDeadline(pastDeadline) }

// Resume ends the pause: calls succeed again, and WaitWhilePaused returns.
func (p *Pauser) Resume() {
	_ = p.setDeadline(time.Time{})
	select {
	case p.resumed <- struct{}{}:
	default:
	}
}

// WaitWhilePaused reports whether a call failed with err because of a pause. If so, it first waits for the end of the
// pause. It returns false if ctx ends before the pause does.
func (p *Pauser) WaitWhilePaused(ctx context.Context, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	select {
	case <-p.resumed:
		return true
	case <-ctx.Done():
		return false
	}
}
