// Package experiment plays experiments: real balancer processes on loopback before the stand-ins of internal/standin, with
// troubles at set times and the rules checked all along.
package experiment

import (
	"bytes"
	"cmp"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed experiment.schema.json
var schemaText []byte

// Experiment is what one file says. Absent keys have the defaults of Parse.
type Experiment struct {
	Name      string    `json:"name"`
	About     string    `json:"about"`
	Seed      uint64    `json:"seed"`
	Balancers int       `json:"balancers"`
	Rooms     int       `json:"rooms"`
	Capacity  int       `json:"capacity"`
	Sessions  int       `json:"sessions"`
	Group     int       `json:"group"`
	Fill      float64   `json:"fill_s"`
	Life      float64   `json:"life_s"`
	Every     int       `json:"every_ms"`
	Patience  int       `json:"patience_ms"`
	State     int       `json:"state_bytes"`
	Seconds   float64   `json:"seconds"`
	Tokens    bool      `json:"tokens"`
	Beside    bool      `json:"beside_without_tokens"`
	ListFile  bool      `json:"list_file"`
	Reload    float64   `json:"reload_every_s"`
	Notice    int       `json:"notice_ms"`
	RollLag   int       `json:"roll_lag_ms"`
	Sockets   int       `json:"sockets"`
	MemoryMB  int       `json:"memory_mb"`
	Troubles  []Trouble `json:"troubles"`
}

// Trouble is what goes wrong at a time.
type Trouble struct {
	At       float64 `json:"at_s"`
	Do       string  `json:"do"`
	Room     int     `json:"room"`
	Balancer int     `json:"balancer"`
	Share    float64 `json:"share"`

	label string                      // of one that a run draws itself,
	act   func(context.Context) error // and what it does; nil: it is one of the file's
}

func (t Trouble) String() string {
	if t.act != nil {
		return t.label
	}
	switch t.Do {
	case "drain", "return", "crash":
		return fmt.Sprintf("%s room server s-%d", t.Do, t.Room)
	case "kill", "restart", "renew":
		return fmt.Sprintf("%s balancer n%d", t.Do, t.Balancer)
	case "replay":
		return fmt.Sprintf("%.0f %% of the clients replay their tokens at two balancers", 100*t.Share)
	}
	return "rotate the keys of tokens"
}

// Load reads an experiment's file; errors name the file, the key and the value.
func Load(path string) (Experiment, error) { return load(path, Parse) }

// load reads a file with its parser.
func load[E any](path string, parse func([]byte) (E, error)) (e E, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return e, err
	}
	if e, err = parse(raw); err != nil {
		return e, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// decode checks JSON against a schema and reads it into e, whose values stay where it leaves a key out.
func decode(raw []byte, name string, schemaText []byte, e any) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("no JSON: %w", err)
	}
	schema, err := compiled(name, schemaText)
	if err != nil {
		return err
	}
	if err := schema.Validate(value); err != nil {
		return describe(err)
	}
	return json.Unmarshal(raw, e)
}

// Parse checks the JSON of an experiment against its schema and fills in what it leaves out.
func Parse(raw []byte) (Experiment, error) {
	e := Experiment{Capacity: 500, Group: 4, Fill: 3, Every: 200, Patience: 2000, State: 2048, Tokens: true, Notice: 300,
		RollLag: 150, MemoryMB: 192, Seed: 1}
	if err := decode(raw, "experiment.schema.json", schemaText, &e); err != nil {
		return e, err
	}
	for i, t := range e.Troubles {
		switch {
		case t.Room >= e.Rooms:
			return e, fmt.Errorf("troubles/%d/room: %d, there are %d room servers from 0 on", i, t.Room, e.Rooms)
		case t.Balancer >= e.Balancers:
			return e, fmt.Errorf("troubles/%d/balancer: %d, there are %d balancers from 0 on", i, t.Balancer, e.Balancers)
		case t.At >= e.Seconds:
			return e, fmt.Errorf("troubles/%d/at_s: %v is after the end, %v", i, t.At, e.Seconds)
		}
	}
	e.Troubles = sortTroubles(e.Troubles)
	return e, nil
}

// sortTroubles puts the earliest first.
func sortTroubles(all []Trouble) []Trouble {
	slices.SortStableFunc(all, func(a, b Trouble) int { return cmp.Compare(a.At, b.At) })
	return all
}

func compiled(name string, raw []byte) (*jsonschema.Schema, error) {
	text, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, text); err != nil {
		return nil, err
	}
	return c.Compile(name)
}

// describe names the keys that break the schema, one a line.
func describe(err error) error {
	var broken *jsonschema.ValidationError
	if !errors.As(err, &broken) {
		return err
	}
	var lines []string
	for _, u := range broken.BasicOutput().Errors {
		if u.Error == nil {
			continue
		}
		key := strings.TrimPrefix(u.InstanceLocation, "/")
		if key == "" {
			key = "the experiment"
		}
		lines = append(lines, fmt.Sprintf("%s: %s", key, u.Error))
	}
	return errors.New(strings.Join(lines, "\n"))
}

func (e Experiment) length() time.Duration { return time.Duration(e.Seconds * float64(time.Second)) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
