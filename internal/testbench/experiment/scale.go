package experiment

import (
	"context"
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
	inForceWithin = 6 * time.Second  // a balancer that can be reached has a change by then
	beginWithin   = 10 * time.Second // until all hollow balancers watch; the run goes on without those that do not
	tellWithin    = 30 * time.Second // until the processes of hollow ones have told how they end
	drainEvery    = 5                // one change in so many is the drain or the return of a room server that exists
	known         = 1                // version of the list that all start with
	portTries     = 3                // of a real balancer's start
	lanRate       = 1 << 20          // a slow link's rate where the file gives none, in KB a second
)

// Programs are those that a scale run starts.
type Programs struct{ Balancer, Lab string }

// Scale plays a scale run. say gets a line now and then.
func Scale(ctx context.Context, programs Programs, e ScaleExperiment, say func(string)) (ScaleResult, error) {
	need := e.Need()
	limits, err := MachineLimits()
	if err != nil {
		return ScaleResult{}, err
	}
	say(fmt.Sprintf("%s: %d processes, about %d MB of memory, %d descriptors in one process (at most %d, %d and %d)", e.Name,
		need.Processes, need.MemoryMB, need.Descriptors, limits.Processes, limits.MemoryMB, limits.Descriptors))
	if err := need.Fits(limits); err != nil {
		return ScaleResult{}, TooLarge{err}
	}
	dir, err := os.MkdirTemp("", "cottonplank-scale-")
	if err != nil {
		return ScaleResult{}, err
	}
	defer os.RemoveAll(dir)
	s := newScaleRun(programs, dir, e, say)
	defer s.close()
	if err := s.open(ctx); err != nil {
		return s.result, err
	}
	if err := s.play(ctx); err != nil {
		return s.result, err
	}
	return s.result, s.finish(ctx)
}

// TooLarge is the error of a run that does not fit the machine.
type TooLarge struct{ error }

// scaleRun is one scale run while it is played. Its goroutine owns what is not locked.
type scaleRun struct {
	e        ScaleExperiment
	programs Programs
	dir      string
	say      func(string)
	faults   *rand.Rand
	changes  *rand.Rand
	recorder *invariants.Recorder
	front    *emulator.FrontLayer
	tally    emulator.Statistics
	result   ScaleResult

	rooms   []*emulator.RoomServer // that exist
	zoneOf  []int                  // of each of them
	roster  *emulator.EndpointTable
	sources []*emulator.ListServer
	links   []*faultproxy.Link
	ports   []*faultproxy.Port // of the hollow balancers, then of the real ones
	workers []*worker
	of      []*worker // of each hollow balancer

	balancers []*balancer
	alive     []bool
	later     sync.WaitGroup

	mu      sync.Mutex
	led     []bool // sources that connections are led to
	parted  []bool // regions that changes do not reach
	down    []bool // hollow balancers that do not run
	away    []bool // zones that are gone
	events  []hollow.Event
	entries []emulator.Entry
	drained []bool // of the rooms that exist
	failed  error
	reads   []uint64 // of the ports, at the last look
	kb      [2]*hdrhistogram.Histogram
	began   time.Time
}

func newScaleRun(p Programs, dir string, e ScaleExperiment, say func(string)) *scaleRun {
	s := &scaleRun{e: e, programs: p, dir: dir, say: say, faults: rand.New(rand.NewPCG(e.Seed, 7)), changes: rand.New(rand.NewPCG(e.Seed, 8)), front: emulator.NewFrontLayer(e.Seed),
		recorder: invariants.NewRecorder(invariants.Figures{DrainGrace: drainGrace, Slack: ruleSlack}),
		led:      make([]bool, e.Sources), parted: make([]bool, e.Regions), down: make([]bool, e.Hollow), away: make([]bool, e.Zones)}
	for i := range s.led {
		s.led[i] = true
	}
	for i := range s.kb {
		s.kb[i] = hdrhistogram.New(1, 1<<40, 3)
	}
	return s
}

