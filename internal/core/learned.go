package core

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"cottonplank/decide"
)

// ErrOther is told of what was learned under other settings.
var ErrOther = errors.New("learned: under other settings")

// learned is such a line.
type learned struct {
	decide.Learned
	Of string `json:"of"` // the settings under which it was learned
}

// Customer names a customer's settings: what a load, a class or a room server is measured by. Neither the seed nor what
// may be tuned from one version to the next belongs to it.
func Customer(s decide.Settings) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q", s.Zone, s.Zones)
	for _, c := range s.Classes {
		fmt.Fprintf(h, " %q %d %d", c.Name, c.Repeat, c.Scope)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Learned tells what the decision module has learned of the room servers, a line for each; nothing where the actor is
// busy for longer than within.
func (m *Module) Learned(within time.Duration) (lines []string) {
	told := make(chan []decide.Learned, 1)
	if m.await(within, func() { told <- m.balancer.Learned() }) != nil {
		return nil
	}
	mine := Customer(m.cfg.Settings)
	for _, l := range <-told {
		if raw, err := json.Marshal(learned{l, mine}); err == nil {
			lines = append(lines, string(raw))
		}
	}
	return lines
}

// DecodeLearned reads such a line. Guards against what a process of another customer's at the same address has learned.
func DecodeLearned(line, customer string) (decide.Learned, error) {
	var l learned
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		return l.Learned, fmt.Errorf("learned: %w", err)
	}
	if l.Of != customer {
		return l.Learned, ErrOther
	}
	return l.Learned, nil
}
