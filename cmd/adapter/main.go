// Command adapter hosts decision instances for the bench: batches of events on
// standard input, one reply to each on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(in)
	h := &host{enc: simwire.NewEncoder(out), balancers: map[int]*decide.Balancer{}}
	for {
		seq, err := dec.Batch(h)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.enc.End(seq); err != nil {
			return err
		}
	}
}

// host keeps one Balancer an instance; nothing is shared between them.
type host struct {
	enc       *simwire.Encoder
	balancers map[int]*decide.Balancer
	actions   []decide.Action
}

// Create starts an instance anew.
func (h *host) Create(who int, now time.Duration, settings decide.Settings) error {
	b, err := decide.New(settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", who, err)
	}
	h.balancers[who] = b
	return h.Event(who, now, decide.Started{})
}

// Halt discards what an instance held.
func (h *host) Halt(who int) error {
	delete(h.balancers, who)
	return nil
}

// Event lets the instance act.
func (h *host) Event(who int, now time.Duration, ev decide.Event) error {
	h.actions = h.balancers[who].Handle(now, ev, h.actions[:0])
	for _, a := range h.actions {
		if err := h.enc.Action(who, a); err != nil {
			return err
		}
	}
	return nil
}
