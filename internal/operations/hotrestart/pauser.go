package hotrestart

import (
	"context"
	"errors"
	"os"
	"time"
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Pauser pauses and resumes the one goroutine that accepts from a socket or reads it. The socket stays open; another
// process that holds the same socket is not affected.
type Pauser struct {
	setDeadline func(time.Time) error
	resumed     chan struct{}
}

// NewPauser returns a Pauser for a socket whose accept or read deadline setDeadline sets.
func NewPauser(setDeadline func(time.Time) error) *Pauser {
	return &Pauser{setDeadline: setDeadline, resumed: make(chan struct{}, 1)}
}

// Pause makes the goroutine's calls fail from the next one on; on a closed socket they fail already. A call under way
// may still succeed once.
func (p *Pauser) Pause() { _ = p.setDeadline(pastDeadline) }

// Resume ends the pause.
func (p *Pauser) Resume() {
	_ = p.setDeadline(time.Time{})
	select {
	case p.resumed <- struct{}{}:
	default:
	}
}

// WaitWhilePaused reports whether a call failed with err because of a pause, after waiting for the end of the pause. It
// reports false if ctx ends first.
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
