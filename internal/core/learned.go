package core

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonplank/decide"
)

// Learned tells what the decision module has learned of the room servers, a line for each; nothing where the actor is
// busy for longer than within.
func (m *Module) Learned(within time.Duration) (lines []string) {
	told := make(chan []decide.Learned, 1)
	if m.await(within, func() { told <- m.balancer.Learned() }) != nil {
		return nil
	}
	for _, l := range <-told {
		if raw, err := json.Marshal(l); err == nil {
			lines = append(lines, string(raw))
		}
	}
	return lines
}

// DecodeLearned reads such a line.
func DecodeLearned(line string) (l decide.Learned, err error) {
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		return l, fmt.Errorf("learned: %w", err)
	}
	return l, nil
}
