// Package config is the one place where the balancer's configuration is read, checked and given defaults:
// the PROXY_* variables and the JSON file that PROXY_CONFIG names. Errors name the faulty key and its value.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
)

// Defaults where the configuration is silent.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	memoryPart      = 0.7 // of the limit is the Go runtime's, the rest is what it does not count
	spareSockets    = 16  // descriptors kept for lists, listeners, the log and the runtime
	probeLeast      = 24  // connections for probes that a process may keep, at least;
	probePart       = 8   // one part in so many of the limit where that is more,
	probeMost       = 128 // and no more than this
	dialPart        = 8   // one part in so many of the others is kept for dials: no channel is accepted with it
	doorPart        = 32  // one in so many, and doorLeast at least, is for channels that are answered and do not stand:
	doorLeast       = 4   // with none of it what comes at the bound would lie unanswered in the listener's backlog
	leastSockets    = 128
	leastShare      = 24 // descriptors for channels and dials that a process has in any case
	manageSockets   = 24 // kept for the management address, where one is named
	longestDeadline = 3 * time.Second

	// Past these a figure is a slip of the pen or the unit, and would act.
	mostSeconds  = 86_400.0
	mostTries    = 100
	mostMultiple = 1000.0

	killAfter = 700 * time.Millisecond // SIGKILL comes so long after the longest deadline
	exitSpare = 300 * time.Millisecond // kept of that for the exit itself
)

// Config is what the program uses.
type Config struct {
	Name        string
	Listen      string
	Management  string // the second address; empty: off
	Discovery   string
	Settings    decide.Settings
	ListPushed  bool // lists count as told when discovery has them
	Tenants     []string
	Known       []core.Endpoint
	Generation  int64
	Cores       float64
	MemoryMB    int
	Sockets     int
	Descriptors int           // that channels and their dials may hold,
	DialReserve int           // of which channels leave so many to dials
	Probes      int           // connections for probes that may be kept
	Callers     int           // that may be connected to the management address
	MaxClients  int           // requests that may wait and connections that may stand
	StopBudget  time.Duration // from SIGTERM to the end
}

// file is the form of the JSON that PROXY_CONFIG names; unknown keys are skipped.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Manage    string `json:"management"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings settings        `json:"settings"`
}

type settings struct {
	Zone      string   `json:"zone"`
	Areas     []string `json:"areas"`
	Balancers int      `json:"balancers"`
	Mode      string   `json:"membership_mode"`
	Profiles  []struct {
		Name     string  `json:"name"`
		Aim      float64 `json:"aim_s"`
		GiveUp   float64 `json:"give_up_s"`
		Repeat   string  `json:"repeat"`
		KeyScope string  `json:"key_scope"`
		Window   float64 `json:"window_s"`
	} `json:"profiles"`
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	Limits struct {
		ConnectTimeout float64 `json:"connect_timeout_s"`
		MaxRetryAfter  float64 `json:"max_retry_after_s"`
		RetryAfter     bool    `json:"retry_after"`
		MayProbe       bool    `json:"may_probe"`
		MostTries      int     `json:"most_tries"`
	} `json:"limits"`
	Rules struct {
		MustAsk      float64 `json:"must_ask_in_s"`
		DrainGrace   float64 `json:"drain_grace_s"`
		ColdShare    float64 `json:"cold_share"`
		Cold         float64 `json:"cold_s"`
		FallMultiple float64 `json:"fall_multiple"`
		Fall         float64 `json:"fall_s"`
	} `json:"rules"`
	Penalties struct {
		Probe     float64 `json:"probe"`
		Moves     float64 `json:"moves"`
		CrossZone float64 `json:"cross_zone"`
	} `json:"penalties"`
	Specifics struct {
		Groups     bool      `json:"groups"`
		MessageAim []float64 `json:"message_aim_s"`
	} `json:"specifics"`
}

// Load reads the configuration from the environment.
func Load() (*Config, error) { return load(os.Getenv) }

// Reload reads the file again. Its discovery comes before PROXY_DISCOVERY, which tells only where discovery was at
// the start. The caller takes over Discovery and nothing else; all of the file must be sound all the same.
func Reload() (*Config, error) {
	return load(func(key string) string {
		if key == "PROXY_DISCOVERY" {
			return ""
		}
		return os.Getenv(key)
	})
}

func load(getenv func(string) string) (*Config, error) {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return Parse(raw, getenv)
}

