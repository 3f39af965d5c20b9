package experiment

import (
	"cmp"
	_ "embed"
	"fmt"
	"slices"
)

//go:embed scale.schema.json
var scaleSchema []byte

// ScaleExperiment is an experiment with thousands of hollow nodes and a few real balancers that watch the same endpoint
// list, in several zones and regions. ParseScale sets the defaults of absent keys.
type ScaleExperiment struct {
	Name string `json:"name"`
	// About describes the purpose of the experiment.
	About string `json:"about"`
	// Seed determines the targets of faults, the changes of the list and the random choices of clients and balancers.
	Seed uint64 `json:"seed"`
	// HollowNodes is the number of hollow nodes.
	HollowNodes int `json:"hollow"`
	// FullEngines is the number of hollow nodes whose engines hold the whole list, each a copy of its own. The other
	// nodes share one copy in each worker process.
	FullEngines int `json:"modules"`
	// NoKnownList is the number of hollow nodes that start without a list.
	NoKnownList int `json:"cold"`
	// NodesPerWorker is the largest number of hollow nodes in a worker process.
	NodesPerWorker int `json:"each"`
	// RealBalancers is the number of balancer processes.
	RealBalancers int `json:"real"`
	// Sessions is the number of clients of the real balancers.
	Sessions int `json:"sessions"`
	// RoomServersPerZone is the number of room servers that exist in each zone with a real balancer.
	RoomServersPerZone int `json:"rooms"`
	// Servers is the length of the list, including room servers that do not exist.
	Servers int `json:"servers"`
	// Regions and Zones are the numbers of regions and zones. Each zone is in one region.
	Regions int `json:"regions"`
	Zones   int `json:"zones"`
	// ListServers is the number of replicas of discovery, distributed over the regions.
	ListServers int `json:"sources"`
	// MembershipMode is the balancers' setting of that name.
	MembershipMode string `json:"mode"`
	// ChangesPerDay is the rate of changes of the list.
	ChangesPerDay float64 `json:"changes_a_day"`
	// RegionDelayMs is the time until a change reaches the regions other than the first, in milliseconds.
	RegionDelayMs int `json:"region_ms"`
	// NoticeMs is the time, in milliseconds, until the front layer notices the end of a real balancer, and until the
	// links notice the end of a list server.
	NoticeMs int `json:"notice_ms"`
	// Seconds is the time during which the list changes.
	Seconds float64 `json:"seconds"`
	// Faults holds the faults, the earliest first.
	Faults []ScaleFault `json:"faults"`
}

// Values of ScaleFault.Action.
const (
	scaleKill          = "kill"   // some hollow nodes and one real balancer are killed
	scaleZoneOutage    = "zone"   // all balancers of a zone are killed and its link is disconnected
	scaleRegionCut     = "cut"    // changes are not replicated to a region other than the first
	scaleSlowLink      = "slow"   // the link of a zone is slow in both directions
	scaleServerFailure = "source" // a list server crashes
)

// ScaleFault is a fault. It ends no later than the changes of the list.
type ScaleFault struct {
	// AtSeconds is the time since the clients start.
	AtSeconds float64 `json:"at_s"`
	// Seconds is the duration of the fault.
	Seconds float64 `json:"for_s"`
	// Action says what happens. It determines which of the other fields are used.
	Action string `json:"do"`
	// Fraction is the fraction of the hollow nodes that are killed.
	Fraction float64 `json:"share"`
	// DelayMs is the additional latency of a link in each direction, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// KBPerSecond is the bandwidth of a link, which both directions share; 0 selects localNetworkKBPerSecond.
	KBPerSecond float64 `json:"kb_per_s"`
}

// LoadScale reads the file of a ScaleExperiment. Errors name the file; the error of a key also names the key and what
// is wrong.
func LoadScale(path string) (ScaleExperiment, error) { return load(path, ParseScale) }

