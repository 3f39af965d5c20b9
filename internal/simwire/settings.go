package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cottonplank/decide"
)

// facts are the settings of a CREATE line. The first failed look-up is kept,
// so that a caller can read on and check once.
type facts struct {
	line *line
	err  error
}

func (f *facts) keep(err error) {
	if f.err == nil {
		f.err = err
	}
}

func (f *facts) text(name string) string { return f.line.text(name) }

// seconds reads a time; absent means 0.
func (f *facts) seconds(name string) time.Duration { return secondsOf(f.number(name)) }

// number reads a figure; absent means 0.
func (f *facts) number(name string) float64 {
	v, err := f.line.optional(name, 0)
	f.keep(err)
	return v
}

// whole reads a count that must be present.
func (f *facts) whole(name string) int {
	v, err := f.line.number(name, 31)
	f.keep(err)
	return int(v)
}

// must reads a figure that must be present.
func (f *facts) must(name string) float64 {
	_, err := f.line.need(name)
	f.keep(err)
	return f.number(name)
}

func (f *facts) flag(name string) bool { return f.text(name) == "true" || f.text(name) == "1" }

func (f *facts) list(name string) []string {
	if v := f.text(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// parseSettings reads the settings of a CREATE line; unknown keys are ignored.
func parseSettings(l *line) (decide.Settings, *schema, error) {
	f := &facts{line: l}
	seed, err := l.number("entropy", 64)
	f.keep(err)
	zone, err := l.need("zone")
	f.keep(err)
	s := decide.Settings{
		Seed:           seed,
		Zone:           string(zone),
		Zones:          f.list("areas"),
		Balancers:      f.whole("balancers"),
		MaxAttempts:    f.whole("limits.most_tries"),
		ConnectTimeout: f.seconds("limits.connect_timeout_s"),
		ProbingAllowed: f.flag("limits.may_probe"),
		GroupAffinity:  f.flag("specifics.groups"),
		Safety: decide.SafetyLimits{
			DrainGrace:        secondsOf(f.must("rules.drain_grace_s")),
			MaxPollInterval:   f.seconds("rules.must_ask_in_s"),
			SlowStartShare:    f.must("rules.cold_share"),
			SlowStartDuration: secondsOf(f.must("rules.cold_s")),
			OverloadFactor:    f.must("rules.fall_multiple"),
			OverloadWindow:    secondsOf(f.must("rules.fall_s")),
		},
		Costs: decide.Costs{
			Probe:     f.number("penalties.probe"),
			Migration: f.number("penalties.moves"),
			CrossZone: f.number("penalties.cross_zone"),
		},
	}
	if f.flag("limits.retry_after") {
		s.MaxRetryAfter = f.seconds("limits.max_retry_after_s")
	}
	switch mode := f.text("membership_mode"); mode {
	case "subscribe":
		s.WatchList = true
	case "automatic":
	default:
		f.keep(fmt.Errorf("CREATE: field membership_mode: expected subscribe or automatic, found %q", mode))
	}
	sch := &schema{classes: map[string]int{}, columns: f.list("telemetry.columns")}
	s.Classes = f.classes(sch)
	return s, sch, f.err
}

func (f *facts) classes(sch *schema) []decide.Class {
	aims := f.list("specifics.message_aim_s")
	var out []decide.Class
	count := f.whole("profiles.count")
	for i := 0; i < count && f.err == nil; i++ {
		at := "profiles." + strconv.Itoa(i) + "."
		c := decide.Class{
			Name:             f.text(at + "name"),
			LatencyObjective: secondsOf(f.must(at + "aim_s")),
			ClientTimeout:    f.seconds(at + "give_up_s"),
			DedupWindow:      f.seconds(at + "window_s"),
		}
		if c.Name == "" {
			f.keep(fmt.Errorf("CREATE: field %sname is missing", at))
		}
		if i < len(aims) {
			sec, err := parseDecimal([]byte(aims[i]))
			if err != nil {
				f.keep(fmt.Errorf("CREATE: field specifics.message_aim_s: expected seconds, found %q", aims[i]))
			}
			c.MessageLatencyObjective = secondsOf(sec)
		}
		c.Idempotency = word(f, at+"repeat", map[string]decide.Idempotency{
			"idempotent": decide.Idempotent, "deduplicated": decide.IdempotentByKey, "at_most_once": decide.NotIdempotent})
		if c.Idempotency == decide.IdempotentByKey {
			c.KeyScope = word(f, at+"key_scope", map[string]decide.KeyScope{
				"all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell})
		}
		sch.classes[c.Name] = i
		out = append(out, c)
	}
	return out
}

// word looks a value up among the words that a field may hold.
func word[T any](f *facts, name string, words map[string]T) T {
	v, ok := words[f.text(name)]
	if !ok {
		f.keep(fmt.Errorf("CREATE: field %s: unknown value %q", name, f.text(name)))
	}
	return v
}