// Parse reads the JSON; the variables that getenv knows come before it.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, describe(err)
	}
	c := &Config{
		Name: override(getenv("PROXY_NAME"), f.Name), Listen: override(getenv("PROXY_LISTEN"), f.Listen),
		Discovery: override(getenv("PROXY_DISCOVERY"), f.Discovery), Management: override(getenv("PROXY_MANAGEMENT"), f.Manage),
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
	}
	if c.Name == "" {
		return nil, errors.New("name: is missing")
	}
	for _, a := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %q is no address and port", a.key, a.value)
		}
	}
	if c.Management != "" {
		if _, err := netip.ParseAddrPort(c.Management); err != nil {
			return nil, fmt.Errorf("management: %q is no address and port", c.Management)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	if err := c.limits(); err != nil {
		return nil, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		known, err := httpsource.DecodeListing(f.Known)
		if err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		c.Known, c.Generation = known.Endpoints, known.Generation
	}
	if c.Settings, err = f.Settings.decode(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	c.Settings.Seed, c.ListPushed = seed, f.Settings.Mode == "automatic"
	for _, t := range f.Settings.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
	}
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	c.StopBudget = min(longest, longestDeadline) + killAfter - exitSpare
	return c, nil
}

// describe names the key that a JSON error is about.
func describe(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("%s: a %s was expected, found %s", wrong.Field, wrong.Type, wrong.Value)
	}
	return fmt.Errorf("configuration: %w", err)
}

func override(env, file string) string {
	if env != "" {
		return env
	}
	return file
}

func (c *Config) limits() error {
	if c.Cores < 0 || math.IsNaN(c.Cores) {
		return fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	}
	if c.MemoryMB < 0 || c.Sockets < 0 {
		return fmt.Errorf("limits: memory_mb %d or sockets %d is below 0", c.MemoryMB, c.Sockets)
	}
	if c.Cores == 0 {
		c.Cores = 1
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < leastSockets {
		return fmt.Errorf("limits.sockets: %d is too few, %d at least", c.Sockets, leastSockets)
	}
	c.share(0)
	return nil
}

// share makes one budget of the descriptors, less those that flows hold, one each.
func (c *Config) share(flows int) {
	c.Probes = min(max(probeLeast, c.Sockets/probePart), probeMost)
	c.Descriptors = c.Sockets - spareSockets - c.Probes - flows
	if c.Management != "" {
		c.Callers = manageSockets - 2 // its listener, and the caller that is let in before another is put out
		c.Descriptors -= manageSockets
	}
	c.DialReserve = c.Descriptors / dialPart
	c.MaxClients = mostChannels(c.Descriptors)
}

// mostChannels is how many may stand or wait, each with a dial, so that a door is left for those that come beyond it.
func mostChannels(descriptors int) int {
	return (descriptors - descriptors/dialPart - max(doorLeast, descriptors/doorPart)) / 2
}

// Share is what a process may hold of the limits while others serve beside it.
type Share struct {
	Reserved   int // of Descriptors, left to another process
	MaxClients int
	Memory     int64 // for the Go runtime, in bytes
}

// Share shares the limits out to one process, or to two of the same parts.
func (c *Config) Share(two bool) Share {
	s := Share{MaxClients: c.MaxClients, Memory: int64(float64(c.MemoryMB) * memoryPart * (1 << 20))}
	if two {
		// Each has its own spare ones, so that its part of the others is less than half.
		left := max(c.Descriptors-c.Sockets/2, leastShare)
		s.Reserved, s.MaxClients, s.Memory = c.Descriptors-left, mostChannels(left), s.Memory/2
	}
	return s
}

// Reserve takes the descriptors of the QUIC front's flows out of the budget.
func (c *Config) Reserve(f Fronts) error {
	if f.QUIC.Listen == "" {
		return nil
	}
	if most := (c.Sockets - spareSockets - c.Probes) / 2; f.QUIC.MaxFlows > most {
		return fmt.Errorf("quic.max_flows: %d is more than half of what limits.sockets %d leaves, %d", f.QUIC.MaxFlows,
			c.Sockets, most)
	}
	c.share(f.QUIC.MaxFlows)
	return nil
}

// Apply gives the limit on cores to the Go runtime.
func (c *Config) Apply() { runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores)))) }

// Apply gives the limit on memory to the Go runtime.
func (s Share) Apply() { debug.SetMemoryLimit(s.Memory) }

func seconds(v float64) time.Duration { return time.Duration(math.Round(v * float64(time.Second))) }

var repeats = map[string]decide.Idempotency{"idempotent": decide.Idempotent, "deduplicated": decide.IdempotentByKey,
	"at_most_once": decide.NotIdempotent}

var scopes = map[string]decide.KeyScope{"": decide.ScopeAll, "all": decide.ScopeAll, "zone": decide.ScopeZone,
	"cell": decide.ScopeCell}

