package experiment

import _ "embed"

//go:embed members.schema.json
var membershipSchemaText []byte

// MembershipKind is the kind of the file of a MembershipExperiment.
const MembershipKind = "membership-faults"

// MembershipExperiment is an experiment with balancers that are members of one cluster. Its faults, of the balancers
// and of the network between them, are drawn from the seed.
type MembershipExperiment struct {
	Name string `json:"name"`
	// Kind is always MembershipKind.
	Kind string `json:"kind"`
	// About describes the purpose of the experiment.
	About string `json:"about"`
	// Seed determines the faults and the other random choices.
	Seed uint64 `json:"seed"`
	// Instances is the number of balancers.
	Instances int `json:"instances"`
	// RoomServers is the number of room servers at the start.
	RoomServers int `json:"rooms"`
	// Sessions is the number of clients.
	Sessions int `json:"sessions"`
	// PlayIntervalMs is the time between two moves of a player, in milliseconds.
	PlayIntervalMs int `json:"every_ms"`
	// Seconds is the duration of the run from the start of the players, without settleTime, which follows it.
	Seconds float64 `json:"seconds"`
}

// LoadMembership reads the file of a MembershipExperiment. Errors name the file; the error of a key also names the key
// and what is wrong.
func LoadMembership(path string) (MembershipExperiment, error) { return load(path, ParseMembership) }

// ParseMembership decodes a MembershipExperiment, validates it and fills in the defaults of absent keys.
func ParseMembership(raw []byte) (MembershipExperiment, error) {
	e := MembershipExperiment{Seed: 1, PlayIntervalMs: 200}
	err := decode(raw, "members.schema.json", membershipSchemaText, &e)
	return e, err
}

// experiment returns the general experiment, without faults, that the membership run plays.
func (e MembershipExperiment) experiment() Experiment {
	return Experiment{
		Name:            e.Name,
		Seed:            e.Seed,
		Balancers:       e.Instances,
		RoomServers:     e.RoomServers,
		Capacity:        1000,
		Sessions:        e.Sessions,
		GroupSize:       4,
		FillSeconds:     1,
		PlayIntervalMs:  e.PlayIntervalMs,
		ClientTimeoutMs: 2000,
		Seconds:         e.Seconds,
		NoticeMs:        200,
		DiscoveryLagMs:  100,
		MemoryMB:        192,
	}
}
