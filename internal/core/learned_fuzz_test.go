package core

import (
	"encoding/json"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/testbench/fuzzcorpus"
)

// Whatever learned state another process sends, the decision module imports no negative values from it and ejects no
// server for longer than a minute.
func FuzzLearned(f *testing.F) {
	line, err := json.Marshal(learnedLine{decide.LearnedState{
		Server:              1,
		Load:                0.4,
		Age:                 time.Second,
		LoadPerConnection:   0.1,
		ConsecutiveFailures: 2,
		EjectedFor:          time.Second,
	}, "c1"})
	if err != nil {
		f.Fatal(err)
	}
	fuzzcorpus.Add(f, line)
	f.Fuzz(func(t *testing.T, raw []byte) {
		state, err := DecodeLearned(string(raw), "c1")
		if err != nil {
			return
		}
		balancer, err := decide.New(decide.Settings{
			Zone:    "a",
			Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}},
		})
		if err != nil {
			t.Fatal(err)
		}
		const start = 24 * time.Hour
		servers := []decide.Server{{ID: state.Server, Zone: "a"}}
		balancer.Handle(start, decide.ListReceived{Kind: decide.ListSnapshot, Servers: servers}, nil)
		balancer.ImportLearned([]decide.LearnedState{state})
		for _, got := range balancer.ExportLearned() {
			if got.Load < 0 || got.LoadPerConnection < 0 || got.ConsecutiveFailures < 0 || got.EjectedFor > time.Minute {
				t.Errorf("learned state %q is imported with the invalid values %+v", raw, got)
			}
		}
	})
}