// figure is a setting with its largest sensible value.
type figure struct {
	key     string
	v, most float64
}

func (f figure) check() error {
	if f.v >= 0 && f.v <= f.most {
		return nil
	}
	return fmt.Errorf("%s: %v is not from 0 to %v", f.key, f.v, f.most)
}

func (s *settings) decode() (out decide.Settings, err error) {
	if s.Zone == "" {
		return out, errors.New("zone: is missing")
	}
	if len(s.Areas) > 0 && !slices.Contains(s.Areas, s.Zone) {
		return out, fmt.Errorf("zone: %q is not in areas %q", s.Zone, s.Areas)
	}
	if s.Mode != "subscribe" && s.Mode != "automatic" {
		return out, fmt.Errorf("membership_mode: %q is neither subscribe nor automatic", s.Mode)
	}
	if len(s.Profiles) == 0 {
		return out, errors.New("profiles: is empty")
	}
	l, r, p := s.Limits, s.Rules, s.Penalties
	for _, f := range []figure{{"balancers", float64(s.Balancers), decide.MaxBalancers}, {"limits.connect_timeout_s", l.ConnectTimeout, mostSeconds},
		{"limits.max_retry_after_s", l.MaxRetryAfter, mostSeconds}, {"limits.most_tries", float64(l.MostTries), mostTries},
		{"rules.must_ask_in_s", r.MustAsk, mostSeconds}, {"rules.drain_grace_s", r.DrainGrace, mostSeconds},
		{"rules.cold_share", r.ColdShare, 1}, {"rules.cold_s", r.Cold, mostSeconds}, {"rules.fall_multiple", r.FallMultiple, mostMultiple},
		{"rules.fall_s", r.Fall, mostSeconds}, {"penalties.probe", p.Probe, 1}, {"penalties.moves", p.Moves, 1},
		{"penalties.cross_zone", p.CrossZone, 1}} {
		if err := f.check(); err != nil {
			return out, err
		}
	}
	out = decide.Settings{
		Zone: s.Zone, Zones: s.Areas, Balancers: s.Balancers, WatchList: true, // on sockets changes come on a watch alone, whatever the mode
		MaxAttempts: l.MostTries, ConnectTimeout: seconds(l.ConnectTimeout), ProbingAllowed: l.MayProbe,
		GroupAffinity: s.Specifics.Groups,
		Safety: decide.SafetyLimits{DrainGrace: seconds(r.DrainGrace), MaxPollInterval: seconds(r.MustAsk), SlowStartShare: r.ColdShare,
			SlowStartDuration: seconds(r.Cold), OverloadFactor: r.FallMultiple, OverloadWindow: seconds(r.Fall)},
		Costs: decide.Costs{Probe: p.Probe, Migration: p.Moves, CrossZone: p.CrossZone},
	}
	if l.RetryAfter {
		out.MaxRetryAfter = seconds(l.MaxRetryAfter)
	}
	for i, c := range s.Profiles {
		repeat, ok := repeats[c.Repeat]
		if !ok {
			return out, fmt.Errorf("profiles[%d].repeat: unknown value %q", i, c.Repeat)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok {
			return out, fmt.Errorf("profiles[%d].key_scope: unknown value %q", i, c.KeyScope)
		}
		if c.Name == "" {
			return out, fmt.Errorf("profiles[%d].name: is missing", i)
		}
		if !(c.Aim > 0) {
			return out, fmt.Errorf("profiles[%d].aim_s: %v is not above 0", i, c.Aim)
		}
		for _, f := range []figure{{"aim_s", c.Aim, mostSeconds}, {"give_up_s", c.GiveUp, mostSeconds}, {"window_s", c.Window, mostSeconds}} {
			if err := f.check(); err != nil {
				return out, fmt.Errorf("profiles[%d].%w", i, err)
			}
		}
		class := decide.Class{Name: c.Name, LatencyObjective: seconds(c.Aim), ClientTimeout: seconds(c.GiveUp), Idempotency: repeat,
			DedupWindow: seconds(c.Window)}
		if repeat == decide.IdempotentByKey {
			class.KeyScope = scope
		}
		if i < len(s.Specifics.MessageAim) {
			if err := (figure{"message_aim_s", s.Specifics.MessageAim[i], mostSeconds}).check(); err != nil {
				return out, fmt.Errorf("specifics.%w", err)
			}
			class.MessageLatencyObjective = seconds(s.Specifics.MessageAim[i])
		}
		out.Classes = append(out.Classes, class)
	}
	return out, nil
}
