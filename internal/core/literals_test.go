package core

import (
	"encoding/json"
	"testing"
	"time"

	"cottonplank/decide"
)

// The management protocol and the session protocol send these texts to clients, which match them.
func TestProtocolTextsAreStable(t *testing.T) {
	for got, want := range map[string]string{
		Starting.String():          "starting",
		Serving.String():           "serving",
		LameDuck.String():          "lame duck",
		Stopping.String():          "stopping",
		ErrStopping.Error():        "stopping",
		ErrBusy.Error():            "busy",
		string(ReasonStateTimeout): "late",
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Other versions of the program read the encoding of learned state during a hot restart.
func TestLearnedStateEncodingIsStable(t *testing.T) {
	state := decide.LearnedState{Server: 7, Load: 0.5, Age: time.Second, LoadPerConnection: 0.25, ConsecutiveFailures: 2,
		EjectedFor: 3 * time.Second}
	raw, err := json.Marshal(learnedLine{state, "c1"})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"server":7,"load":0.5,"age":1000000000,"each":0.25,"streak":2,"out":3000000000,"of":"c1"}`
	if string(raw) != want {
		t.Errorf("got %s, want %s", raw, want)
	}
	deployment := DeploymentID(decide.Settings{Zone: "a", Zones: []string{"a", "b"},
		Classes: []decide.Class{{Name: "c", Idempotency: decide.NotIdempotent, KeyScope: decide.ScopeCell}}})
	if want := "fa318d84c40e067a"; deployment != want {
		t.Errorf("deployment %q, want %q", deployment, want)
	}
	if got, want := ServerID("s-1"), decide.ServerID(412855716); got != want {
		t.Errorf("server id %d, want %d", got, want)
	}
}
