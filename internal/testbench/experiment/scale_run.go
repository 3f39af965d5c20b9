package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
	"cottonplank/internal/testbench/hollow"
	"cottonplank/internal/testbench/invariants"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// applyTimeout is how long a running and reachable hollow node may take to apply a change.
	applyTimeout = 6 * time.Second
	// finalStatesTimeout is how long each worker may take to report the final states of its nodes.
	finalStatesTimeout = 30 * time.Second
	// initialVersion is the version of the list that is known to nodes and real balancers at their start.
	initialVersion = 1
	// maxBytesPerSecond is the upper bound of the histograms of traffic.
	maxBytesPerSecond = 1 << 40
	// secondsPerDay converts ChangesPerDay to an interval.
	secondsPerDay = 86_400
)

// errNoFinalStates is returned when a worker does not report the final states in time.
var errNoFinalStates = errors.New("a worker process has not reported the final states of its hollow nodes in time")

// Programs are the programs that a scale run starts.
type Programs struct {
	// Balancer is the balancer's program.
	Balancer string
	// Worker is the program that runs hollow nodes when it is called with the argument "scale-worker".
	Worker string
}

// TooLargeError is returned for a run that needs more of a resource than MachineLimits allows.
type TooLargeError struct {
	// Reason names the resource, what the run needs and the limit.
	Reason error
}

// Error returns the reason.
func (e *TooLargeError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *TooLargeError) Unwrap() error { return e.Reason }

// RunScale runs a ScaleExperiment. If the run needs more resources than MachineLimits allows, it returns a
// *TooLargeError and starts nothing.
func RunScale(ctx context.Context, programs Programs, e ScaleExperiment, progress Progress) (ScaleResult, error) {
	limits, err := MachineLimits()
	if err != nil {
		return ScaleResult{}, err
	}
	required := e.Requirements()
	progress(fmt.Sprintf("%s: %d processes, about %d MB of memory, %d descriptors in one process "+
		"(the limits are %d, %d and %d)",
		e.Name, required.Processes, required.MemoryMB, required.Descriptors,
		limits.Processes, limits.MemoryMB, limits.Descriptors))
	if err := required.Check(limits); err != nil {
		return ScaleResult{}, &TooLargeError{Reason: err}
	}
	dir, err := os.MkdirTemp("", "cottonplank-scale-")
	if err != nil {
		return ScaleResult{}, err
	}
	defer os.RemoveAll(dir)
	s := newScaleRun(programs, dir, e, progress)
	defer s.close()
	if err := s.open(ctx); err != nil {
		return s.result, err
	}
	if err := s.play(ctx); err != nil {
		return s.result, err
	}
	if err := s.awaitFinalStates(ctx); err != nil {
		return s.result, err
	}
	s.collectResult()
	return s.result, nil
}

// scaleRun is a ScaleExperiment in progress. Only the goroutine of RunScale writes its fields, unless their comments
// say otherwise. The goroutines that background counts read some of them.
type scaleRun struct {
	e        ScaleExperiment
	programs Programs
	dir      string
	progress Progress
	// faultRNG draws the targets of faults, and changeRNG the room servers that change.
	faultRNG   *rand.Rand
	changeRNG  *rand.Rand
	recorder   *invariants.Recorder
	frontLayer *emulator.FrontLayer
	statistics emulator.Statistics
	result     ScaleResult

	// roomServers holds the room servers that exist. They are the first entries of the list, in the same order.
	roomServers []*emulator.RoomServer
	table       *emulator.EndpointTable
	listServers []*emulator.ListServer
	// links holds, for each zone, the proxy through which its nodes and real balancers connect to list servers.
	links []*faultproxy.Link
	// ports holds the links' ports for the hollow nodes, followed by those for the real balancers.
	ports   []*faultproxy.Port
	workers []*workerProcess
	// workerOf holds the worker of each hollow node.
	workerOf []*workerProcess
	// entries is the newest version of the list.
	entries []emulator.Entry
	// draining says, for each of roomServers, whether it is draining.
	draining []bool
	// startedAt is when the hollow nodes were started.
	startedAt time.Time
	// portBytes holds the bytes that each port had forwarded at the last reading.
	portBytes []uint64
	// nodeTraffic and realTraffic hold the bytes that each hollow node and each real balancer has exchanged with list
	// servers between two readings, about one second.
	nodeTraffic *hdrhistogram.Histogram
	realTraffic *hdrhistogram.Histogram
	// background counts the goroutines that end faults, or execute their delayed effects.
	background sync.WaitGroup

	// mu guards the fields below.
	mu        sync.Mutex
	balancers []*balancer
	// alive says, for each real balancer, whether its process runs.
	alive []bool
	// serverUp says, for each list server, whether links may connect to it.
	serverUp []bool
	// regionCut says, for each region, whether the replication of changes to it is interrupted.
	regionCut []bool
	// nodeDown says, for each hollow node, whether it was stopped.
	nodeDown []bool
	events   []hollow.Event
	// failure is the latest error of a goroutine that background counts.
	failure error
}

