package config

import "cottonplank/decide"

// idempotencies maps the values of the setting repeat to the constants of the decision module.
var idempotencies = map[string]decide.Idempotency{
	"idempotent":   decide.Idempotent,
	"deduplicated": decide.IdempotentByKey,
	"at_most_once": decide.NotIdempotent,
}

// keyScopes maps the values of the setting key_scope to the constants of the decision module. A missing setting means
// "all".
var keyScopes = map[string]decide.KeyScope{
	"":     decide.ScopeAll,
	"all":  decide.ScopeAll,
	"zone": decide.ScopeZone,
	"cell": decide.ScopeCell,
}

// classFile is one request class: an element of settings.profiles.
type classFile struct {
	Name             string  `json:"name"`
	LatencyObjective float64 `json:"aim_s"`
	ClientTimeout    float64 `json:"give_up_s"`
	Idempotency      string  `json:"repeat"`
	KeyScope         string  `json:"key_scope"`
	DedupWindow      float64 `json:"window_s"`
}

// decode validates and converts the class. Keys in errors are relative to the class, for example aim_s.
func (f classFile) decode() (decide.Class, error) {
	idempotency, known := idempotencies[f.Idempotency]
	if !known {
		return decide.Class{}, invalid("repeat", f.Idempotency, reasonUnknownValue)
	}
	scope, known := keyScopes[f.KeyScope]
	if !known {
		return decide.Class{}, invalid("key_scope", f.KeyScope, reasonUnknownValue)
	}
	if f.Name == "" {
		return decide.Class{}, missing("name")
	}
	if !(f.LatencyObjective > 0) {
		return decide.Class{}, invalid("aim_s", f.LatencyObjective, "is out of range: expected a value above 0")
	}
	if err := checkAll([]boundedValue{
		{"aim_s", f.LatencyObjective, maxSeconds},
		{"give_up_s", f.ClientTimeout, maxSeconds},
		{"window_s", f.DedupWindow, maxSeconds},
	}); err != nil {
		return decide.Class{}, err
	}
	class := decide.Class{
		Name:             f.Name,
		LatencyObjective: seconds(f.LatencyObjective),
		ClientTimeout:    seconds(f.ClientTimeout),
		Idempotency:      idempotency,
		DedupWindow:      seconds(f.DedupWindow),
	}
	if idempotency == decide.IdempotentByKey {
		class.KeyScope = scope
	}
	return class, nil
}
