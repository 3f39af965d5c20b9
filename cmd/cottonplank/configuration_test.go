package main

import (
	"maps"
	"slices"
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/config"
)

func TestProtocolNames(t *testing.T) {
	cfg := &config.Config{Tenants: []string{"familles"},
		Settings: decide.Settings{Classes: []decide.Class{{Name: "solo-play"}, {Name: "team-play"}}}}
	names := protocolNames(cfg)
	if !maps.Equal(names.Classes, map[string]int{"solo-play": 0, "team-play": 1}) {
		t.Errorf("classes %v", names.Classes)
	}
	if !maps.Equal(names.Tenants, map[string]bool{"familles": true}) {
		t.Errorf("tenants %v", names.Tenants)
	}
	if got := classNames(cfg); !slices.Equal(got, []string{"solo-play", "team-play"}) {
		t.Errorf("class names %v", got)
	}
}
