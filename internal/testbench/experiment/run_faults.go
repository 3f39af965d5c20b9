package experiment

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"
)

// scheduledFault is a fault, the end of one, or another action that a run executes at a given time.
type scheduledFault struct {
	// at is the time since the start of the run.
	at time.Duration
	// description follows the time in the progress line.
	description string
	inject      func(context.Context) error
}

// sortSchedule sorts faults by their times. Faults at the same time keep their order.
func sortSchedule(faults []scheduledFault) {
	slices.SortStableFunc(faults, func(a, b scheduledFault) int { return cmp.Compare(a.at, b.at) })
}

// inject injects a fault that the experiment's file lists.
func (r *run) inject(ctx context.Context, f Fault) error {
	switch f.Action {
	case actionDrain:
		server := r.roomServers[f.Room]
		r.publishLater(f.Room, emulator.LifecycleLeaving)
		server.Drain()
	case actionEndDrain:
		r.roomServers[f.Room].EndDrain()
		r.publishLater(f.Room, emulator.LifecycleActive)
	case actionCrash:
		server := r.roomServers[f.Room]
		r.publishLater(f.Room, emulator.LifecycleLeft)
		server.Stop()
	case actionKill:
		r.kill(f.Balancer)
	case actionRestart:
		return r.restart(ctx, f.Balancer)
	case actionHotRestart:
		return r.hotRestart(ctx, f.Balancer)
	case actionReplay:
		for _, p := range r.players[:int(f.Fraction*float64(len(r.players)))] {
			p.Replay()
		}
	case actionRotate:
		if err := r.keys.rotate(); err != nil {
			return err
		}
		r.reloadAll()
	}
	return nil
}

// publishLater publishes a new lifecycle of a room server in discovery after the experiment's DiscoveryLagMs.
func (r *run) publishLater(room int, lifecycle string) {
	server := r.roomServers[room]
	r.after(r.e.DiscoveryLagMs, func() { r.discovery.SetLifecycle(server, singleZoneName, lifecycle) })
}

// removeLater removes a balancer from the front layer after the experiment's NoticeMs.
func (r *run) removeLater(b *balancer) {
	r.after(r.e.NoticeMs, func() { r.frontLayer.Remove(b.name) })
}

// kill kills a balancer by SIGKILL, if it runs.
func (r *run) kill(i int) {
	if !r.alive[i] {
		return
	}
	b := r.balancers[i]
	r.recorder.Add(invariants.Event{Kind: invariants.BalancerKilled, Balancer: b.name})
	r.alive[i] = false
	r.killed[b.name] = true
	r.interrupted[b.name] = true
	r.result.Killed++
	b.kill()
	r.removeLater(b)
}

// restart stops a balancer gracefully, if it runs, and starts it again.
func (r *run) restart(ctx context.Context, i int) error {
	b := r.balancers[i]
	r.interrupted[b.name] = true
	if r.alive[i] {
		r.alive[i] = false
		// Health checks fail from the start of the shutdown, and the front layer notices that NoticeMs later. If the
		// balancer was started again by then, the front layer removes the older one of its two entries.
		r.removeLater(b)
		if err := b.stop(); err != nil {
			return err
		}
	}
	r.recorder.Add(invariants.Event{Kind: invariants.BalancerStarted, Balancer: b.name})
	r.beforeStart(i)
	if err := b.start(ctx); err != nil {
		return err
	}
	r.alive[i] = true
	r.frontLayer.Add(b.name, b.address)
	return nil
}

// hotRestart replaces the process of a balancer with a new one, which takes over its sockets.
func (r *run) hotRestart(ctx context.Context, i int) error {
	replacement, err := r.balancers[i].hotRestart(ctx)
	if replacement != nil {
		r.balancers[i] = replacement
	}
	if err != nil {
		return err
	}
	r.result.HotRestarts++
	r.interrupted[replacement.name] = true
	return nil
}

// after calls a function after a number of milliseconds. The run waits for the call before it collects the result; a
// run that fails does not wait.
func (r *run) after(ms int, call func()) {
	r.delayed.Add(1)
	time.AfterFunc(milliseconds(ms), func() {
		defer r.delayed.Done()
		call()
	})
}