// newScaleRun returns a run that is not started yet; open starts it. The directory must exist.
func newScaleRun(p Programs, dir string, e ScaleExperiment, progress Progress) *scaleRun {
	s := &scaleRun{
		e:           e,
		programs:    p,
		dir:         dir,
		progress:    progress,
		faultRNG:    rand.New(rand.NewPCG(e.Seed, 7)),
		changeRNG:   rand.New(rand.NewPCG(e.Seed, 8)),
		frontLayer:  emulator.NewFrontLayer(e.Seed),
		recorder:    newRecorder(),
		nodeTraffic: hdrhistogram.New(1, maxBytesPerSecond, histogramDigits),
		realTraffic: hdrhistogram.New(1, maxBytesPerSecond, histogramDigits),
		serverUp:    make([]bool, e.ListServers),
		regionCut:   make([]bool, e.Regions),
		nodeDown:    make([]bool, e.HollowNodes),
	}
	for i := range s.serverUp {
		s.serverUp[i] = true
	}
	return s
}

// play runs the clients, the changes of the list and the faults until the time limit for applying the last change has
// passed.
func (s *scaleRun) play(ctx context.Context) error {
	playing, stopPlayers := context.WithCancel(ctx)
	var players sync.WaitGroup
	defer players.Wait()
	defer stopPlayers()
	s.startPlayers(playing, &players)
	start := time.Now()
	if err := s.loop(playing, start); err != nil {
		return err
	}
	stopPlayers()
	players.Wait()
	s.background.Wait()
	s.result.Seconds = time.Since(start).Seconds()
	return nil
}

// startPlayers starts the clients of the real balancers. They play until ctx ends.
func (s *scaleRun) startPlayers(ctx context.Context, players *sync.WaitGroup) {
	cfg := emulator.PlayerConfig{
		FrontLayer:    s.frontLayer,
		Recorder:      s.recorder,
		Class:         playerClass,
		Tenant:        tenantName,
		ClientTimeout: 2 * time.Second,
		PlayInterval:  500 * time.Millisecond,
		MeanGame:      3 * time.Second,
		Statistics:    &s.statistics,
	}
	const playersPerRoom = 4
	for i := range s.e.Sessions {
		p := emulator.NewPlayer(cfg, s.e.Seed*seedStride+uint64(i), fmt.Sprintf("room-%d", i/playersPerRoom))
		players.Go(func() { p.Play(ctx) })
	}
}

// loop publishes the changes, injects the faults and reads the counters until the end of the run.
func (s *scaleRun) loop(ctx context.Context, start time.Time) error {
	at := func(elapsed float64) <-chan time.Time {
		return time.After(time.Until(start.Add(seconds(elapsed))))
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	changeInterval := secondsPerDay / s.e.ChangesPerDay
	changes := 0
	nextChange := at(changeInterval)
	faults := s.e.Faults
	nextFault := func() <-chan time.Time {
		if len(faults) == 0 {
			return nil
		}
		return at(faults[0].AtSeconds)
	}
	faultDue := nextFault()
	changesOver, end := at(s.e.Seconds), at(s.e.Seconds+applyTimeout.Seconds()+1)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-nextChange:
			changes++
			s.publishChange(changes)
			nextChange = at(float64(changes+1) * changeInterval)
		case <-changesOver:
			nextChange, changesOver = nil, nil
		case <-faultDue:
			if err := s.inject(ctx, faults[0], time.Since(start)); err != nil {
				return err
			}
			faults = faults[1:]
			faultDue = nextFault()
		case <-end:
			return nil
		case <-second.C:
			if err := s.reportProgress(time.Since(start)); err != nil {
				return err
			}
		}
	}
}

