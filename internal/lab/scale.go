package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/relay"
	"cottonplank/internal/rules"
	"cottonplank/internal/scale"
	"cottonplank/internal/standin"

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
	recorder *rules.Recorder
	front    *standin.Front
	tally    standin.Tally
	result   ScaleResult

	rooms   []*standin.Room // that exist
	zoneOf  []int           // of each of them
	roster  *standin.Roster
	sources []*standin.Source
	links   []*relay.Link
	ports   []*relay.Port // of the hollow balancers, then of the real ones
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
	events  []scale.Event
	entries []standin.Entry
	drained []bool // of the rooms that exist
	failed  error
	reads   []uint64 // of the ports, at the last look
	kb      [2]*hdrhistogram.Histogram
	began   time.Time
}

func newScaleRun(p Programs, dir string, e ScaleExperiment, say func(string)) *scaleRun {
	s := &scaleRun{e: e, programs: p, dir: dir, say: say, faults: rand.New(rand.NewPCG(e.Seed, 7)), changes: rand.New(rand.NewPCG(e.Seed, 8)), front: standin.NewFront(e.Seed),
		recorder: rules.NewRecorder(rules.Figures{DrainGrace: drainGrace, Slack: ruleSlack}),
		led:      make([]bool, e.Sources), parted: make([]bool, e.Regions), down: make([]bool, e.Hollow), away: make([]bool, e.Zones)}
	for i := range s.led {
		s.led[i] = true
	}
	for i := range s.kb {
		s.kb[i] = hdrhistogram.New(1, 1<<40, 3)
	}
	return s
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

func (s *scaleRun) zoneNames() (all []string) {
	for z := range s.e.Zones {
		all = append(all, zoneName(z))
	}
	return all
}

// full tells whether a hollow balancer's module has the list. They are spread over the zones.
func (s *scaleRun) full(i int) bool { return i < s.e.Modules }

// open starts everything: sources, links, real balancers, hollow ones.
func (s *scaleRun) open(ctx context.Context) error {
	if err := s.list(); err != nil {
		return err
	}
	for z := range s.e.Zones {
		s.links = append(s.links, relay.NewLink(func(p *relay.Port) string { return s.lead(z, p.Balancer) }))
	}
	for i := range s.e.Hollow + s.e.Real {
		p, err := s.links[s.zone(i)].Port(i)
		if err != nil {
			return err
		}
		s.ports = append(s.ports, p)
	}
	s.reads = make([]uint64, len(s.ports))
	list := s.roster.Whole(known)
	s.result.ListKB = float64(len(list)) / kb
	if err := s.openReal(ctx); err != nil {
		return err
	}
	s.say(fmt.Sprintf("%d real balancers serve, each knows %d room servers", s.e.Real, s.e.Servers))
	return s.openHollow(ctx, list)
}

// zone is that of a balancer, as ports number them.
func (s *scaleRun) zone(i int) int {
	if i < s.e.Hollow {
		return s.e.hollowZone(i)
	}
	return s.e.realZone(i - s.e.Hollow)
}

// list makes the room servers, the list and its sources.
func (s *scaleRun) list() error {
	served := map[int]bool{}
	for i := range s.e.Real {
		z := s.e.realZone(i)
		if served[z] {
			continue
		}
		served[z] = true
		for k := range s.e.Rooms {
			room, err := standin.NewRoom(standin.RoomConfig{Name: fmt.Sprintf("s-%d-%d", z, k), Capacity: 2 * s.e.Sessions, Recorder: s.recorder})
			if err != nil {
				return err
			}
			s.rooms, s.zoneOf = append(s.rooms, room), append(s.zoneOf, z)
			s.entries = append(s.entries, standin.Entry{Instance: room.Name(), Address: room.Address(), Zone: zoneName(z), Lifecycle: "active", Weight: 1})
		}
	}
	s.drained = make([]bool, len(s.rooms))
	// Those that do not exist stand where no real balancer would send anybody.
	var zones []int
	for z := range s.e.Zones {
		if !served[z] {
			zones = append(zones, z)
		}
	}
	for i := len(s.rooms); i < s.e.Servers; i++ {
		s.entries = append(s.entries, standin.Entry{Instance: fmt.Sprintf("h-%d", i), Address: nowhere(i), Zone: zoneName(zones[i%len(zones)]),
			Lifecycle: "active", Weight: 1})
	}
	s.roster = standin.NewRoster(s.entries)
	for i := range s.e.Sources {
		source := standin.NewSource(s.roster)
		s.sources = append(s.sources, source)
		for d := range 1 + s.e.Real { // for hollow ones, then for each real one
			var hear func([]standin.Entry)
			if d > 0 {
				hear = s.hear(realName(d - 1))
			}
			if _, err := source.Listen(hear); err != nil {
				return fmt.Errorf("source %d: %w", i, err)
			}
		}
	}
	return nil
}

// nowhere is an address on loopback at which nobody listens, for a room server that does not exist.
func nowhere(i int) string { return fmt.Sprintf("127.%d.%d.%d:1", 1+i>>16&127, i>>8&255, i&255) }

func realName(i int) string { return fmt.Sprintf("n%d", i) }

// hear notes what a real balancer is told of the room servers that exist.
func (s *scaleRun) hear(name string) func([]standin.Entry) {
	exist := map[string]bool{}
	for _, r := range s.rooms {
		exist[r.Name()] = true
	}
	return func(all []standin.Entry) {
		for _, e := range all {
			if !exist[e.Instance] {
				continue
			}
			kind := rules.Told
			if e.Lifecycle == "active" {
				kind = rules.Ready
			}
			s.recorder.Add(rules.Event{Kind: kind, Balancer: name, Server: e.Instance})
		}
	}
}

// lead is where a balancer of a zone finds the list now: at a source of its region where one is there.
func (s *scaleRun) lead(zone, balancer int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	door := max(0, balancer-s.e.Hollow+1)
	region := s.e.region(zone)
	var own, others []int
	for i, ok := range s.led {
		switch {
		case !ok:
		case i%s.e.Regions == region:
			own = append(own, i)
		default:
			others = append(others, i)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return ""
	}
	return s.sources[own[zone%len(own)]].Address(door)
}

func (s *scaleRun) openReal(ctx context.Context) error {
	for i := range s.e.Real {
		b, err := s.serve(ctx, i)
		if err != nil {
			return err
		}
		s.balancers, s.alive = append(s.balancers, b), append(s.alive, true)
		s.front.Add(b.name, b.address)
	}
	return nil
}

// serve starts a real balancer that knows the first list, at free ports. Among thousands of connections one may take
// such a port before the balancer does; it is started at others then.
func (s *scaleRun) serve(ctx context.Context, i int) (b *balancer, err error) {
	e := Experiment{Seed: s.e.Seed, Balancers: s.e.Hollow + s.e.Real, Sessions: s.e.Sessions, Patience: 2000, MemoryMB: 512}
	at := place{zone: zoneName(s.e.realZone(i)), zones: s.zoneNames(), mode: s.e.Mode}
	for range portTries {
		if b, err = newBalancer(s.programs.Balancer, s.dir, realName(i), e, at, s.ports[s.e.Hollow+i].Address, json.RawMessage(s.roster.Whole(known))); err != nil {
			return nil, err
		}
		if err = b.start(ctx); err == nil {
			return b, nil
		}
		if b.process != nil && b.process.Process != nil {
			b.kill()
		}
		if !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
			break
		}
	}
	return nil, err
}

func (s *scaleRun) openHollow(ctx context.Context, list []byte) error {
	setup := scale.Setup{Known: filepath.Join(s.dir, "known.json"), Settings: map[string]string{}}
	if err := os.WriteFile(setup.Known, list, 0o600); err != nil {
		return err
	}
	e := Experiment{Seed: s.e.Seed, Balancers: s.e.Hollow + s.e.Real, Sessions: 1, Patience: 2000, MemoryMB: 512}
	for _, zone := range s.zoneNames() {
		setup.Settings[zone] = filepath.Join(s.dir, zone+".json")
		if err := writeHollow(setup.Settings[zone], e, place{zone: zone, zones: s.zoneNames(), mode: s.e.Mode}); err != nil {
			return err
		}
	}
	for i := 0; i < s.e.Hollow; {
		setup.Full = s.full(i)
		end := min(i+s.e.Each, s.e.Hollow)
		if setup.Full {
			end = min(end, s.e.Modules)
		}
		w, err := startWorker(s.programs.Lab, s.dir, fmt.Sprintf("hollow-%d", len(s.workers)), setup)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		for ; i < end; i++ {
			s.of = append(s.of, w)
		}
	}
	all := make([]int, s.e.Hollow)
	for i := range all {
		all[i] = i
	}
	s.began = time.Now()
	if err := s.start(all); err != nil {
		return err
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for end := time.Now().Add(beginWithin); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-second.C:
		}
		begun, err := s.look()
		if err != nil {
			return err
		}
		s.say(fmt.Sprintf("%4.0f s  %d of %d hollow balancers watch the list", time.Since(s.began).Seconds(), begun, s.e.Hollow))
		s.result.StartS, s.result.NotBegun = time.Since(s.began).Seconds(), s.e.Hollow-begun
		if begun == s.e.Hollow {
			break
		}
	}
	for _, w := range s.workers {
		w.started()
	}
	return nil
}

