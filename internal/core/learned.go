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

// ErrOtherDeployment is told of what was learned under other settings.
var ErrOtherDeployment = errors.New("learned: under other settings")

// learnedLine is such a line.
type learnedLine struct {
	decide.LearnedState
	DeploymentID string `json:"of"` // the settings under which it was learned
}

// DeploymentID names a customer's settings: what a load, a class or a room server is measured by. Neither the seed nor what
// may be tuned from one version to the next belongs to it.
func DeploymentID(s decide.Settings) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q", s.Zone, s.Zones)
	for _, c := range s.Classes {
		fmt.Fprintf(h, " %q %d %d", c.Name, c.Idempotency, c.KeyScope)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// ExportLearned tells what the decision module has learned of the room servers, a line for each; nothing where the actor is
// busy for longer than within.
func (e *Engine) ExportLearned(within time.Duration) (lines []string) {
	told := make(chan []decide.LearnedState, 1)
	if e.await(within, func() { told <- e.balancer.ExportLearned() }) != nil {
		return nil
	}
	mine := DeploymentID(e.cfg.Settings)
	for _, l := range <-told {
		if raw, err := json.Marshal(learnedLine{l, mine}); err == nil {
			lines = append(lines, string(raw))
		}
	}
	return lines
}

// DecodeLearned reads such a line. Guards against what a process of another customer's at the same address has learned.
func DecodeLearned(line, customer string) (decide.LearnedState, error) {
	var l learnedLine
	if err := json.Unmarshal([]byte(line), &l); err != nil {
		return l.LearnedState, fmt.Errorf("learned: %w", err)
	}
	if l.DeploymentID != customer {
		return l.LearnedState, ErrOtherDeployment
	}
	return l.LearnedState, nil
}
