package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cottonplank/internal/testbench/emulator"
)

// seedStride is the distance between the first player seeds of consecutive experiment seeds. It exceeds the number of
// players, so that two experiment seeds have no player seed in common. Seeds of network paths have the same stride.
const seedStride = 1_000_003

// play runs the players and the faults of a run that was opened, and completes its result. If ctx ends first, it
// returns the error of ctx.
func (r *run) play(ctx context.Context) error {
	r.recordStatistics()
	playing, stopPlayers := context.WithCancel(ctx)
	var players sync.WaitGroup
	defer players.Wait()
	defer stopPlayers()
	r.startPlayers(playing, &players)
	baseline, err := r.loop(ctx)
	if err != nil {
		return err
	}
	if err := r.readBalancers(); err != nil {
		return err
	}
	final, err := r.readUsage()
	if err != nil {
		return err
	}
	if !baseline.at.IsZero() && len(r.interrupted) == 0 {
		r.calculateCost(baseline, final)
	}
	stopPlayers()
	players.Wait()
	r.delayed.Wait()
	for _, p := range r.players {
		p.Finish()
	}
	r.collectResult()
	return nil
}

// recordStatistics sets the callbacks of statistics that record what the players observe.
func (r *run) recordStatistics() {
	r.statistics.OnResumed = func(d time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.resumeTimes.RecordValue(max(d.Microseconds(), 1))
		if d <= quickResume {
			r.result.ResumedWithin++
		}
	}
	r.statistics.OnStartedOver = func(reason string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Reasons[reason]++
	}
	r.statistics.OnBroken = func(balancer string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.broken[balancer]++
	}
}

// startPlayers starts the players, distributed evenly over the fill time. They play until ctx ends.
func (r *run) startPlayers(ctx context.Context, players *sync.WaitGroup) {
	cfg := emulator.PlayerConfig{
		FrontLayer:      r.frontLayer,
		Recorder:        r.recorder,
		Class:           playerClass,
		Tenant:          tenantName,
		ResumesSessions: r.e.ResumesSessions,
		ClientTimeout:   milliseconds(r.e.ClientTimeoutMs),
		MeanGame:        seconds(r.e.MeanGameSeconds),
		PlayInterval:    milliseconds(r.e.PlayIntervalMs),
		Statistics:      &r.statistics,
	}
	for i := range r.e.Sessions {
		room := fmt.Sprintf("room-%d", i/r.e.GroupSize)
		p := emulator.NewPlayer(cfg, r.e.Seed*seedStride+uint64(i), room)
		r.players = append(r.players, p)
		delay := seconds(float64(i) / float64(r.e.Sessions) * r.e.FillSeconds)
		players.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
				p.Play(ctx)
			}
		})
	}
}

// loop injects the scheduled faults and reports the progress until settleTime after the duration of the run. It
// returns the reading of the counters that it made settleTime after the fill time; the time of the reading is zero if
// the run ended before that.
func (r *run) loop(ctx context.Context) (baseline fleetUsage, err error) {
	start := time.Now()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	end := time.After(r.e.duration() + settleTime)
	filled := time.After(seconds(r.e.FillSeconds) + settleTime)
	var reloads <-chan time.Time
	if r.e.ReloadIntervalSeconds > 0 {
		ticker := time.NewTicker(seconds(r.e.ReloadIntervalSeconds))
		defer ticker.Stop()
		reloads = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return baseline, ctx.Err()
		case <-filled:
			if baseline, err = r.readUsage(); err != nil {
				return baseline, err
			}
		case <-end:
			return baseline, nil
		case <-r.nextFault(start):
			if err := r.injectNext(ctx, time.Since(start)); err != nil {
				return baseline, err
			}
		case <-reloads:
			r.reloadAll()
		case <-second.C:
			r.reportProgress(time.Since(start))
		}
	}
}

// nextFault returns a channel that receives at the time of the next scheduled fault; nil if there is none.
func (r *run) nextFault(start time.Time) <-chan time.Time {
	if len(r.schedule) == 0 {
		return nil
	}
	return time.After(time.Until(start.Add(r.schedule[0].at)))
}

// injectNext injects the next scheduled fault.
func (r *run) injectNext(ctx context.Context, elapsed time.Duration) error {
	next := r.schedule[0]
	r.progress(fmt.Sprintf("%4.1f s  %s", elapsed.Seconds(), next.description))
	if err := next.inject(ctx); err != nil {
		return err
	}
	r.schedule = r.schedule[1:]
	return nil
}

// reportProgress reports the number of established clients, the sum of migrations and broken connections, and the
// counts of sessions that resumed and that started over.
func (r *run) reportProgress(elapsed time.Duration) {
	established := 0
	for _, server := range r.roomServers {
		established += server.Established()
	}
	s := &r.statistics
	r.progress(fmt.Sprintf("%4.0f s  %d of %d play, %d moved, %d resumed, %d started over",
		elapsed.Seconds(), established, r.e.Sessions,
		s.Migrated.Load()+s.Broken.Load(), s.Resumed.Load(), s.StartedOver.Load()))
}
