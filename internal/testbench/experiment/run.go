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

// The figures of the rules, as on the platform.
const (
	drainGrace = 500 * time.Millisecond
	ruleSlack  = 50 * time.Millisecond
	within     = 500 * time.Millisecond // a session that is back by then was moved well
	settle     = 2 * time.Second        // after the last second, for moves under way
)

// Run plays an experiment with the balancer's program. say gets a line now and then.
func Run(ctx context.Context, program string, e Experiment, say func(string)) (Result, error) {
	dir, err := os.MkdirTemp("", "cottonplank-lab-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	r := newRun(program, dir, e, say)
	defer r.close()
	if err := r.open(ctx); err != nil {
		return r.result, err
	}
	err = r.play(ctx)
	return r.result, err
}

// newRun returns an experiment that open starts.
func newRun(program, dir string, e Experiment, say func(string)) *run {
	return &run{e: e, program: program, dir: dir, say: say,
		recorder: invariants.NewRecorder(invariants.Figures{DrainGrace: drainGrace, Slack: ruleSlack}), front: emulator.NewFrontLayer(e.Seed),
		killed: map[string]bool{}, ended: map[string]bool{}, broke: map[string]int{}, keys: keys{path: filepath.Join(dir, "keys.json")},
		result:  Result{Name: e.Name, Tokens: e.Tokens, Sessions: e.Sessions, Reasons: map[string]int{}, Balancers: map[string]uint64{}},
		took:    hdrhistogram.New(1, 60_000_000, 3),
		prepare: func(int, *balancer) error { return nil }, started: func(int) {}}
}

// run is one experiment while it is played.
type run struct {
	e         Experiment
	program   string
	dir       string
	say       func(string)
	recorder  *invariants.Recorder
	front     *emulator.FrontLayer
	discovery *emulator.Discovery
	rooms     []*emulator.RoomServer
	balancers []*balancer
	alive     []bool
	keys      keys
	players   []*emulator.Player
	tally     emulator.Statistics
	lagging   sync.WaitGroup
	killed    map[string]bool // by kill -9
	ended     map[string]bool // processes that did not live throughout
	broke     map[string]int  // connections, by balancer
	asked     int             // balancers whose figures were read
	collapses int             // violations that are room servers overloaded while they warmed up

	prepare func(i int, b *balancer) error // called before a balancer's first start
	started func(i int)                    // called as its processes start

	mu     sync.Mutex // of what the tally's functions write
	took   *hdrhistogram.Histogram
	result Result
}

// open starts the room servers, discovery and the balancers.
func (r *run) open(ctx context.Context) (err error) {
	r.discovery = emulator.NewDiscovery(r.recorder)
	for i := range r.e.Rooms {
		room, err := emulator.NewRoomServer(emulator.RoomServerConfig{Name: fmt.Sprintf("s-%d", i), Capacity: r.e.Capacity, Keeps: true,
			State: r.e.State, Recorder: r.recorder})
		if err != nil {
			return err
		}
		r.rooms = append(r.rooms, room)
		r.discovery.SetLifecycle(room, "a", "active")
	}
	if err := r.keys.add(); err != nil {
		return err
	}
	sections := map[string]any{}
	if r.e.Tokens {
		sections["resume"] = map[string]any{"keys": "keys.json", "site": "lab", "max_state_bytes": max(r.e.State, 8)}
	}
	if r.e.ListFile {
		sections["rooms"] = map[string]any{"file": "rooms.json"}
		if err := r.writeRooms(); err != nil {
			return err
		}
	}
	fronts, err := json.Marshal(sections)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, "fronts.json"), fronts, 0o600); err != nil {
		return err
	}
	for i := range r.e.Balancers {
		name := fmt.Sprintf("n%d", i)
		discovery, err := r.discovery.For(name)
		if err != nil {
			return err
		}
		b, err := newBalancer(r.program, r.dir, name, r.e, onlyPlace, discovery, r.discovery.Known())
		if err != nil {
			return err
		}
		if err := r.prepare(i, b); err != nil {
			return err
		}
		r.started(i)
		if err := b.start(ctx); err != nil {
			return err
		}
		r.balancers, r.alive = append(r.balancers, b), append(r.alive, true)
		r.front.Add(b.name, b.address)
	}
	return nil
}