// reportProgress reads the counters and reports the progress.
func (s *scaleRun) reportProgress(elapsed time.Duration) error {
	connected, err := s.readCounters()
	if err != nil {
		return err
	}
	s.progress(fmt.Sprintf("%4.0f s  %d hollow balancers watch, %d changes, %d faults, %d answers",
		elapsed.Seconds(), connected, s.result.Changes, s.result.Faults, s.statistics.Answers.Load()))
	return nil
}

// readCounters records the memory of all processes and the traffic of all ports. It must be called once a second,
// because the traffic between two calls counts as that of one second. It returns the number of hollow nodes that watch
// the list, and the error of a background goroutine if there is one.
func (s *scaleRun) readCounters() (connected int, err error) {
	totalMB, err := hollow.ResidentMemory(os.Getpid())
	if err != nil {
		return 0, err
	}
	for _, w := range s.workers {
		usage, growthMB, err := w.latestUsage()
		if err != nil {
			return 0, err
		}
		connected += usage.Connected
		totalMB += usage.ResidentMB
		if w.fullEngines && usage.Running > 0 {
			s.result.EngineMBMax = max(s.result.EngineMBMax, growthMB/float64(usage.Running))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	totalMB += s.readBalancerMemory()
	s.result.TotalMB = max(s.result.TotalMB, totalMB)
	s.readTraffic()
	return connected, s.failure
}

// readBalancerMemory returns the sum of the resident memory of all running real balancers and updates the RealMBMax of
// the result. The caller holds mu.
func (s *scaleRun) readBalancerMemory() (sumMB float64) {
	for i, b := range s.balancers {
		if !s.alive[i] {
			continue
		}
		residentMB, err := hollow.ResidentMemory(b.pid())
		if err != nil {
			continue // the process is ending
		}
		sumMB += residentMB
		s.result.RealMBMax = max(s.result.RealMBMax, residentMB)
	}
	return sumMB
}

// readTraffic records the traffic of each port since the last call, except ports of stopped nodes. The caller holds mu.
func (s *scaleRun) readTraffic() {
	for i, port := range s.ports {
		bytes, _ := port.Counts()
		delta := int64(bytes - s.portBytes[i])
		s.portBytes[i] = bytes
		switch {
		case i >= s.e.HollowNodes:
			s.realTraffic.RecordValue(delta)
		case !s.nodeDown[i]:
			s.nodeTraffic.RecordValue(delta)
		}
	}
}

// awaitFinalStates makes all workers report the final states of their nodes and waits for the reports.
func (s *scaleRun) awaitFinalStates(ctx context.Context) error {
	for _, w := range s.workers {
		if err := w.send(hollow.Command{Finish: true}); err != nil {
			return err
		}
	}
	for _, w := range s.workers {
		select {
		case <-w.finished:
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(finalStatesTimeout):
			return errNoFinalStates
		}
	}
	return nil
}

// close waits for the background goroutines and stops everything that was started.
func (s *scaleRun) close() {
	s.background.Wait()
	var stopping sync.WaitGroup
	for _, w := range s.workers {
		stopping.Go(w.stop)
	}
	for i, b := range s.balancers {
		if s.alive[i] {
			stopping.Go(func() { b.stop() })
		}
	}
	stopping.Wait()
	for _, server := range s.listServers {
		server.Stop()
	}
	for _, port := range s.ports {
		port.Close()
	}
	for _, server := range s.roomServers {
		server.Stop()
	}
}
