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
	line, err := json.Marshal(learned{decide.Learned{Server: 1, Load: 0.4, Age: time.Second, Each: 0.1, Streak: 2, Out: time.Second}, "c1"})
	if err != nil {
		f.Fatal(err)
	}
	fuzzcorpus.Add(f, line)
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := DecodeLearned(string(raw), "c1")
		if err != nil {
			return
		}
		b, err := decide.New(decide.Settings{Zone: "a", Classes: []decide.Class{{Name: "c", Aim: time.Second}}})
		if err != nil {
			t.Fatal(err)
		}
		const start = 24 * time.Hour
		b.Handle(start, decide.ListReceived{Kind: decide.ListFull, Servers: []decide.Server{{ID: l.Server, Zone: "a"}}}, nil)
		b.Learn([]decide.Learned{l})
		for _, got := range b.Learned() {
			if got.Load < 0 || got.Each < 0 || got.Streak < 0 || got.Out > time.Minute {
				t.Errorf("%q is taken as %+v", raw, got)
			}
		}
	})
}
