package decide

import (
	"errors"
	"fmt"
	"slices"
)

// MaxBalancers is how many may be told: past it the figure is a slip of the pen, and would make the poll's period days.
const MaxBalancers = 10_000

// validate names the first setting that makes no sense.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes is empty")
	}
	if len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone) {
		return fmt.Errorf("settings: Zone %q is not in Zones", s.Zone)
	}
	if s.Balancers < 0 || s.Balancers > MaxBalancers {
		return fmt.Errorf("settings: Balancers is %d, not from 0 to %d", s.Balancers, MaxBalancers)
	}
	if s.MaxAttempts < 0 {
		return fmt.Errorf("settings: MaxTries is %d, below 0", s.MaxAttempts)
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return fmt.Errorf("settings: Classes[%d]: %w", i, err)
		}
	}
	return s.validateFigures()
}

func (s *Settings) validateFigures() error {
	r, p := s.Safety, s.Costs
	for _, d := range []struct {
		name string
		bad  bool
	}{
		{"ConnectTimeout", s.ConnectTimeout < 0},
		{"MaxRetryAfter", s.MaxRetryAfter < 0},
		{"Rules.DrainGrace", r.DrainGrace < 0},
		{"Rules.MustAsk", r.MaxPollInterval < 0},
		{"Rules.ColdShare", !(r.SlowStartShare >= 0 && r.SlowStartShare <= 1)},
		{"Rules.Cold", r.SlowStartDuration < 0},
		{"Rules.FallMultiple", !(r.OverloadFactor >= 0)},
		{"Rules.Fall", r.OverloadWindow < 0},
		{"Prices.Probe", !(p.Probe >= 0)},
		{"Prices.Move", !(p.Migration >= 0)},
		{"Prices.CrossZone", !(p.CrossZone >= 0)},
	} {
		if d.bad {
			return fmt.Errorf("settings: %s is out of range", d.name)
		}
	}
	return nil
}

// invalidFieldError names a field of a class whose value is faulty, and says why.
type invalidFieldError struct{ field, problem string }

func (e invalidFieldError) Error() string { return e.field + " " + e.problem }

func invalidField(field, problem string, values ...any) error {
	return invalidFieldError{field, fmt.Sprintf(problem, values...)}
}

func (c *Class) validate() error {
	switch {
	case c.LatencyObjective <= 0:
		return invalidField("Aim", "is %v, must be above 0", c.LatencyObjective)
	case c.MessageLatencyObjective < 0:
		return invalidField("MessageAim", "is %v, below 0", c.MessageLatencyObjective)
	case c.ClientTimeout < 0:
		return invalidField("GiveUp", "is %v, below 0", c.ClientTimeout)
	case c.Idempotency > NotIdempotent:
		return invalidField("Repeat", "is %d, not a known kind", c.Idempotency)
	case c.KeyScope > ScopeCell:
		return invalidField("Scope", "is %d, not a known one", c.KeyScope)
	case c.DedupWindow < 0:
		return invalidField("Window", "is %v, below 0", c.DedupWindow)
	}
	return nil
}
