// Command adapter runs balancers for the simulator. It reads batches of events from standard input and writes one reply
// to each batch to standard output. If the input is invalid or a write fails, it prints one line to standard error and
// exits with status 1.
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

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(in)
	h := &host{encoder: simwire.NewEncoder(out), balancers: map[int]*decide.Balancer{}}
	for {
		batch, err := decoder.Batch(h)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.encoder.End(batch); err != nil {
			return err
		}
	}
}

// host holds one Balancer for each instance. The instances share no state.
type host struct {
	encoder   *simwire.Encoder
	balancers map[int]*decide.Balancer
	actions   []decide.Action // buffer for the actions of one event
}

// Create starts an instance. It discards the state of an earlier instance that has the same number.
func (h *host) Create(instance int, now time.Duration, settings decide.Settings) error {
	b, err := decide.New(settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	h.balancers[instance] = b
	return h.Event(instance, now, decide.Started{})
}

// Halt discards the state of an instance.
func (h *host) Halt(instance int) error {
	delete(h.balancers, instance)
	return nil
}

// Event passes an event to the Balancer of an instance and writes the resulting actions.
func (h *host) Event(instance int, now time.Duration, event decide.Event) error {
	h.actions = h.balancers[instance].Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		if err := h.encoder.Action(instance, action); err != nil {
			return err
		}
	}
	return nil
}
