package decide

import (
	"errors"
	"fmt"
	"slices"
)

// MaxBalancers is the largest number of balancers that is accepted. A larger number is most likely a typing error, and
// with it the poll interval could be days.
const MaxBalancers = 10_000

var errNoClasses = errors.New("settings: Classes is empty, must have at least one class")

// SettingError reports a field of the settings whose value is invalid.
type SettingError struct {
	Field   string // the field, such as Safety.DrainGrace or Classes[0]: KeyScope
	Problem string // predicate of the message, such as "is -1s, must not be below 0"
}

// Error returns the message "settings: FIELD PROBLEM".
func (e *SettingError) Error() string { return "settings: " + e.Field + " " + e.Problem }

func invalidSetting(field, format string, values ...any) error {
	return &SettingError{field, fmt.Sprintf(format, values...)}
}

// validate returns an error for the first field that is invalid.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errNoClasses
	}
	if len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone) {
		return invalidSetting("Zone", "%q is not in Zones", s.Zone)
	}
	if s.Balancers < 0 || s.Balancers > MaxBalancers {
		return invalidSetting("Balancers", "is %d, must be from 0 to %d", s.Balancers, MaxBalancers)
	}
	if s.MaxAttempts < 0 {
		return invalidSetting("MaxAttempts", "is %d, must not be below 0", s.MaxAttempts)
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(fmt.Sprintf("Classes[%d]: ", i)); err != nil {
			return err
		}
	}
	return s.validateRanges()
}

func (s *Settings) validateRanges() error {
	safety, costs := s.Safety, s.Costs
	for _, check := range []struct {
		field   string
		invalid bool
	}{
		{"ConnectTimeout", s.ConnectTimeout < 0},
		{"MaxRetryAfter", s.MaxRetryAfter < 0},
		{"Safety.DrainGrace", safety.DrainGrace < 0},
		{"Safety.MaxPollInterval", safety.MaxPollInterval < 0},
		{"Safety.SlowStartInitialCapacity", !isFraction(safety.SlowStartInitialCapacity)},
		{"Safety.SlowStartDuration", safety.SlowStartDuration < 0},
		{"Safety.OverloadFactor", !(safety.OverloadFactor >= 0)},
		{"Safety.OverloadWindow", safety.OverloadWindow < 0},
		{"Costs.Probe", !(costs.Probe >= 0)},
		{"Costs.Migration", !(costs.Migration >= 0)},
		{"Costs.CrossZone", !(costs.CrossZone >= 0)},
	} {
		if check.invalid {
			return invalidSetting(check.field,
				"is out of range, must be at least 0 (SlowStartInitialCapacity: from 0 to 1)")
		}
	}
	return nil
}

// isFraction reports whether a value is from 0 to 1. It is false for NaN.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }

// validate returns an error for the first invalid field of a class. The error names the field after the prefix.
func (c *Class) validate(prefix string) error {
	switch {
	case c.LatencyObjective <= 0:
		return invalidSetting(prefix+"LatencyObjective", "is %v, must be above 0", c.LatencyObjective)
	case c.MessageLatencyObjective < 0:
		return invalidSetting(prefix+"MessageLatencyObjective", "is %v, must not be below 0", c.MessageLatencyObjective)
	case c.ClientTimeout < 0:
		return invalidSetting(prefix+"ClientTimeout", "is %v, must not be below 0", c.ClientTimeout)
	case c.Idempotency > NotIdempotent:
		return invalidSetting(prefix+"Idempotency", "is %d, must be Idempotent, IdempotentByKey or NotIdempotent",
			c.Idempotency)
	case c.KeyScope > ScopeCell:
		return invalidSetting(prefix+"KeyScope", "is %d, must be ScopeAll, ScopeZone or ScopeCell", c.KeyScope)
	case c.DedupWindow < 0:
		return invalidSetting(prefix+"DedupWindow", "is %v, must not be below 0", c.DedupWindow)
	}
	return nil
}
