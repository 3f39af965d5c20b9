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

// ErrOtherDeployment means that learned state was exported by a process with another DeploymentID.
var ErrOtherDeployment = errors.New("learned state: from another deployment")

// learnedLine is the learned state of one server, as it is encoded in JSON. Other versions of the program read this
// encoding.
type learnedLine struct {
	decide.LearnedState
	// DeploymentID identifies the settings under which the state was learned.
	DeploymentID string `json:"of"`
}

// DeploymentID identifies the settings on which the meaning of learned state depends: the zones and the request
// classes. It does not depend on the seed, nor on settings that may be tuned from one version to the next.
func DeploymentID(s decide.Settings) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q", s.Zone, s.Zones)
	for _, class := range s.Classes {
		fmt.Fprintf(h, " %q %d %d", class.Name, class.Idempotency, class.KeyScope)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// ExportLearned returns the decision module's learned state for the replacement process, encoded as one line for each
// ready server. It returns nil if the event loop does not answer within the given time.
func (e *Engine) ExportLearned(within time.Duration) (lines []string) {
	exported := make(chan []decide.LearnedState, 1)
	if e.await(within, func() { exported <- e.balancer.ExportLearned() }) != nil {
		return nil
	}
	deployment := DeploymentID(e.cfg.Settings)
	for _, state := range <-exported {
		if raw, err := json.Marshal(learnedLine{state, deployment}); err == nil {
			lines = append(lines, string(raw))
		}
	}
	return lines
}

// DecodeLearned decodes a line of ExportLearned. It returns ErrOtherDeployment if the line was exported by a process of
// another deployment, because processes of several deployments may run on one machine. It returns another error if the
// line cannot be decoded.
func DecodeLearned(line, deployment string) (decide.LearnedState, error) {
	var decoded learnedLine
	if err := json.Unmarshal([]byte(line), &decoded); err != nil {
		return decoded.LearnedState, fmt.Errorf("learned state: %w", err)
	}
	if decoded.DeploymentID != deployment {
		return decoded.LearnedState, ErrOtherDeployment
	}
	return decoded.LearnedState, nil
}
