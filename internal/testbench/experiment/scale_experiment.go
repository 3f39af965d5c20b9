package experiment

import (
	_ "embed"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

//go:embed scale.schema.json
var scaleSchema []byte

// ScaleExperiment is what the file of a scale run says. Absent keys have the defaults of ParseScale.
type ScaleExperiment struct {
	Name     string  `json:"name"`
	About    string  `json:"about"`
	Seed     uint64  `json:"seed"`
	Hollow   int     `json:"hollow"`
	Modules  int     `json:"modules"`
	Cold     int     `json:"cold"`
	Each     int     `json:"each"`
	Real     int     `json:"real"`
	Sessions int     `json:"sessions"`
	Rooms    int     `json:"rooms"`
	Servers  int     `json:"servers"`
	Regions  int     `json:"regions"`
	Zones    int     `json:"zones"`
	Sources  int     `json:"sources"`
	Mode     string  `json:"mode"`
	Changes  float64 `json:"changes_a_day"`
	RegionMs int     `json:"region_ms"`
	NoticeMs int     `json:"notice_ms"`
	Seconds  float64 `json:"seconds"`
	Faults   []Fault `json:"faults"`
}

// Fault is what goes wrong for a while.
type Fault struct {
	At    float64 `json:"at_s"`
	For   float64 `json:"for_s"`
	Do    string  `json:"do"`
	Share float64 `json:"share"`
	Delay int     `json:"delay_ms"`
	Rate  float64 `json:"kb_per_s"`
}

// LoadScale reads the file of a scale run; errors name the file, the key and the value.
func LoadScale(path string) (ScaleExperiment, error) { return load(path, ParseScale) }

// ParseScale checks the JSON of a scale run against its schema and fills in what it leaves out.
func ParseScale(raw []byte) (ScaleExperiment, error) {
	e := ScaleExperiment{Seed: 1, Each: 300, Sessions: 30, Rooms: 4, Regions: 3, Zones: 9, Sources: 6, Mode: "subscribe",
		Changes: 130_000, RegionMs: 30, NoticeMs: 300}
	if err := decode(raw, "scale.schema.json", scaleSchema, &e); err != nil {
		return e, err
	}
	exist := min(e.Real, e.Zones) * e.Rooms
	switch {
	case e.Modules > e.Hollow:
		return e, fmt.Errorf("modules: %d, of %d hollow ones", e.Modules, e.Hollow)
	case e.Cold > e.Hollow:
		return e, fmt.Errorf("cold: %d, of %d hollow ones", e.Cold, e.Hollow)
	case e.Zones < e.Regions:
		return e, fmt.Errorf("zones: %d, fewer than the %d regions", e.Zones, e.Regions)
	case e.Sources < e.Regions:
		return e, fmt.Errorf("sources: %d, fewer than the %d regions", e.Sources, e.Regions)
	case e.Servers < exist:
		return e, fmt.Errorf("servers: %d, %d of them exist", e.Servers, exist)
	case e.Servers > exist && e.Real >= e.Zones:
		return e, fmt.Errorf("real: %d leave none of %d zones to the room servers that do not exist", e.Real, e.Zones)
	}
	for i, f := range e.Faults {
		switch {
		case f.At+f.For > e.Seconds:
			return e, fmt.Errorf("faults/%d: mended at %g s, after the end of the changes, %g", i, f.At+f.For, e.Seconds)
		case f.Do == "source" && e.Sources < 2:
			return e, fmt.Errorf("faults/%d/do: source, and there is no other", i)
		case f.Do == "cut" && e.Regions < 2:
			return e, fmt.Errorf("faults/%d/do: cut, and there is no other region", i)
		}
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return int((a.At - b.At) * 1e6) })
	return e, nil
}

func (e ScaleExperiment) region(zone int) int { return zone * e.Regions / e.Zones }

