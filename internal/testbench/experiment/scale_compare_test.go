package experiment

import "testing"

// Hollow balancers and real ones take the same bytes for the same changes, and each costs something. Guards the
// comparison against one that reads the same side twice, or nothing.
func TestCompare(t *testing.T) {
	c, err := Compare(t.Context(), Programs{program(t), labProgram(t)}, []int{50, 500}, 2, 3, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range c.Sizes {
		if s.Hollow.KB < 0.9*s.Real.KB || s.Hollow.KB > 1.1*s.Real.KB || s.Real.KB < 0.4 {
			t.Errorf("KB/s: %+v", s)
		}
		if s.Hollow.CPU <= 0 || s.Real.CPU <= 0 || s.Hollow.MB <= 0 || s.Real.MB <= s.Hollow.MB {
			t.Errorf("%+v", s)
		}
	}
	if c.Sizes[0].Servers != 50 || c.Sizes[1].Servers != 500 || c.Real.CPU == c.Hollow.CPU {
		t.Errorf("%+v", c)
	}
	for _, bad := range [][]int{nil, {50}} {
		if _, err := Compare(t.Context(), Programs{}, bad, 1, 1, func(string) {}); err == nil {
			t.Errorf("%v: no error", bad)
		}
	}
}
