package config

import (
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/testbench/fuzzcorpus"
)

// Parse does not panic, and accepts no configuration without a request class, without a listen address or with limits
// that leave no client (MaxClients).
func FuzzParse(f *testing.F) {
	fuzzcorpus.Add(f, []byte(validConfig))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw, emptyEnvironment)
		if err == nil && (len(c.Settings.Classes) == 0 || c.MaxClients <= 0 || c.Listen == "") {
			t.Errorf("the incomplete configuration %q is accepted as %+v", raw, c)
		}
	})
}

// ParseFronts accepts no QUIC frontend with a reset key that is too short, or without an idle timeout.
func FuzzParseFronts(f *testing.F) {
	fuzzcorpus.Add(f, []byte(validFronts))
	f.Fuzz(func(t *testing.T, raw []byte) {
		fronts, err := ParseFronts(raw, []decide.Class{{Name: "solo-play"}}, "/etc")
		quic := fronts.QUIC
		if err == nil && quic.Listen != "" && (len(quic.ResetKey) < minResetKeyLength || quic.IdleTimeout <= 0) {
			t.Errorf("the invalid fronts file %q is accepted as %+v", raw, fronts)
		}
	})
}
