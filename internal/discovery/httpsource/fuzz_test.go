package httpsource

import (
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/testbench/fuzzcorpus"
)

func FuzzDecode(f *testing.F) {
	fuzzcorpus.Add(f, []byte(testList), []byte(`{"generation":0,"instances":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := DecodeListing(raw)
		for _, in := range l.Endpoints {
			if err != nil || in.Name == "" || in.State > decide.Removed || in.Weight < 0 {
				t.Errorf("%q is taken as %+v, %v", raw, in, err)
			}
		}
	})
}
