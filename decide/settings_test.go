package decide

import (
	"strings"
	"testing"
)

func TestInvalidSettings(t *testing.T) {
	for message, invalidate := range map[string]func(*Settings){
		"Classes is empty":                    func(s *Settings) { s.Classes = nil },
		"Zone \"elsewhere\"":                  func(s *Settings) { s.Zone = "elsewhere" },
		"Balancers is -1":                     func(s *Settings) { s.Balancers = -1 },
		"Balancers is 1000000":                func(s *Settings) { s.Balancers = 1e9 },
		"MaxAttempts":                         func(s *Settings) { s.MaxAttempts = -1 },
		"Classes[1]: LatencyObjective":        func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Classes[0]: Idempotency":             func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Classes[0]: DedupWindow":             func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"Safety.SlowStartInitialCapacity":     func(s *Settings) { s.Safety.SlowStartInitialCapacity = 1.5 },
		"Safety.DrainGrace":                   func(s *Settings) { s.Safety.DrainGrace = -1 },
		"Costs.Probe":                         func(s *Settings) { s.Costs.Probe = -1 },
		"Classes[2]: ClientTimeout":           func(s *Settings) { s.Classes[2].ClientTimeout = -1 },
		"Classes[2]: KeyScope":                func(s *Settings) { s.Classes[2].KeyScope = 7 },
		"ConnectTimeout":                      func(s *Settings) { s.ConnectTimeout = -1 },
		"Safety.OverloadFactor":               func(s *Settings) { s.Safety.OverloadFactor = -1 },
		"Classes[0]: MessageLatencyObjective": func(s *Settings) { s.Classes[0].MessageLatencyObjective = -1 },
	} {
		t.Run(message, func(t *testing.T) {
			set := settings()
			invalidate(&set)
			if _, err := New(set); err == nil || !strings.Contains(err.Error(), "settings: "+message) {
				t.Errorf("got error %v, want one that contains the text in the subtest's name", err)
			}
		})
	}
}
