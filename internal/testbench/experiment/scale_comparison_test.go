package experiment

import "testing"

// Hollow nodes and real balancers exchange about the same number of bytes for the same changes, and the other costs of
// both are measured.
func TestCompareScale(t *testing.T) {
	options := ComparisonOptions{Servers: []int{50, 500}, Nodes: 2, Seconds: 3}
	c, err := CompareScale(t.Context(), buildPrograms(t), options, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range c.Sizes {
		hollow, real := s.Hollow, s.Real
		ratio := hollow.KBPerSecond / real.KBPerSecond
		if !(ratio >= 0.9 && ratio <= 1.1) || real.KBPerSecond < 0.4 {
			t.Errorf("traffic: %+v", s)
		}
		if hollow.CPUMsPerSecond <= 0 || real.CPUMsPerSecond <= 0 {
			t.Errorf("processor time: %+v", s)
		}
		if hollow.ResidentMB <= 0 || real.ResidentMB <= hollow.ResidentMB {
			t.Errorf("memory: %+v", s)
		}
	}
	if c.Sizes[0].Servers != 50 || c.Sizes[1].Servers != 500 {
		t.Errorf("sizes: %+v", c)
	}
	if c.RealSlope.CPUMsPerSecond == c.HollowSlope.CPUMsPerSecond {
		t.Errorf("slopes: %+v", c)
	}
}

// Options with fewer than two sizes are rejected, as a slope needs two.
func TestCompareScaleOptions(t *testing.T) {
	for _, servers := range [][]int{nil, {50}} {
		options := ComparisonOptions{Servers: servers, Nodes: 1, Seconds: 1}
		if _, err := CompareScale(t.Context(), Programs{}, options, noProgress); err == nil {
			t.Errorf("%v: no error", servers)
		}
	}
}
