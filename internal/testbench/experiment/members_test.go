package experiment

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// A schedule has what the aims ask for, is the same for the same seed, and leaves the seed instance alive.
func TestMemberSchedule(t *testing.T) {
	for seed := range uint64(50) {
		faults := drawMemberFaults(20, seed)
		if !reflect.DeepEqual(faults, drawMemberFaults(20, seed)) {
			t.Fatalf("seed %d: another schedule the second time", seed)
		}
		if len(faults) < faultsAim {
			t.Errorf("seed %d: %d faults", seed, len(faults))
		}
		together, loss := 0, 0.0
		gone := map[int]bool{}
		for _, f := range faults {
			if f.At+f.For > faultsUntil {
				t.Errorf("seed %d: %v ends after %v", seed, f, faultsUntil)
			}
			switch f.Kind {
			case faultPause:
				together = max(together, len(f.Members))
			case faultNoise:
				loss = max(loss, f.Noise.Loss)
			case faultKill, faultStop:
				if f.Members[0] == 0 || gone[f.Members[0]] {
					t.Errorf("seed %d: %v", seed, f)
				}
				gone[f.Members[0]] = true
			}
		}
		if together < 3 || loss != 0.4 || len(gone) != 5 {
			t.Errorf("seed %d: %d stopped at once, loss %v, %d gone", seed, together, loss, len(gone))
		}
	}
}

func TestMembersFile(t *testing.T) {
	e, err := LoadMembers("../../../experiments/membership-faults.json")
	if err != nil || e.Instances != 20 || time.Duration(e.Seconds)*time.Second > 58*time.Second {
		t.Errorf("%+v, %v", e, err)
	}
	if kind, err := Kind("../../../experiments/membership-faults.json"); err != nil || kind != MembersKind {
		t.Errorf("kind %q, %v", kind, err)
	}
	_, err = ParseMembers([]byte(`{"name":"x","kind":"membership-faults","instances":3,"rooms":1,"sessions":1,"seconds":50}`))
	if err == nil || !strings.Contains(err.Error(), "instances") {
		t.Errorf("three instances: %v", err)
	}
}
