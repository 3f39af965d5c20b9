package core

import (
	"encoding/json"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/testbench/fuzzcorpus"
)

// Whatever another process tells as learned, the decision module stays sound: loads are none below 0, and no server is
// left out for long.
func FuzzLearned(f *testing.F) {
	line, err := json.Marshal(learnedLine{decide.LearnedState{Server: 1, Load: 0.4, Age: time.Second, LoadPerConnection: 0.1, ConsecutiveFailures: 2, EjectedFor: time.Second}, "c1"})
	if err != nil {
		f.Fatal(err)
	}
	fuzzcorpus.Add(f, line)
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := DecodeLearned(string(raw), "c1")
		if err != nil {
			return
		}
		b, err := decide.New(decide.Settings{Zone: "a", Classes: []decide.Class{{Name: "c", LatencyObjective: time.Second}}})
		if err != nil {
			t.Fatal(err)
		}
		const start = 24 * time.Hour
		b.Handle(start, decide.ListReceived{Kind: decide.ListSnapshot, Servers: []decide.Server{{ID: l.Server, Zone: "a"}}}, nil)
		b.ImportLearned([]decide.LearnedState{l})
		for _, got := range b.ExportLearned() {
			if got.Load < 0 || got.LoadPerConnection < 0 || got.ConsecutiveFailures < 0 || got.EjectedFor > time.Minute {
				t.Errorf("%q is taken as %+v", raw, got)
			}
		}
	})
}