// writeHollow writes the configuration of the hollow balancers of a place, which have nobody to probe.
func writeHollow(path string, e Experiment, at place) error {
	at.quiet = true
	raw, err := json.Marshal(e.config("hollow", "127.0.0.1:1", "", at, "127.0.0.1:1", nil))
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// start starts hollow balancers.
func (s *scaleRun) start(ids []int) error {
	orders := map[*worker][]scale.Start{}
	for _, i := range ids {
		z := s.e.hollowZone(i)
		orders[s.of[i]] = append(orders[s.of[i]], scale.Start{Balancer: i, Zone: zoneName(z), Address: s.ports[i].Address, Cold: s.cold(i)})
	}
	s.mu.Lock()
	for _, i := range ids {
		s.down[i] = false
	}
	s.reach(ids)
	s.mu.Unlock()
	for w, all := range orders {
		if err := w.orders.Encode(scale.Order{Start: all}); err != nil {
			return fmt.Errorf("hollow balancers: %w", err)
		}
	}
	return nil
}

// cold ones are the last.
func (s *scaleRun) cold(i int) bool { return i >= s.e.Hollow-s.e.Cold }

// stop ends hollow balancers as crashes do.
func (s *scaleRun) stop(ids []int) error {
	orders := map[*worker][]int{}
	for _, i := range ids {
		orders[s.of[i]] = append(orders[s.of[i]], i)
	}
	for w, all := range orders {
		if err := w.orders.Encode(scale.Order{Stop: all}); err != nil {
			return fmt.Errorf("hollow balancers: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range ids {
		s.down[i] = true
	}
	s.reach(ids)
	return nil
}

// reach notes which hollow balancers can be reached now. mu is held.
func (s *scaleRun) reach(ids []int) {
	now := scale.Now()
	for _, i := range ids {
		z := s.e.hollowZone(i)
		kind := scale.Reachable
		if s.down[i] || s.away[z] || s.parted[s.e.region(z)] {
			kind = scale.Cut
		}
		s.events = append(s.events, scale.Event{At: now, Kind: kind, Balancer: i})
	}
}

// in is the hollow balancers that a test of their zone holds for.
func (s *scaleRun) in(test func(zone int) bool) (all []int) {
	for i := range s.e.Hollow {
		if test(s.e.hollowZone(i)) {
			all = append(all, i)
		}
	}
	return all
}

// change publishes one change.
func (s *scaleRun) change(n int) {
	i := len(s.rooms) + s.changes.IntN(max(len(s.entries)-len(s.rooms), 1))
	if n%drainEvery == 0 || len(s.entries) == len(s.rooms) {
		i = s.drainNext()
	}
	e := &s.entries[i]
	if e.Lifecycle == "active" {
		e.Lifecycle = "leaving"
	} else {
		e.Lifecycle = "active"
	}
	if i < len(s.rooms) {
		if s.drained[i] = !s.drained[i]; s.drained[i] {
			s.rooms[i].Drain()
		} else {
			s.rooms[i].Return()
		}
	}
	s.mu.Lock()
	s.events = append(s.events, scale.Event{At: scale.Now(), Kind: scale.Published, Version: s.roster.Publish(*e)})
	s.mu.Unlock()
	s.result.Changes++
	s.spread()
}

// drainNext is a room server that exists: the one that is drained, if any, else one by chance.
func (s *scaleRun) drainNext() int {
	for i, drained := range s.drained {
		if drained {
			return i
		}
	}
	return s.changes.IntN(len(s.rooms))
}

// spread brings the newest list to the sources, at once in the first region, where changes are published.
func (s *scaleRun) spread() {
	v := s.roster.Version()
	for i, source := range s.sources {
		region := i % s.e.Regions
		bring := func() {
			s.mu.Lock()
			parted := s.parted[region]
			s.mu.Unlock()
			if !parted {
				source.Reach(v)
			}
		}
		if region == 0 {
			bring()
		} else {
			time.AfterFunc(millis(s.e.RegionMs), bring)
		}
	}
}

// after does something later, unless the run ends before.
func (s *scaleRun) after(ctx context.Context, d time.Duration, do func() error) {
	s.later.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			if err := do(); err != nil {
				s.mu.Lock()
				s.failed = err
				s.mu.Unlock()
			}
		}
	})
}

