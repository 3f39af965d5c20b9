package experiment

import (
	"cmp"
	_ "embed"
	"fmt"
	"slices"
)

//go:embed scale.schema.json
var scaleSchema []byte

// ScaleExperiment is an experiment with thousands of hollow nodes and a few real balancers that watch one endpoint
// list, in several zones and regions. ParseScale gives the defaults of absent keys.
type ScaleExperiment struct {
	Name string `json:"name"`
	// About says what the experiment is for.
	About string `json:"about"`
	// Seed determines the targets of faults and the changes of the list.
	Seed uint64 `json:"seed"`
	// HollowNodes is the number of hollow nodes.
	HollowNodes int `json:"hollow"`
	// FullEngines is the number of hollow nodes whose engines have the list.
	FullEngines int `json:"modules"`
	// NoKnownList is the number of hollow nodes that start without a list.
	NoKnownList int `json:"cold"`
	// NodesPerWorker is the number of hollow nodes in a worker process.
	NodesPerWorker int `json:"each"`
	// RealBalancers is the number of balancer processes.
	RealBalancers int `json:"real"`
	// Sessions is the number of clients of the real balancers.
	Sessions int `json:"sessions"`
	// RoomServersPerZone is the number of room servers that exist in each zone with a real balancer.
	RoomServersPerZone int `json:"rooms"`
	// Servers is the length of the list, including room servers that do not exist.
	Servers int `json:"servers"`
	// Regions and Zones are the numbers of both; each region has a part of the zones.
	Regions int `json:"regions"`
	Zones   int `json:"zones"`
	// ListServers is the number of replicas of discovery, distributed over the regions.
	ListServers int `json:"sources"`
	// MembershipMode is the balancers' setting of that name.
	MembershipMode string `json:"mode"`
	// ChangesPerDay is the rate of changes of the list.
	ChangesPerDay float64 `json:"changes_a_day"`
	// RegionDelayMs is the time until a change reaches the regions other than the first.
	RegionDelayMs int `json:"region_ms"`
	// NoticeMs is the time until the end of a real balancer or a list server is noticed.
	NoticeMs int `json:"notice_ms"`
	// Seconds is the duration of the changes.
	Seconds float64 `json:"seconds"`
	// Faults are the faults, the earliest first.
	Faults []ScaleFault `json:"faults"`
}

// The actions of ScaleFault.Action.
const (
	scaleKill          = "kill"   // hollow nodes and a real balancer are killed
	scaleZoneOutage    = "zone"   // all balancers of a zone are killed and its link is disconnected
	scaleRegionCut     = "cut"    // changes do not reach a region
	scaleSlowLink      = "slow"   // the link of a zone is slow
	scaleServerFailure = "source" // a list server crashes
)

// ScaleFault is a fault for some time of a run.
type ScaleFault struct {
	// AtSeconds is the time since the start of the run.
	AtSeconds float64 `json:"at_s"`
	// Seconds is the duration of the fault.
	Seconds float64 `json:"for_s"`
	// Action says what happens and which of the other fields are used.
	Action string `json:"do"`
	// Fraction is the fraction of the hollow nodes that are killed.
	Fraction float64 `json:"share"`
	// DelayMs is the additional latency of a link in each direction.
	DelayMs int `json:"delay_ms"`
	// KBPerSecond is the bandwidth of a link in each direction; 0 if it is that of a local network.
	KBPerSecond float64 `json:"kb_per_s"`
}

// LoadScale reads the file of a ScaleExperiment. Errors name the file, the key and the value.
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

// validate checks what the schema cannot express.
func (e ScaleExperiment) validate() error {
	existing := min(e.RealBalancers, e.Zones) * e.RoomServersPerZone
	switch {
	case e.FullEngines > e.HollowNodes:
		return fmt.Errorf("modules: %d, of %d hollow ones", e.FullEngines, e.HollowNodes)
	case e.NoKnownList > e.HollowNodes:
		return fmt.Errorf("cold: %d, of %d hollow ones", e.NoKnownList, e.HollowNodes)
	case e.Zones < e.Regions:
		return fmt.Errorf("zones: %d, fewer than the %d regions", e.Zones, e.Regions)
	case e.ListServers < e.Regions:
		return fmt.Errorf("sources: %d, fewer than the %d regions", e.ListServers, e.Regions)
	case e.Servers < existing:
		return fmt.Errorf("servers: %d, %d of them exist", e.Servers, existing)
	case e.Servers > existing && e.RealBalancers >= e.Zones:
		return fmt.Errorf("real: %d leave none of %d zones to the room servers that do not exist",
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
		return fmt.Errorf("faults/%d: mended at %g s, after the end of the changes, %g",
			i, f.AtSeconds+f.Seconds, e.Seconds)
	case f.Action == scaleServerFailure && e.ListServers < 2:
		return fmt.Errorf("faults/%d/do: source, and there is no other", i)
	case f.Action == scaleRegionCut && e.Regions < 2:
		return fmt.Errorf("faults/%d/do: cut, and there is no other region", i)
	}
	return nil
}

// balancers returns the number of hollow nodes and real balancers.
func (e ScaleExperiment) balancers() int { return e.HollowNodes + e.RealBalancers }

// region returns the region of a zone.
func (e ScaleExperiment) region(zone int) int { return zone * e.Regions / e.Zones }

// realZone returns the zone of a real balancer. The first ones are in different regions.
func (e ScaleExperiment) realZone(i int) int {
	zonesPerRegion := e.Zones / e.Regions
	return (i%e.Regions*zonesPerRegion + i/e.Regions) % e.Zones
}

// hollowZone returns the zone of a hollow node.
func (e ScaleExperiment) hollowZone(i int) int { return i % e.Zones }

// fullEngine reports whether the engine of a hollow node has the list.
func (e ScaleExperiment) fullEngine(i int) bool { return i < e.FullEngines }

// noKnownList reports whether a hollow node starts without a list.
func (e ScaleExperiment) noKnownList(i int) bool { return i >= e.HollowNodes-e.NoKnownList }

// workers returns the number of worker processes. Nodes with full engines have processes of their own.
func (e ScaleExperiment) workers() int {
	processes := func(nodes int) int { return (nodes + e.NodesPerWorker - 1) / e.NodesPerWorker }
	return processes(e.FullEngines) + processes(e.HollowNodes-e.FullEngines)
}

// balancerExperiment returns the settings that the real balancers and the hollow nodes are configured with.
func (e ScaleExperiment) balancerExperiment(sessions int) Experiment {
	return Experiment{
		Seed:            e.Seed,
		Balancers:       e.balancers(),
		Sessions:        sessions,
		ClientTimeoutMs: 2000,
		MemoryMB:        512,
	}
}
