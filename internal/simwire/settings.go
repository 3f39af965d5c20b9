package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cottonplank/decide"
)

// countBits is the size, in bits, of counts and instance numbers.
const countBits = 31

// settingsReader reads the fields of a CREATE line. It stores the first error, so that its caller can read all fields
// and check for an error once.
type settingsReader struct {
	line *line
	err  error
}

func (r *settingsReader) recordError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *settingsReader) text(name string) string { return r.line.text(name) }

// seconds reads a time in seconds. An absent field means 0.
func (r *settingsReader) seconds(name string) time.Duration {
	return secondsToDuration(r.decimal(name))
}

// decimal reads a decimal number. An absent field means 0.
func (r *settingsReader) decimal(name string) float64 {
	value, err := r.line.optionalDecimal(name)
	r.recordError(err)
	return value
}

// count reads a required count.
func (r *settingsReader) count(name string) int {
	value, err := r.line.number(name, countBits)
	r.recordError(err)
	return int(value)
}

// requiredDecimal reads a required decimal number.
func (r *settingsReader) requiredDecimal(name string) float64 {
	_, err := r.line.required(name)
	r.recordError(err)
	return r.decimal(name)
}

// requiredSeconds reads a required time in seconds.
func (r *settingsReader) requiredSeconds(name string) time.Duration {
	return secondsToDuration(r.requiredDecimal(name))
}

// flag reports whether a field is true or 1. Unlike line.flag, it accepts any other value as false.
func (r *settingsReader) flag(name string) bool { return r.text(name) == "true" || r.text(name) == "1" }

func (r *settingsReader) list(name string) []string {
	if value := r.text(name); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// parseSettings reads the settings of a CREATE line. Unknown fields are ignored.
func parseSettings(l *line) (decide.Settings, *schema, error) {
	r := &settingsReader{line: l}
	seed, err := l.number("entropy", 64)
	r.recordError(err)
	zone, err := l.required("zone")
	r.recordError(err)
	settings := decide.Settings{
		Seed:           seed,
		Zone:           string(zone),
		Zones:          r.list("areas"),
		Balancers:      r.count("balancers"),
		MaxAttempts:    r.count("limits.most_tries"),
		ConnectTimeout: r.seconds("limits.connect_timeout_s"),
		ProbingAllowed: r.flag("limits.may_probe"),
		GroupAffinity:  r.flag("specifics.groups"),
		Safety: decide.SafetyLimits{
			DrainGrace:               r.requiredSeconds("rules.drain_grace_s"),
			MaxPollInterval:          r.seconds("rules.must_ask_in_s"),
			SlowStartInitialCapacity: r.requiredDecimal("rules.cold_share"),
			SlowStartDuration:        r.requiredSeconds("rules.cold_s"),
			OverloadFactor:           r.requiredDecimal("rules.fall_multiple"),
			OverloadWindow:           r.requiredSeconds("rules.fall_s"),
		},
		Costs: decide.Costs{
			Probe:     r.decimal("penalties.probe"),
			Migration: r.decimal("penalties.moves"),
			CrossZone: r.decimal("penalties.cross_zone"),
		},
	}
	if r.flag("limits.retry_after") {
		settings.MaxRetryAfter = r.seconds("limits.max_retry_after_s")
	}
	settings.WatchList = r.watchList()
	schema := &schema{classes: map[string]int{}, reportColumns: r.list("telemetry.columns")}
	settings.Classes = r.classes(schema)
	return settings, schema, r.err
}

// watchList reports whether the balancer must request changes of the endpoint list. Otherwise the simulator sends them
// unrequested.
func (r *settingsReader) watchList() bool {
	switch mode := r.text("membership_mode"); mode {
	case "subscribe":
		return true
	case "automatic":
		return false
	default:
		problem := fmt.Sprintf(": expected subscribe or automatic, found %q", mode)
		r.recordError(r.fieldError("membership_mode", problem))
		return false
	}
}

// classes reads the classes of requests and stores their names in the schema.
func (r *settingsReader) classes(schema *schema) []decide.Class {
	objectives := r.list("specifics.message_aim_s")
	var classes []decide.Class
	count := r.count("profiles.count")
	for i := 0; i < count && r.err == nil; i++ {
		class := r.class(i, objectives)
		schema.classes[class.Name] = i
		classes = append(classes, class)
	}
	return classes
}

// class reads one class. The list of message latency objectives may be shorter than the list of classes.
func (r *settingsReader) class(index int, objectives []string) decide.Class {
	prefix := "profiles." + strconv.Itoa(index) + "."
	class := decide.Class{
		Name:             r.text(prefix + "name"),
		LatencyObjective: r.requiredSeconds(prefix + "aim_s"),
		ClientTimeout:    r.seconds(prefix + "give_up_s"),
		DedupWindow:      r.seconds(prefix + "window_s"),
	}
	if class.Name == "" {
		r.recordError(r.fieldError(prefix+"name", " is missing"))
	}
	if index < len(objectives) {
		class.MessageLatencyObjective = r.messageObjective(objectives[index])
	}
	class.Idempotency = choice(r, prefix+"repeat", map[string]decide.Idempotency{
		"idempotent":   decide.Idempotent,
		"deduplicated": decide.IdempotentByKey,
		"at_most_once": decide.NotIdempotent,
	})
	if class.Idempotency == decide.IdempotentByKey {
		class.KeyScope = choice(r, prefix+"key_scope", map[string]decide.KeyScope{
			"all":  decide.ScopeAll,
			"zone": decide.ScopeZone,
			"cell": decide.ScopeCell,
		})
	}
	return class
}

// messageObjective reads one element of the list of message latency objectives.
func (r *settingsReader) messageObjective(text string) time.Duration {
	seconds, err := parseDecimal([]byte(text))
	if err != nil {
		r.recordError(r.fieldError("specifics.message_aim_s", fmt.Sprintf(": expected seconds, found %q", text)))
	}
	return secondsToDuration(seconds)
}

// choice reads a field that must contain one of the given words.
func choice[T any](r *settingsReader, name string, words map[string]T) T {
	value, ok := words[r.text(name)]
	if !ok {
		r.recordError(r.fieldError(name, fmt.Sprintf(": unknown value %q", r.text(name))))
	}
	return value
}

func (r *settingsReader) fieldError(name, problem string) error {
	return &FieldError{string(r.line.name), name, problem}
}
