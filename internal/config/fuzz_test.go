package config

import (
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/testbench/fuzzcorpus"
)

// What is taken has what the program cannot do without.
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f, []byte(validConfig))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw, emptyEnvironment)
		if err == nil && (len(c.Settings.Classes) == 0 || c.MaxClients <= 0 || c.Listen == "") {
			t.Errorf("%q is taken as %+v", raw, c)
		}
	})
}

func FuzzParseFronts(f *testing.F) {
	fuzzcorpus.Add(f, []byte(validFronts))
	f.Fuzz(func(t *testing.T, raw []byte) {
		q, err := ParseFronts(raw, []decide.Class{{Name: "solo-play"}}, "/etc")
		if err == nil && q.QUIC.Listen != "" && (len(q.QUIC.ResetKey) < minResetKeyLength || q.QUIC.IdleTimeout <= 0) {
			t.Errorf("%q is taken as %+v", raw, q)
		}
	})
}