// writeRooms replaces the list file.
func (r *run) writeRooms() error {
	var rooms []map[string]any
	for _, room := range r.rooms {
		rooms = append(rooms, map[string]any{"name": room.Name(), "address": room.Address(), "zone": "a"})
	}
	raw, err := json.Marshal(map[string]any{"rooms": rooms})
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, "rooms.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// hangUp sends SIGHUP to all balancers.
func (r *run) hangUp() {
	for i, b := range r.balancers {
		if r.alive[i] {
			b.process.Process.Signal(syscall.SIGHUP)
		}
	}
}

// close ends all that open started.
func (r *run) close() {
	var all sync.WaitGroup
	for i, b := range r.balancers {
		if r.alive[i] {
			all.Go(func() { b.stop() })
		}
	}
	all.Wait()
	for _, room := range r.rooms {
		room.Stop()
	}
	if r.discovery != nil {
		r.discovery.Stop()
	}
}

func (r *run) play(ctx context.Context) error {
	r.tally.OnResumed = func(d time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.took.RecordValue(max(d.Microseconds(), 1))
		if d <= within {
			r.result.ResumedWithin++
		}
	}
	r.tally.OnStartedOver = func(reason string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Reasons[reason]++
	}
	r.tally.OnBroken = func(name string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.broke[name]++
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	cfg := emulator.PlayerConfig{FrontLayer: r.front, Recorder: r.recorder, Class: "solo-play", Tenant: "lab", ResumesSessions: r.e.Tokens,
		ClientTimeout: millis(r.e.Patience), MeanGame: time.Duration(r.e.Life * float64(time.Second)), PlayInterval: millis(r.e.Every), Statistics: &r.tally}
	for i := range r.e.Sessions {
		p := emulator.NewPlayer(cfg, r.e.Seed*1_000_003+uint64(i), fmt.Sprintf("room-%d", i/r.e.Group))
		r.players = append(r.players, p)
		comes := time.Duration(float64(i) / float64(r.e.Sessions) * r.e.Fill * float64(time.Second))
		all.Go(func() {
			select {
			case <-playing.Done():
			case <-time.After(comes):
				p.Play(playing)
			}
		})
	}
	start := time.Now()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	troubles := r.e.Troubles
	end := time.After(r.e.length() + settle)
	filled := time.After(time.Duration(r.e.Fill*float64(time.Second)) + settle)
	var from reading
	var hangups <-chan time.Time
	if r.e.Reload > 0 {
		ticker := time.NewTicker(time.Duration(r.e.Reload * float64(time.Second)))
		defer ticker.Stop()
		hangups = ticker.C
	}
	for running := true; running; {
		var due <-chan time.Time
		if len(troubles) > 0 {
			due = time.After(time.Until(start.Add(time.Duration(troubles[0].At * float64(time.Second)))))
		}
		select {
		case <-ctx.Done():
			stop()
			all.Wait()
			return ctx.Err()
		case <-filled:
			var err error
			if from, err = r.look(); err != nil {
				return err
			}
		case <-end:
			running = false
		case <-due:
			r.say(fmt.Sprintf("%4.1f s  %s", time.Since(start).Seconds(), troubles[0]))
			if err := r.trouble(ctx, troubles[0]); err != nil {
				return err
			}
			troubles = troubles[1:]
		case <-hangups:
			r.hangUp()
		case <-second.C:
			r.progress(time.Since(start))
		}
	}
	for i, b := range r.balancers {
		if r.alive[i] {
			if err := r.read(b); err != nil {
				return err
			}
		}
	}
	to, err := r.look()
	if err != nil {
		return err
	}
	if !from.at.IsZero() && len(r.ended) == 0 {
		r.cost(from, to)
	}
	stop()
	all.Wait()
	r.lagging.Wait()
	for _, p := range r.players {
		p.Finish()
	}
	r.finish()
	return nil
}

// read takes a balancer's own counts and its memory.
func (r *run) read(b *balancer) error {
	before := r.result.Balancers["generation"]
	if err := b.figures(r.result.Balancers); err != nil {
		return err
	}
	rss, _, _, err := b.usage()
	if err != nil {
		return err
	}
	res := &r.result
	r.asked++
	res.RSS += (rss - res.RSS) / float64(r.asked)
	if now := r.result.Balancers["generation"]; now > before {
		reloads := now - before - 1
		if res.Reloads += reloads; !r.ended[b.name] && (res.ReloadsLeast == 0 || reloads < res.ReloadsLeast) {
			res.ReloadsLeast = reloads
		}
	}
	return nil
}

// trouble makes one thing go wrong.
func (r *run) trouble(ctx context.Context, t Trouble) error {
	if t.act != nil {
		return t.act(ctx)
	}
	switch t.Do {
	case "drain":
		room := r.rooms[t.Room]
		r.later(r.e.RollLag, func() { r.discovery.SetLifecycle(room, "a", "leaving") })
		room.Drain()
	case "return":
		r.rooms[t.Room].EndDrain()
		r.later(r.e.RollLag, func() { r.discovery.SetLifecycle(r.rooms[t.Room], "a", "active") })
	case "crash":
		room := r.rooms[t.Room]
		r.later(r.e.RollLag, func() { r.discovery.SetLifecycle(room, "a", "left") })
		room.Stop()
	case "kill":
		if r.alive[t.Balancer] {
			b := r.balancers[t.Balancer]
			r.recorder.Add(invariants.Event{Kind: invariants.BalancerKilled, Balancer: b.name})
			r.alive[t.Balancer] = false
			r.killed[b.name], r.ended[b.name] = true, true
			r.result.Killed++
			b.kill()
			r.later(r.e.Notice, func() { r.front.Remove(b.name) })
		}
	case "restart":
		b := r.balancers[t.Balancer]
		r.ended[b.name] = true
		if r.alive[t.Balancer] {
			r.alive[t.Balancer] = false
			// The front deals it no more once its PING says no, as the platform's does.
			r.later(r.e.Notice, func() { r.front.Remove(b.name) })
			if err := b.stop(); err != nil {
				return err
			}
		}
		r.recorder.Add(invariants.Event{Kind: invariants.BalancerStarted, Balancer: b.name})
		r.started(t.Balancer)
		if err := b.start(ctx); err != nil {
			return err
		}
		r.alive[t.Balancer] = true
		r.front.Add(b.name, b.address)
	case "replay":
		for _, p := range r.players[:int(t.Share*float64(len(r.players)))] {
			p.Replay()
		}
	case "rotate":
		if err := r.keys.add(); err != nil {
			return err
		}
		r.hangUp()
	case "renew":
		b, err := r.balancers[t.Balancer].renew(ctx)
		if b != nil {
			r.balancers[t.Balancer] = b
		}
		if err != nil {
			return err
		}
		r.result.Renewed++
		r.ended[b.name] = true
	}
	return nil
}

// later does something after a lag.
func (r *run) later(ms int, do func()) {
	r.lagging.Add(1)
	time.AfterFunc(millis(ms), func() {
		defer r.lagging.Done()
		do()
	})
}

func (r *run) progress(at time.Duration) {
	open := 0
	for _, room := range r.rooms {
		open += room.Established()
	}
	r.say(fmt.Sprintf("%4.0f s  %d of %d play, %d moved, %d resumed, %d started over", at.Seconds(), open, r.e.Sessions,
		r.tally.Migrated.Load()+r.tally.Broken.Load(), r.tally.Resumed.Load(), r.tally.StartedOver.Load()))
}

// finish reads the counts off.
func (r *run) finish() {
	report := r.recorder.Report()
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &r.result
	res.Moved = int(r.tally.Migrated.Load() + r.tally.Broken.Load())
	res.Resumed, res.StartedOver = int(r.tally.Resumed.Load()), int(r.tally.StartedOver.Load())
	res.Refused, res.Failed = int(r.tally.Rejected.Load()), int(r.tally.Failed.Load())
	res.Raced, res.RacedUp = int(r.tally.RacedTokens.Load()), int(r.tally.RacesWon.Load())
	res.Replays, res.ReplaysUp = int(r.tally.ReplayedTokens.Load()), int(r.tally.ReplaysAccepted.Load())
	res.Instances, res.Over = r.e.Balancers, int(r.tally.GamesEnded.Load())
	res.Answers, res.LostAnswers = int(r.tally.Answers.Load()), report.UnansweredRequests
	for name, n := range r.broke {
		if !r.killed[name] {
			res.BrokenUnmoved += n
		}
	}
	res.AttachedTwice, res.Lost = report.DoubleAttachments+report.EpochRegressions, report.LostSessions
	r.collapses = report.Collapses
	res.RulesBroken, res.Broken = len(report.Violations), report.Violations
	if r.took.TotalCount() > 0 {
		res.P50 = float64(r.took.ValueAtQuantile(50)) / 1000
		res.P99 = float64(r.took.ValueAtQuantile(99)) / 1000
	}
}