func (s *scaleRun) play(ctx context.Context) error {
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	cfg := standin.PlayerConfig{Front: s.front, Recorder: s.recorder, Class: "solo-play", Tenant: "lab", Patience: 2 * time.Second,
		Every: 500 * time.Millisecond, Life: 3 * time.Second, Tally: &s.tally}
	for i := range s.e.Sessions {
		p := standin.NewPlayer(cfg, s.e.Seed*1_000_003+uint64(i), fmt.Sprintf("room-%d", i/4))
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

// befall makes one thing go wrong, and mends it later.
func (s *scaleRun) befall(ctx context.Context, f Fault, at time.Duration) error {
	lasts := time.Duration(f.For * float64(time.Second))
	tell := func(format string, args ...any) {
		s.say(fmt.Sprintf("%4.1f s  ", at.Seconds()) + fmt.Sprintf(format, args...) + fmt.Sprintf(", for %g s", f.For))
	}
	s.result.Faults++
	switch f.Do {
	case "kill":
		ids := s.faults.Perm(s.e.Hollow)[:max(1, int(f.Share*float64(s.e.Hollow)))]
		real := s.faults.IntN(s.e.Real)
		tell("%d hollow balancers and %s are killed", len(ids), realName(real))
		s.kill(real)
		s.after(ctx, lasts, func() error {
			if err := s.start(ids); err != nil {
				return err
			}
			return s.revive(ctx, real)
		})
		return s.stop(ids)
	case "zone":
		z := s.faults.IntN(s.e.Zones)
		var reals []int
		for i := range s.e.Real {
			if s.e.realZone(i) == z {
				reals = append(reals, i)
				s.kill(i)
			}
		}
		ids := s.in(func(zone int) bool { return zone == z })
		tell("zone %s is gone with %d hollow balancers and %d real ones", zoneName(z), len(ids), len(reals))
		s.links[z].Down()
		s.after(ctx, lasts, func() error {
			s.links[z].Up()
			if err := s.start(ids); err != nil {
				return err
			}
			for _, i := range reals {
				if err := s.revive(ctx, i); err != nil {
					return err
				}
			}
			return nil
		})
		return s.stop(ids)
	case "cut":
		region := 1 + s.faults.IntN(s.e.Regions-1)
		ids := s.in(func(zone int) bool { return s.e.region(zone) == region })
		part := func(parted bool) {
			s.mu.Lock()
			s.parted[region] = parted
			s.reach(ids)
			s.mu.Unlock()
		}
		tell("region %d is cut from the others", region)
		part(true)
		s.after(ctx, lasts, func() error {
			part(false)
			s.spread()
			return nil
		})
	case "slow":
		z := s.faults.IntN(s.e.Zones)
		bytes := f.Rate * kb
		if bytes == 0 {
			bytes = lanRate * kb
		}
		tell("the link of zone %s takes %d ms each way", zoneName(z), f.Delay)
		s.links[z].Slow(millis(f.Delay), bytes)
		s.after(ctx, lasts, func() error { s.links[z].Slow(0, 0); return nil })
	case "source":
		i := s.faults.IntN(s.e.Sources)
		lead := func(led bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.led[i] = led
		}
		tell("source %d is gone", i)
		s.sources[i].Stop()
		s.after(ctx, millis(s.e.NoticeMs), func() error { lead(false); return nil })
		s.after(ctx, lasts, func() error {
			defer lead(true)
			return s.sources[i].Start()
		})
	}
	return nil
}

// kill ends a real balancer as a crash does, if it runs.
func (s *scaleRun) kill(i int) {
	s.mu.Lock()
	b, alive := s.balancers[i], s.alive[i]
	s.alive[i] = false
	s.mu.Unlock()
	if !alive {
		return
	}
	s.recorder.Add(rules.Event{Kind: rules.Killed, Balancer: b.name})
	b.kill()
	s.later.Go(func() {
		time.Sleep(millis(s.e.NoticeMs))
		s.front.Remove(b.name)
	})
}

// revive starts a real balancer again, if it does not run.
func (s *scaleRun) revive(ctx context.Context, i int) error {
	s.mu.Lock()
	alive := s.alive[i]
	s.mu.Unlock()
	if alive {
		return nil
	}
	s.recorder.Add(rules.Event{Kind: rules.Fresh, Balancer: realName(i)})
	b, err := s.serve(ctx, i)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.balancers[i], s.alive[i] = b, true
	s.mu.Unlock()
	s.front.Add(b.name, b.address)
	return nil
}

// look reads all counters: once a second. It returns how many hollow balancers watch.
func (s *scaleRun) look() (begun int, err error) {
	rss, err := scale.Resident(os.Getpid())
	if err != nil {
		return 0, err
	}
	for _, w := range s.workers {
		u, grown, err := w.last()
		if err != nil {
			return 0, err
		}
		begun += u.Begun
		rss += u.RSS
		if w.full && u.Hollow > 0 {
			s.result.ControlMB = max(s.result.ControlMB, grown/float64(u.Hollow))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.balancers {
		if !s.alive[i] {
			continue
		}
		if mb, err := scale.Resident(b.process.Process.Pid); err == nil { // it may be on its way down
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
		if err := w.orders.Encode(scale.Order{End: true}); err != nil {
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