// ParseScale decodes a ScaleExperiment, validates it and fills in the defaults of absent keys.
func ParseScale(raw []byte) (ScaleExperiment, error) {
	e := ScaleExperiment{
		Seed:               1,
		NodesPerWorker:     300,
		Sessions:           30,
		RoomServersPerZone: 4,
		Regions:            3,
		Zones:              9,
		ListServers:        6,
		MembershipMode:     "subscribe",
		ChangesPerDay:      130_000,
		RegionDelayMs:      30,
		NoticeMs:           300,
	}
	if err := decode(raw, "scale.schema.json", scaleSchema, &e); err != nil {
		return e, err
	}
	if err := e.validate(); err != nil {
		return e, err
	}
	slices.SortStableFunc(e.Faults, func(a, b ScaleFault) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) })
	return e, nil
}

// validate checks the rules between keys, which the schema cannot express.
func (e ScaleExperiment) validate() error {
	existing := min(e.RealBalancers, e.Zones) * e.RoomServersPerZone
	switch {
	case e.FullEngines > e.HollowNodes:
		return fmt.Errorf("modules: %d, expected at most the value of hollow, %d", e.FullEngines, e.HollowNodes)
	case e.NoKnownList > e.HollowNodes:
		return fmt.Errorf("cold: %d, expected at most the value of hollow, %d", e.NoKnownList, e.HollowNodes)
	case e.Zones < e.Regions:
		return fmt.Errorf("zones: %d, expected at least the number of regions, %d", e.Zones, e.Regions)
	case e.ListServers < e.Regions:
		return fmt.Errorf("sources: %d, expected at least the number of regions, %d", e.ListServers, e.Regions)
	case e.Servers < existing:
		return fmt.Errorf("servers: %d, expected at least the %d room servers that exist", e.Servers, existing)
	case e.Servers > existing && e.RealBalancers >= e.Zones:
		return fmt.Errorf("real: %d, expected fewer than the %d zones, as servers that do not exist need a free zone",
			e.RealBalancers, e.Zones)
	}
	for i, f := range e.Faults {
		if err := e.validateFault(i, f); err != nil {
			return err
		}
	}
	return nil
}

// validateFault checks the i-th fault.
func (e ScaleExperiment) validateFault(i int, f ScaleFault) error {
	switch {
	case f.AtSeconds+f.Seconds > e.Seconds:
		return fmt.Errorf("faults/%d: ends at %g s, after the end of the changes at %g s",
			i, f.AtSeconds+f.Seconds, e.Seconds)
	case f.Action == scaleServerFailure && e.ListServers < 2:
		return fmt.Errorf("faults/%d/do: source requires that sources is at least 2", i)
	case f.Action == scaleRegionCut && e.Regions < 2:
		return fmt.Errorf("faults/%d/do: cut requires that regions is at least 2", i)
	}
	return nil
}

// balancers returns the number of hollow nodes and real balancers.
func (e ScaleExperiment) balancers() int { return e.HollowNodes + e.RealBalancers }

// region returns the region of a zone. Each region has consecutive zones.
func (e ScaleExperiment) region(zone int) int { return zone * e.Regions / e.Zones }

// realZone returns the zone of a real balancer. If there are several regions with equally many zones, any two
// consecutive balancers among the first e.Zones are in different regions.
func (e ScaleExperiment) realZone(i int) int {
	zonesPerRegion := e.Zones / e.Regions
	return (i%e.Regions*zonesPerRegion + i/e.Regions) % e.Zones
}

// hollowZone returns the zone of a hollow node.
func (e ScaleExperiment) hollowZone(i int) int { return i % e.Zones }

// fullEngine reports whether the engine of a hollow node holds the whole list.
func (e ScaleExperiment) fullEngine(i int) bool { return i < e.FullEngines }

// noKnownList reports whether a hollow node starts without a list.
func (e ScaleExperiment) noKnownList(i int) bool { return i >= e.HollowNodes-e.NoKnownList }

// workers returns the number of worker processes. Nodes with and without full engines are in different processes.
func (e ScaleExperiment) workers() int {
	processes := func(nodes int) int { return (nodes + e.NodesPerWorker - 1) / e.NodesPerWorker }
	return processes(e.FullEngines) + processes(e.HollowNodes-e.FullEngines)
}

// balancerExperiment returns the settings of the real balancers and the hollow nodes, for a number of clients.
func (e ScaleExperiment) balancerExperiment(sessions int) Experiment {
	return Experiment{
		Seed:            e.Seed,
		Balancers:       e.balancers(),
		Sessions:        sessions,
		ClientTimeoutMs: 2000,
		MemoryMB:        512,
	}
}