func (s *scaleRun) play(ctx context.Context) error {
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	cfg := emulator.PlayerConfig{FrontLayer: s.front, Recorder: s.recorder, Class: "solo-play", Tenant: "lab", ClientTimeout: 2 * time.Second,
		PlayInterval: 500 * time.Millisecond, MeanGame: 3 * time.Second, Statistics: &s.tally}
	for i := range s.e.Sessions {
		p := emulator.NewPlayer(cfg, s.e.Seed*1_000_003+uint64(i), fmt.Sprintf("room-%d", i/4))
		all.Go(func() { p.Play(playing) })
	}
	start := time.Now()
	at := func(seconds float64) <-chan time.Time {
		return time.After(time.Until(start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	apart := 86_400 / s.e.Changes
	next, n, faults := at(apart), 0, s.e.Faults
	due := func() <-chan time.Time {
		if len(faults) == 0 {
			return nil
		}
		return at(faults[0].At)
	}
	trouble, over, end := due(), at(s.e.Seconds), at(s.e.Seconds+inForceWithin.Seconds()+1)
	for running := true; running; {
		select {
		case <-ctx.Done():
			stop()
			all.Wait()
			s.later.Wait()
			return ctx.Err()
		case <-next:
			n++
			s.change(n)
			next = at(float64(n+1) * apart)
		case <-over:
			next, over = nil, nil
		case <-trouble:
			if err := s.befall(playing, faults[0], time.Since(start)); err != nil {
				return err
			}
			faults = faults[1:]
			trouble = due()
		case <-end:
			running = false
		case <-second.C:
			begun, err := s.look()
			if err != nil {
				return err
			}
			s.say(fmt.Sprintf("%4.0f s  %d hollow balancers watch, %d changes, %d faults, %d answers", time.Since(start).Seconds(), begun,
				s.result.Changes, s.result.Faults, s.tally.Answers.Load()))
		}
	}
	stop()
	all.Wait()
	s.later.Wait()
	s.result.Seconds = time.Since(start).Seconds()
	return nil
}

// look reads all counters: once a second. It returns how many hollow balancers watch.
func (s *scaleRun) look() (begun int, err error) {
	rss, err := hollow.ResidentMemory(os.Getpid())
	if err != nil {
		return 0, err
	}
	for _, w := range s.workers {
		u, grown, err := w.last()
		if err != nil {
			return 0, err
		}
		begun += u.Connected
		rss += u.ResidentMB
		if w.full && u.Running > 0 {
			s.result.ControlMB = max(s.result.ControlMB, grown/float64(u.Running))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.balancers {
		if !s.alive[i] {
			continue
		}
		if mb, err := hollow.ResidentMemory(b.process.Process.Pid); err == nil { // it may be on its way down
			rss += mb
			s.result.RealMB = max(s.result.RealMB, mb)
		}
	}
	s.result.LabMB = max(s.result.LabMB, rss)
	for i, p := range s.ports {
		now, _ := p.Counts()
		if got := now - s.reads[i]; i < s.e.Hollow {
			if !s.down[i] {
				s.kb[0].RecordValue(int64(got))
			}
		} else {
			s.kb[1].RecordValue(int64(got))
		}
		s.reads[i] = now
	}
	return begun, s.failed
}

// finish asks all for what they have, and checks it.
func (s *scaleRun) finish(ctx context.Context) error {
	for _, w := range s.workers {
		if err := w.orders.Encode(hollow.Command{Finish: true}); err != nil {
			return fmt.Errorf("hollow balancers: %w", err)
		}
	}
	for _, w := range s.workers {
		select {
		case <-w.done:
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tellWithin):
			return fmt.Errorf("a process of hollow balancers does not tell how it ends")
		}
	}
	s.read()
	return nil
}

// close ends all that open started, and what was started again.
func (s *scaleRun) close() {
	s.later.Wait()
	var all sync.WaitGroup
	for _, w := range s.workers {
		all.Go(w.stop)
	}
	for i, b := range s.balancers {
		if s.alive[i] {
			all.Go(func() { b.stop() })
		}
	}
	all.Wait()
	for _, source := range s.sources {
		source.Stop()
	}
	for _, p := range s.ports {
		p.Close()
	}
	for _, room := range s.rooms {
		room.Stop()
	}
}
