// Package experiment runs experiments with real balancer processes on loopback. Clients, room servers and discovery are
// emulated. A run injects faults at given times and checks the invariants. The package also measures the resources that
// balancers use.
//
// There are three kinds of experiments, each with a file format, a run and a result: the general one (Experiment, Run,
// Result), one of the membership of a cluster (MembershipExperiment, RunMembership, MembershipResult), and one with
// thousands of hollow nodes (ScaleExperiment, RunScale, ScaleResult).
package experiment

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

//go:embed experiment.schema.json
var schemaText []byte

// Experiment is the contents of an experiment's file. Parse sets the defaults of absent keys.
type Experiment struct {
	Name string `json:"name"`
	// About describes the purpose of the experiment.
	About string `json:"about"`
	// Seed determines the random choices of the players, the front layer and the balancers. Balancers whose names have
	// the same length get the same seed.
	Seed uint64 `json:"seed"`
	// Balancers is the number of balancer processes.
	Balancers int `json:"balancers"`
	// RoomServers is the number of room servers.
	RoomServers int `json:"rooms"`
	// Capacity is the number of connections that a room server admits.
	Capacity int `json:"capacity"`
	// Sessions is the number of clients.
	Sessions int `json:"sessions"`
	// GroupSize is the number of clients in one puzzle room.
	GroupSize int `json:"group"`
	// FillSeconds is the time over which the clients connect.
	FillSeconds float64 `json:"fill_s"`
	// MeanGameSeconds is the mean duration of a game; 0 if games do not end.
	MeanGameSeconds float64 `json:"life_s"`
	// PlayIntervalMs is the time between two moves of a player, in milliseconds.
	PlayIntervalMs int `json:"every_ms"`
	// ClientTimeoutMs is the time limit for the answer to a request, in milliseconds.
	ClientTimeoutMs int `json:"patience_ms"`
	// StateBytes is the size of a session's state, in bytes.
	StateBytes int `json:"state_bytes"`
	// Seconds is the duration of the run without settleTime, which follows it.
	Seconds float64 `json:"seconds"`
	// ResumesSessions says that clients and balancers use session tokens.
	ResumesSessions bool `json:"tokens"`
	// CompareWithoutTokens asks for a second run without session tokens.
	CompareWithoutTokens bool `json:"beside_without_tokens"`
	// ListFile says that the balancers read the endpoint list from a file instead of discovery.
	ListFile bool `json:"list_file"`
	// ReloadIntervalSeconds is the time between two SIGHUPs to all balancers; 0 if there are none.
	ReloadIntervalSeconds float64 `json:"reload_every_s"`
	// NoticeMs is the time until the front layer notices that a balancer is down, in milliseconds.
	NoticeMs int `json:"notice_ms"`
	// DiscoveryLagMs is the time until discovery publishes a room server's new lifecycle, in milliseconds.
	DiscoveryLagMs int `json:"roll_lag_ms"`
	// MaxDescriptors is the limit on the descriptors of a balancer, both in its configuration and as the resource limit
	// of its process. With 0, the configured limit depends on the number of clients, and the process inherits its
	// resource limit.
	MaxDescriptors int `json:"sockets"`
	// MemoryMB is the configured memory limit of a balancer.
	MemoryMB int `json:"memory_mb"`
	// Faults holds the faults, the earliest first.
	Faults []Fault `json:"troubles"`
}

// Values of Fault.Action.
const (
	actionDrain      = "drain"   // a room server drains
	actionEndDrain   = "return"  // a room server admits clients again
	actionCrash      = "crash"   // a room server crashes
	actionKill       = "kill"    // a balancer is killed by SIGKILL
	actionRestart    = "restart" // a balancer is stopped gracefully, if it runs, and started again
	actionHotRestart = "renew"   // a new process of a balancer takes over the sockets of the running one
	actionReplay     = "replay"  // copies of clients' next tokens are presented along with the originals and again later
	actionRotate     = "rotate"  // the balancers reload the key file with a new sealing key
)

// Fault is a fault, or another action, at a given time of a run.
type Fault struct {
	// At is the time since the start of the run, in seconds.
	At float64 `json:"at_s"`
	// Action says what happens. It determines which of the other fields are used.
	Action string `json:"do"`
	// Room is the number of a room server.
	Room int `json:"room"`
	// Balancer is the number of a balancer.
	Balancer int `json:"balancer"`
	// Fraction is the fraction of the clients whose tokens are replayed.
	Fraction float64 `json:"share"`
}

// String describes the fault for a progress line.
func (f Fault) String() string {
	switch f.Action {
	case actionDrain, actionEndDrain, actionCrash:
		return fmt.Sprintf("%s room server s-%d", f.Action, f.Room)
	case actionKill, actionRestart, actionHotRestart:
		return fmt.Sprintf("%s balancer n%d", f.Action, f.Balancer)
	case actionReplay:
		return fmt.Sprintf("%.0f %% of the clients have their tokens replayed at two balancers", 100*f.Fraction)
	}
	return "rotate the sealing keys of session tokens"
}

// Progress receives human-readable lines about the progress of a run.
type Progress func(line string)

// Load reads an experiment's file. Errors name the file; the error of a key also names the key and what is wrong.
func Load(path string) (Experiment, error) { return load(path, Parse) }

// Parse decodes an experiment, validates it and fills in the defaults of absent keys.
func Parse(raw []byte) (Experiment, error) {
	e := Experiment{
		Seed:            1,
		Capacity:        500,
		GroupSize:       4,
		FillSeconds:     3,
		PlayIntervalMs:  200,
		ClientTimeoutMs: 2000,
		StateBytes:      2048,
		ResumesSessions: true,
		NoticeMs:        300,
		DiscoveryLagMs:  150,
		MemoryMB:        192,
	}
	if err := decode(raw, "experiment.schema.json", schemaText, &e); err != nil {
		return e, err
	}
	for i, f := range e.Faults {
		switch {
		case f.Room >= e.RoomServers:
			return e, fmt.Errorf("troubles/%d/room: %d, but there are only %d room servers, numbered from 0",
				i, f.Room, e.RoomServers)
		case f.Balancer >= e.Balancers:
			return e, fmt.Errorf("troubles/%d/balancer: %d, but there are only %d balancers, numbered from 0",
				i, f.Balancer, e.Balancers)
		case f.At >= e.Seconds:
			return e, fmt.Errorf("troubles/%d/at_s: %v is not before the end, %v", i, f.At, e.Seconds)
		}
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return e, nil
}

// FileKind returns the value of the key "kind" of an experiment's file; empty if the file has none.
func FileKind(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var file struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return file.Kind, nil
}

// duration returns the duration of the run.
func (e Experiment) duration() time.Duration { return seconds(e.Seconds) }

// seconds returns a number of seconds as a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
