package experiment

import (
	"cmp"
	"encoding/json"
	"strconv"
	"time"
)

// The warmup of cold room servers. Balancers are configured for it, and emulated cold room servers behave accordingly.
// At first a cold room server can establish connections at warmupFraction of the full rate. The rate rises to the full
// rate within warmupTime. Until then the room server collapses if clients establish connections at more than
// collapseFactor times the current rate.
const (
	warmupFraction = 0.4
	warmupTime     = 6 * time.Second
	collapseFactor = 4
)

// drainGrace is the configured time for which balancers may still send requests to a draining room server.
const drainGrace = 500 * time.Millisecond

// playerClass is the name of the class of all requests.
const playerClass = "solo-play"

// The configured limit on a balancer's descriptors if the experiment sets none: a base, and a number for each client.
const (
	baseDescriptors       = 4096
	descriptorsPerSession = 4
)

// placement holds the settings of a balancer that an Experiment does not contain.
type placement struct {
	zone string
	// zones holds all zones of the deployment.
	zones []string
	// membershipMode is the balancer's setting of that name.
	membershipMode string
	// noProbes says that the balancer does not probe room servers.
	noProbes bool
}

// singleZone is the placement in experiments without zones.
var singleZone = placement{zone: "a", zones: []string{"a"}, membershipMode: "subscribe"}

// configFile is the configuration file of a balancer, as internal/config reads it.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Management string          `json:"management"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     resourceLimits  `json:"limits"`
	Known      json.RawMessage `json:"known"`
	Settings   settingsFile    `json:"settings"`
}

// resourceLimits limits the resources that a balancer may use.
type resourceLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// settingsFile holds the platform's settings.
type settingsFile struct {
	Zone           string            `json:"zone"`
	Zones          []string          `json:"areas"`
	Balancers      int               `json:"balancers"`
	MembershipMode string            `json:"membership_mode"`
	Classes        []classSettings   `json:"profiles"`
	Limits         requestLimits     `json:"limits"`
	Safety         safetySettings    `json:"rules"`
	Penalties      penaltySettings   `json:"penalties"`
	Specifics      specificsSettings `json:"specifics"`
}

// classSettings holds the settings of a class of requests.
type classSettings struct {
	Name             string  `json:"name"`
	LatencyObjective float64 `json:"aim_s"`
	ClientTimeout    float64 `json:"give_up_s"`
	Idempotency      string  `json:"repeat"`
}

// requestLimits limits what a balancer does for a request.
type requestLimits struct {
	ConnectTimeout float64 `json:"connect_timeout_s"`
	RetryAfter     bool    `json:"retry_after"`
	MaxRetryAfter  float64 `json:"max_retry_after_s"`
	MayProbe       bool    `json:"may_probe"`
	MaxAttempts    int     `json:"most_tries"`
}

// safetySettings holds the platform's rules for polling discovery, and for draining and warming room servers.
type safetySettings struct {
	MaxPollInterval float64 `json:"must_ask_in_s"`
	DrainGrace      float64 `json:"drain_grace_s"`
	WarmupFraction  float64 `json:"cold_share"`
	WarmupTime      float64 `json:"cold_s"`
	OverloadFactor  float64 `json:"fall_multiple"`
	OverloadWindow  float64 `json:"fall_s"`
}

// penaltySettings holds the costs of probes, migrations and requests to other zones in decisions.
type penaltySettings struct {
	Probe     float64 `json:"probe"`
	Migration float64 `json:"moves"`
	CrossZone float64 `json:"cross_zone"`
}

// specificsSettings holds the settings that are specific to the puzzle rooms.
type specificsSettings struct {
	Groups                  bool      `json:"groups"`
	MessageLatencyObjective []float64 `json:"message_aim_s"`
}

// addresses holds the addresses of a balancer's configuration.
type addresses struct {
	listen     string
	management string
	discovery  string
}

// config returns the configuration of a balancer. The parameter known is the endpoint list with which the balancer
// starts, in JSON; nil if it has none. Balancers whose names have the same length get the same seed.
func (e Experiment) config(name string, at placement, a addresses, known json.RawMessage) configFile {
	return configFile{
		Name:       name,
		Listen:     a.listen,
		Management: a.management,
		Discovery:  a.discovery,
		Seed:       strconv.FormatUint(e.Seed+uint64(len(name)), 16),
		Limits: resourceLimits{
			Cores:    1,
			MemoryMB: e.MemoryMB,
			Sockets:  cmp.Or(e.MaxDescriptors, baseDescriptors+descriptorsPerSession*e.Sessions),
		},
		Known:    known,
		Settings: e.settings(at),
	}
}

// settings returns the platform's settings of a balancer.
func (e Experiment) settings(at placement) settingsFile {
	return settingsFile{
		Zone:           at.zone,
		Zones:          at.zones,
		Balancers:      e.Balancers,
		MembershipMode: at.membershipMode,
		Classes: []classSettings{{
			Name:             playerClass,
			LatencyObjective: 0.3,
			ClientTimeout:    milliseconds(e.ClientTimeoutMs).Seconds(),
			Idempotency:      "idempotent",
		}},
		Limits: requestLimits{
			ConnectTimeout: 0.25,
			RetryAfter:     true,
			MaxRetryAfter:  1.5,
			MayProbe:       !at.noProbes,
			MaxAttempts:    3,
		},
		Safety: safetySettings{
			MaxPollInterval: 10,
			DrainGrace:      drainGrace.Seconds(),
			WarmupFraction:  warmupFraction,
			WarmupTime:      warmupTime.Seconds(),
			OverloadFactor:  collapseFactor,
			OverloadWindow:  1,
		},
		Penalties: penaltySettings{Probe: 0.0018, Migration: 0.019, CrossZone: 0.16},
		Specifics: specificsSettings{Groups: true, MessageLatencyObjective: []float64{0.06}},
	}
}
