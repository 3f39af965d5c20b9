package decide_test

import (
	"fmt"
	"time"

	"cottonplank/decide"
)

// A host passes events to a Balancer, with the time of its own clock, and carries out the actions.
func Example() {
	b, err := decide.New(decide.Settings{
		Seed: 1, Zone: "north", Zones: []string{"north", "south"}, Balancers: 2, MaxAttempts: 3,
		Classes: []decide.Class{{Name: "session", LatencyObjective: 300 * time.Millisecond}},
		Safety: decide.SafetyLimits{DrainGrace: time.Second, SlowStartInitialCapacity: 0.3,
			SlowStartDuration: 10 * time.Second, OverloadFactor: 3},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second
	actions := b.Handle(now, decide.Started{}, nil)
	actions = b.Handle(now, decide.ListReceived{Kind: decide.ListSnapshot, Servers: []decide.Server{
		{ID: 17, Zone: "north"}, {ID: 23, Zone: "south"},
	}}, actions[:0])
	actions = b.Handle(now, decide.RequestArrived{ID: "r1", Key: "client-9", Remaining: 2 * time.Second}, actions[:0])
	for _, a := range actions {
		switch a := a.(type) {
		case decide.StartAttempt:
			fmt.Println("dial server", a.Server, "for", a.ID)
		case decide.SetTimer:
			fmt.Println("set a timer for", a.Delay)
		}
	}
	// Output:
	// set a timer for 2s
	// dial server 17 for r1
}
