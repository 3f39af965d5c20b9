package experiment

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// At least minFaults faults are drawn, among them a pause of three instances, a loss of 40 % and five kills and stops.
// All end by faultsUntil. They are the same for the same seed. The first instance, which is the gossip seed of the
// others, is never killed or stopped without a restart.
func TestMembershipFaults(t *testing.T) {
	for seed := range uint64(50) {
		faults := drawMembershipFaults(20, seed)
		if !reflect.DeepEqual(faults, drawMembershipFaults(20, seed)) {
			t.Fatalf("seed %d: two draws differ", seed)
		}
		if len(faults) < minFaults {
			t.Errorf("seed %d: only %d faults", seed, len(faults))
		}
		maxPaused, maxLoss := 0, 0.0
		ended := map[int]bool{}
		for _, f := range faults {
			if f.At+f.For > faultsUntil {
				t.Errorf("seed %d: %v ends after %v", seed, f, faultsUntil)
			}
			switch f.Kind {
			case faultPause:
				maxPaused = max(maxPaused, len(f.Members))
			case faultNoise:
				maxLoss = max(maxLoss, f.Noise.Loss)
			case faultKill, faultStop:
				if f.Members[0] == 0 || ended[f.Members[0]] {
					t.Errorf("seed %d: %v concerns the first instance, or one that has ended", seed, f)
				}
				ended[f.Members[0]] = true
			}
		}
		if maxPaused < 3 || maxLoss != 0.4 || len(ended) != 5 {
			t.Errorf("seed %d: at most %d paused together, loss %v, %d killed or stopped without a restart",
				seed, maxPaused, maxLoss, len(ended))
		}
	}
}

// The membership experiment of the repository is valid, and the duration in its file is at most 58 s. A file with too
// few instances is rejected.
func TestParseMembership(t *testing.T) {
	const path = "../../../experiments/membership-faults.json"
	e, err := LoadMembership(path)
	if err != nil || e.Instances != 20 || time.Duration(e.Seconds)*time.Second > 58*time.Second {
		t.Errorf("%+v, %v", e, err)
	}
	if kind, err := FileKind(path); err != nil || kind != MembershipKind {
		t.Errorf("kind %q, %v", kind, err)
	}
	const threeInstances = `{"name":"x","kind":"membership-faults","instances":3,"rooms":1,"sessions":1,"seconds":50}`
	_, err = ParseMembership([]byte(threeInstances))
	if err == nil || !strings.Contains(err.Error(), "instances") {
		t.Errorf("three instances: %v, want an error with \"instances\"", err)
	}
}
