package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// invariantSlack is added to the time limits that the invariants check.
	invariantSlack = 50 * time.Millisecond
	// quickResume is the time limit for Result.ResumedWithin.
	quickResume = 500 * time.Millisecond
	// settleTime is how long a run waits for migrations to end: at the end of its duration, and after the fill time
	// before the first reading of the counters for Cost.
	settleTime = 2 * time.Second
	// maxResumeMicros is the upper bound of the histogram of resume times, in microseconds.
	maxResumeMicros = 60_000_000
	// histogramDigits is the number of significant digits of all histograms.
	histogramDigits = 3
	// minStateBytes is the lower bound of the max_state_bytes that balancers are configured with.
	minStateBytes = 8
)

// Names of the files that the balancers of a run share, in the run's directory. In a membership run each balancer has a
// fronts file of its own, in its directory.
const (
	frontsFileName = "fronts.json"
	keysFileName   = "keys.json"
	listFileName   = "rooms.json"
)

// Fixed names. All requests have the same tenant, and all balancers of a run the same site for session tokens, so that
// neither changes a result.
const (
	tenantName = "lab"
	siteName   = "lab"
)

// singleZoneName is the zone of runs without zones.
const singleZoneName = "a"

// run is an experiment in progress. Only the goroutine of Run or RunMembership writes its fields, unless their comments
// say otherwise.
type run struct {
	e           Experiment
	program     string
	dir         string
	progress    Progress
	recorder    *invariants.Recorder
	frontLayer  *emulator.FrontLayer
	discovery   *emulator.Discovery
	roomServers []*emulator.RoomServer
	balancers   []*balancer
	// alive says, for each balancer, whether its process runs.
	alive      []bool
	keys       sessionKeys
	players    []*emulator.Player
	statistics emulator.Statistics // the players update its counts
	// schedule holds the faults that were not injected yet, the earliest first.
	schedule []scheduledFault
	// delayed counts delayed actions of faults, such as an update of discovery, that have not ended.
	delayed sync.WaitGroup
	// killed holds the names of the balancers that were killed by SIGKILL.
	killed map[string]bool
	// interrupted holds the names of the balancers whose process was killed, stopped or replaced at least once.
	interrupted map[string]bool
	// metricsRead counts the balancers whose metrics were read for the result.
	metricsRead int
	// collapses counts the violations of one kind: a room server was overloaded while it warmed up.
	collapses int

	// beforeFirstStart is called before the first start of each balancer, after its files were written.
	beforeFirstStart func(i int, b *balancer) error
	// beforeStart is called before each start of a balancer's process, except hot restarts.
	beforeStart func(i int)

	// mu guards broken, resumeTimes and two fields of result, ResumedWithin and Reasons, which the callbacks of
	// statistics write. Only the goroutine of Run or RunMembership accesses the other fields of result.
	mu sync.Mutex
	// broken counts the established connections that broke without MOVE, by the balancer's name.
	broken      map[string]int
	resumeTimes *hdrhistogram.Histogram
	result      Result
}

