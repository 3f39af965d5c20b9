package experiment

import (
	"encoding/json"
	"reflect"
	"testing"
)

// The configuration file of a balancer has the keys and values of the platform's file format. The test guards against
// struct tags and values that change unnoticed.
func TestBalancerConfig(t *testing.T) {
	e, err := Parse([]byte(`{"name":"x","balancers":2,"rooms":1,"sessions":10,"seconds":1}`))
	if err != nil {
		t.Fatal(err)
	}
	a := addresses{listen: "127.0.0.1:1", management: "127.0.0.1:2", discovery: "127.0.0.1:3"}
	raw, err := json.Marshal(e.config("n0", singleZone, a, json.RawMessage(`{"generation":1}`)))
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"discovery":"127.0.0.1:3","known":{"generation":1},
"limits":{"cores":1,"memory_mb":192,"sockets":4136},
"listen":"127.0.0.1:1","management":"127.0.0.1:2","name":"n0","seed":"3",
"settings":{"areas":["a"],"balancers":2,
"limits":{"connect_timeout_s":0.25,"max_retry_after_s":1.5,"may_probe":true,"most_tries":3,"retry_after":true},
"membership_mode":"subscribe","penalties":{"cross_zone":0.16,"moves":0.019,"probe":0.0018},
"profiles":[{"aim_s":0.3,"give_up_s":2,"name":"solo-play","repeat":"idempotent"}],
"rules":{"cold_s":6,"cold_share":0.4,"drain_grace_s":0.5,"fall_multiple":4,"fall_s":1,"must_ask_in_s":10},
"specifics":{"groups":true,"message_aim_s":[0.06]},"zone":"a"}}`
	var gotValue, wantValue any
	if err := json.Unmarshal(raw, &gotValue); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(want), &wantValue); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gotValue, wantValue) {
		t.Errorf("configuration %s, want %s", raw, want)
	}
}