// realZone is where a real balancer stands: the first ones each in another region.
func (e ScaleExperiment) realZone(i int) int {
	each := e.Zones / e.Regions
	return (i%e.Regions*each + i/e.Regions) % e.Zones
}

func (e ScaleExperiment) hollowZone(i int) int { return i % e.Zones }

// Need is what a scale run takes, as it is known beforehand.
type Need struct {
	Processes   int `json:"processes"`
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"descriptors"` // of the process that needs most of them
}

// The slopes of Need, as the processes of the two-years experiments showed them, before 2,000 and 20,000 room servers.
const (
	mostProcesses  = 300
	labMB          = 40.0   // the lab's process alone,
	portKB         = 90.0   // for each balancer,
	labServerKB    = 8.0    // and for each room server
	workerMB       = 22.0   // a process of hollow balancers alone,
	sharedKB       = 1.0    // for each room server of its copy of the list,
	followerKB     = 75.0   // for each hollow balancer,
	coldServerKB   = 0.25   // for each room server of the list that one without a known list takes,
	moduleServerKB = 2.6    // and for each room server in the module of one that has the list
	realMB         = 16.0   // a balancer that serves,
	realServerKB   = 2.2    // and for each room server
	sessionKB      = 120.0  // a player with its room server's side
	watchSockets   = 4      // of the lab's process: a listener, a link's two ends and the source's
	reopenSockets  = 3      // the same but the listener, while a watch is opened anew beside the old one
	otherSockets   = 500    // listeners, logs, pipes, the runtime
	kb             = 1024.0 // in a MB
)

// Need estimates what the run takes.
func (e ScaleExperiment) Need() Need {
	n, s := float64(e.Hollow+e.Real), float64(e.Servers)
	workers := e.workers()
	mb := labMB + n*portKB/kb + s*labServerKB/kb + float64(e.Sessions)*sessionKB/kb +
		float64(workers)*(workerMB+s*sharedKB/kb) + float64(e.Hollow)*followerKB/kb + float64(e.Cold)*s*coldServerKB/kb + float64(e.Modules)*s*moduleServerKB/kb +
		float64(e.Real)*(realMB+s*realServerKB/kb)
	return Need{Processes: 1 + workers + e.Real, MemoryMB: int(mb), Descriptors: max((watchSockets+reopenSockets)*(e.Hollow+e.Real)+4*e.Sessions+otherSockets,
		2*min(e.Each, e.Hollow)+otherSockets)}
}

// workers is how many processes hold the hollow balancers: those that have the list apart from the others.
func (e ScaleExperiment) workers() int {
	up := func(n int) int { return (n + e.Each - 1) / e.Each }
	return up(e.Modules) + up(e.Hollow-e.Modules)
}

// Limits are what the machine allows a run.
type Limits struct {
	MemoryMB    int // half of the machine's
	Processes   int
	Descriptors int
}

// MachineLimits reads them.
func MachineLimits() (Limits, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Limits{}, err
	}
	l := Limits{Processes: mostProcesses}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			total, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			if err != nil {
				return l, fmt.Errorf("meminfo: %w", err)
			}
			l.MemoryMB = total / 2 / 1024
		}
	}
	if l.MemoryMB == 0 {
		return l, fmt.Errorf("meminfo: no MemTotal")
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return l, fmt.Errorf("descriptors: %w", err)
	}
	l.Descriptors = int(min(files.Cur, 1<<30))
	return l, nil
}

// Fits names what a run would take too much of.
func (n Need) Fits(l Limits) error {
	for _, x := range []struct {
		what       string
		need, most int
	}{{"MB of memory, half of the machine's", n.MemoryMB, l.MemoryMB}, {"processes", n.Processes, l.Processes},
		{"descriptors of one process", n.Descriptors, l.Descriptors}} {
		if x.need > x.most {
			return fmt.Errorf("it would take %d %s: %d is the most", x.need, x.what, x.most)
		}
	}
	return nil
}