// Run runs an experiment with the given balancer program.
func Run(ctx context.Context, program string, e Experiment, progress Progress) (Result, error) {
	dir, err := os.MkdirTemp("", "cottonplank-lab-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	r := newRun(program, dir, e, progress)
	defer r.close()
	if err := r.open(ctx); err != nil {
		return r.result, err
	}
	err = r.play(ctx)
	return r.result, err
}

// newRecorder returns a recorder with the drain grace that balancers are configured with.
func newRecorder() *invariants.Recorder {
	return invariants.NewRecorder(invariants.Limits{DrainGrace: drainGrace, Slack: invariantSlack})
}

// newRun returns a run that is not started yet; open starts it. The directory must exist.
func newRun(program, dir string, e Experiment, progress Progress) *run {
	r := &run{
		e:                e,
		program:          program,
		dir:              dir,
		progress:         progress,
		recorder:         newRecorder(),
		frontLayer:       emulator.NewFrontLayer(e.Seed),
		keys:             sessionKeys{path: filepath.Join(dir, keysFileName)},
		killed:           map[string]bool{},
		interrupted:      map[string]bool{},
		broken:           map[string]int{},
		resumeTimes:      hdrhistogram.New(1, maxResumeMicros, histogramDigits),
		beforeFirstStart: func(int, *balancer) error { return nil },
		beforeStart:      func(int) {},
		result: Result{
			Name:      e.Name,
			Tokens:    e.ResumesSessions,
			Sessions:  e.Sessions,
			Reasons:   map[string]int{},
			Balancers: map[string]uint64{},
		},
	}
	for _, f := range e.Faults {
		r.schedule = append(r.schedule, scheduledFault{
			at:          seconds(f.At),
			description: f.String(),
			inject:      func(ctx context.Context) error { return r.inject(ctx, f) },
		})
	}
	return r
}

// open starts discovery, the room servers and the balancers, and writes the files that the balancers share.
func (r *run) open(ctx context.Context) error {
	r.discovery = emulator.NewDiscovery(r.recorder)
	for i := range r.e.RoomServers {
		err := r.startRoomServer(emulator.RoomServerConfig{
			Name:            roomServerName(i),
			Capacity:        r.e.Capacity,
			ResumesSessions: true,
			StateBytes:      r.e.StateBytes,
			Recorder:        r.recorder,
		})
		if err != nil {
			return err
		}
	}
	if err := r.keys.rotate(); err != nil {
		return err
	}
	if err := r.writeFronts(); err != nil {
		return err
	}
	for i := range r.e.Balancers {
		if err := r.startBalancer(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func roomServerName(i int) string { return fmt.Sprintf("s-%d", i) }

func balancerName(i int) string { return fmt.Sprintf("n%d", i) }

// startRoomServer starts a room server and publishes it in discovery as active.
func (r *run) startRoomServer(cfg emulator.RoomServerConfig) error {
	server, err := emulator.NewRoomServer(cfg)
	if err != nil {
		return err
	}
	r.roomServers = append(r.roomServers, server)
	r.discovery.SetLifecycle(server, singleZoneName, emulator.LifecycleActive)
	return nil
}

// frontsSections are the sections of the balancers' fronts file that experiments use.
type frontsSections struct {
	Sessions *sessionsSection `json:"resume,omitempty"`
	List     *listSection     `json:"rooms,omitempty"`
}

// sessionsSection configures the resumption of sessions.
type sessionsSection struct {
	Keys          string `json:"keys"`
	Site          string `json:"site"`
	MaxStateBytes int    `json:"max_state_bytes"`
}

// listSection configures a list file, which balancers read instead of asking discovery.
type listSection struct {
	File string `json:"file"`
}

// writeFronts writes the fronts file, and the list file if there is one.
func (r *run) writeFronts() error {
	var sections frontsSections
	if r.e.ResumesSessions {
		sections.Sessions = &sessionsSection{
			Keys:          keysFileName,
			Site:          siteName,
			MaxStateBytes: max(r.e.StateBytes, minStateBytes),
		}
	}
	if r.e.ListFile {
		sections.List = &listSection{File: listFileName}
		if err := r.writeListFile(); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(sections)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, frontsFileName), raw, 0o600)
}

// listFile is the endpoint list as a balancer reads it from a file.
type listFile struct {
	Rooms []listFileEntry `json:"rooms"`
}

// listFileEntry is a room server in a list file.
type listFileEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// writeListFile writes the list file with all room servers.
func (r *run) writeListFile() error {
	var list listFile
	for _, server := range r.roomServers {
		entry := listFileEntry{Name: server.Name(), Address: server.Address(), Zone: singleZoneName}
		list.Rooms = append(list.Rooms, entry)
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(r.dir, listFileName), raw)
}

// startBalancer starts a balancer for the first time and adds it to the front layer. Unlike the function
// startBalancer, it does not try again on other ports.
func (r *run) startBalancer(ctx context.Context, i int) error {
	name := balancerName(i)
	discovery, err := r.discovery.ListenFor(name)
	if err != nil {
		return err
	}
	b, err := newBalancer(balancerSpec{
		program:    r.program,
		dir:        r.dir,
		name:       name,
		experiment: r.e,
		placement:  singleZone,
		discovery:  discovery,
		known:      r.discovery.ListingJSON(),
	})
	if err != nil {
		return err
	}
	if err := r.beforeFirstStart(i, b); err != nil {
		return err
	}
	r.beforeStart(i)
	if err := b.start(ctx); err != nil {
		return err
	}
	r.balancers = append(r.balancers, b)
	r.alive = append(r.alive, true)
	r.frontLayer.Add(b.name, b.address)
	return nil
}

// reloadAll makes all running balancers reload their files, by SIGHUP.
func (r *run) reloadAll() {
	for i, b := range r.balancers {
		if r.alive[i] {
			b.signal(syscall.SIGHUP)
		}
	}
}

// close stops the running balancers, the room servers and discovery. It does not stop a balancer whose start failed
// or was cancelled after its process had started. Pdeathsig kills such a process when this one ends.
func (r *run) close() {
	var stopping sync.WaitGroup
	for i, b := range r.balancers {
		if r.alive[i] {
			stopping.Go(func() { b.stop() })
		}
	}
	stopping.Wait()
	for _, server := range r.roomServers {
		server.Stop()
	}
	if r.discovery != nil {
		r.discovery.Stop()
	}
}
