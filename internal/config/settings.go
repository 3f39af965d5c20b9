package config

import (
	"fmt"
	"slices"

	"cottonplank/decide"
)

// Upper bounds of the settings. A larger value is mistyped or in the wrong unit.
const (
	maxSeconds        = 86_400.0
	maxAttempts       = 100
	maxOverloadFactor = 1000.0
	maxCost           = 1
	maxFraction       = 1
)

// settingsFile is the section settings of the configuration file.
type settingsFile struct {
	Zone      string           `json:"zone"`
	Areas     []string         `json:"areas"` // names of all zones; empty: zone alone
	Balancers int              `json:"balancers"`
	Mode      string           `json:"membership_mode"`
	Profiles  []classFile      `json:"profiles"`
	Tenants   []tenantFile     `json:"tenants"`
	Limits    attemptLimits    `json:"limits"`
	Rules     safetyRules      `json:"rules"`
	Penalties costsFile        `json:"penalties"`
	Specifics platformSpecific `json:"specifics"`
}

type tenantFile struct {
	Name string `json:"name"`
}

type attemptLimits struct {
	ConnectTimeout float64 `json:"connect_timeout_s"`
	MaxRetryAfter  float64 `json:"max_retry_after_s"`
	RetryAfter     bool    `json:"retry_after"` // whether a rejection may include a retry-after time
	MayProbe       bool    `json:"may_probe"`
	MaxAttempts    int     `json:"most_tries"`
}

type safetyRules struct {
	MaxPollInterval          float64 `json:"must_ask_in_s"`
	DrainGrace               float64 `json:"drain_grace_s"`
	SlowStartInitialCapacity float64 `json:"cold_share"`
	SlowStartDuration        float64 `json:"cold_s"`
	OverloadFactor           float64 `json:"fall_multiple"`
	OverloadWindow           float64 `json:"fall_s"`
}

type costsFile struct {
	Probe     float64 `json:"probe"`
	Migration float64 `json:"moves"`
	CrossZone float64 `json:"cross_zone"`
}

type platformSpecific struct {
	GroupAffinity           bool      `json:"groups"`
	MessageLatencyObjective []float64 `json:"message_aim_s"` // element i is for profiles[i]; may be shorter than profiles
}

// decode validates the section and converts it into the settings of the decision module.
func (s *settingsFile) decode() (decide.Settings, error) {
	if err := s.check(); err != nil {
		return decide.Settings{}, err
	}
	settings := s.convert()
	for i, class := range s.Profiles {
		converted, err := class.decode()
		if err != nil {
			return decide.Settings{}, InSection(fmt.Sprintf("profiles[%d]", i), err)
		}
		if i < len(s.Specifics.MessageLatencyObjective) {
			objective := boundedValue{"message_aim_s", s.Specifics.MessageLatencyObjective[i], maxSeconds}
			if err := objective.check(); err != nil {
				return decide.Settings{}, InSection("specifics", err)
			}
			converted.MessageLatencyObjective = seconds(objective.value)
		}
		settings.Classes = append(settings.Classes, converted)
	}
	return settings, nil
}

// check validates the section, except for the classes and their message_aim_s, which decode validates, and the tenants,
// which are not validated.
func (s *settingsFile) check() error {
	if s.Zone == "" {
		return missing("zone")
	}
	if len(s.Areas) > 0 && !slices.Contains(s.Areas, s.Zone) {
		return invalid("zone", s.Zone, fmt.Sprintf("is not one of the zones in areas %q", s.Areas))
	}
	if s.Mode != modeSubscribe && s.Mode != modeAutomatic {
		return invalid("membership_mode", s.Mode, "is unknown: expected subscribe or automatic")
	}
	if len(s.Profiles) == 0 {
		return &FieldError{Key: "profiles", Reason: "no classes found, expected at least one"}
	}
	return checkAll([]boundedValue{
		{"balancers", float64(s.Balancers), decide.MaxBalancers},
		{"limits.connect_timeout_s", s.Limits.ConnectTimeout, maxSeconds},
		{"limits.max_retry_after_s", s.Limits.MaxRetryAfter, maxSeconds},
		{"limits.most_tries", float64(s.Limits.MaxAttempts), maxAttempts},
		{"rules.must_ask_in_s", s.Rules.MaxPollInterval, maxSeconds},
		{"rules.drain_grace_s", s.Rules.DrainGrace, maxSeconds},
		{"rules.cold_share", s.Rules.SlowStartInitialCapacity, maxFraction},
		{"rules.cold_s", s.Rules.SlowStartDuration, maxSeconds},
		{"rules.fall_multiple", s.Rules.OverloadFactor, maxOverloadFactor},
		{"rules.fall_s", s.Rules.OverloadWindow, maxSeconds},
		{"penalties.probe", s.Penalties.Probe, maxCost},
		{"penalties.moves", s.Penalties.Migration, maxCost},
		{"penalties.cross_zone", s.Penalties.CrossZone, maxCost},
	})
}

// convert converts the section, except for the classes, which decode converts, and membership_mode and the tenants,
// which are not settings of the decision module.
func (s *settingsFile) convert() decide.Settings {
	settings := decide.Settings{
		Zone:           s.Zone,
		Zones:          s.Areas,
		Balancers:      s.Balancers,
		WatchList:      true, // in both membership modes: over HTTP, discovery sends changes only in a watch
		MaxAttempts:    s.Limits.MaxAttempts,
		ConnectTimeout: seconds(s.Limits.ConnectTimeout),
		ProbingAllowed: s.Limits.MayProbe,
		GroupAffinity:  s.Specifics.GroupAffinity,
		Safety: decide.SafetyLimits{
			DrainGrace:               seconds(s.Rules.DrainGrace),
			MaxPollInterval:          seconds(s.Rules.MaxPollInterval),
			SlowStartInitialCapacity: s.Rules.SlowStartInitialCapacity,
			SlowStartDuration:        seconds(s.Rules.SlowStartDuration),
			OverloadFactor:           s.Rules.OverloadFactor,
			OverloadWindow:           seconds(s.Rules.OverloadWindow),
		},
		Costs: decide.Costs{
			Probe:     s.Penalties.Probe,
			Migration: s.Penalties.Migration,
			CrossZone: s.Penalties.CrossZone,
		},
	}
	if s.Limits.RetryAfter {
		settings.MaxRetryAfter = seconds(s.Limits.MaxRetryAfter)
	}
	return settings
}
