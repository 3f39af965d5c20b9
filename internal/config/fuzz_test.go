package config

import (
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/testbench/fuzzcorpus"
)

// An accepted configuration has everything that the program needs.
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f, []byte(validConfig))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw, emptyEnvironment)
		if err == nil && (len(c.Settings.Classes) == 0 || c.MaxClients <= 0 || c.Listen == "") {
			t.Errorf("%q is accepted as %+v", raw, c)
		}
	})
}

func FuzzParseFronts(f *testing.F) {
	fuzzcorpus.Add(f, []byte(validFronts))
	f.Fuzz(func(t *testing.T, raw []byte) {
		fronts, err := ParseFronts(raw, []decide.Class{{Name: "solo-play"}}, "/etc")
		quic := fronts.QUIC
		if err == nil && quic.Listen != "" && (len(quic.ResetKey) < minResetKeyLength || quic.IdleTimeout <= 0) {
			t.Errorf("%q is accepted as %+v", raw, fronts)
		}
	})
}
