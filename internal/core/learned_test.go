package core

import (
	"encoding/json"
	"errors"
	"testing"

	"cottonplank/decide"
)

// Learned state of another deployment is rejected. Settings with another seed, or with other values that may be tuned
// from one version to the next, belong to the same deployment.
func TestDecodeLearnedRejectsOtherDeployment(t *testing.T) {
	settings := decide.Settings{
		Seed:    1,
		Zone:    "a",
		Zones:   []string{"a", "b"},
		Classes: []decide.Class{{Name: "c"}, {Name: "d"}},
	}
	line, err := json.Marshal(learnedLine{decide.LearnedState{Server: 1, LoadPerConnection: 0.3}, DeploymentID(settings)})
	if err != nil {
		t.Fatal(err)
	}
	tuned := settings
	tuned.Seed, tuned.MaxAttempts = 2, 5
	if state, err := DecodeLearned(string(line), DeploymentID(tuned)); err != nil || state.LoadPerConnection != 0.3 {
		t.Errorf("learned state of the same deployment: got %+v, error %v", state, err)
	}
	for name, change := range map[string]func(*decide.Settings){
		"zone":    func(s *decide.Settings) { s.Zone = "b" },
		"classes": func(s *decide.Settings) { s.Classes = []decide.Class{{Name: "d"}, {Name: "c"}} },
		"idempotency": func(s *decide.Settings) {
			s.Classes = []decide.Class{{Name: "c", Idempotency: decide.NotIdempotent}, {Name: "d"}}
		},
	} {
		t.Run("other "+name, func(t *testing.T) {
			other := settings
			change(&other)
			if _, err := DecodeLearned(string(line), DeploymentID(other)); !errors.Is(err, ErrOtherDeployment) {
				t.Errorf("got %v, want %v", err, ErrOtherDeployment)
			}
		})
	}
	if _, err := DecodeLearned(`{"server":1,"each":0.3}`, DeploymentID(settings)); !errors.Is(err, ErrOtherDeployment) {
		t.Errorf("learned state without a deployment: got error %v, want ErrOtherDeployment", err)
	}
}
