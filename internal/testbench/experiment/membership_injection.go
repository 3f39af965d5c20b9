package experiment

import (
	"context"
	"syscall"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"
)

const (
	// pauseNotice is how long before a pause the front layer stops sending clients to the instance.
	pauseNotice = 150 * time.Millisecond
	// warmSetupRate is the number of connections per second that an added room server can establish when it is warm.
	warmSetupRate = 30
)

// scheduleFaults adds the faults, their ends, and the event faultsEnded after the last fault to the base run's
// schedule.
func (m *membershipRun) scheduleFaults() {
	last := time.Duration(0)
	for _, f := range m.faults {
		m.schedule(f.At, f.String(), func(ctx context.Context) error { return m.begin(ctx, f) })
		if f.For > 0 {
			m.schedule(f.At+f.For, "end of "+f.String(), func(context.Context) error {
				m.end(f)
				return nil
			})
		}
		last = max(last, f.At+f.For)
	}
	m.schedule(last+time.Millisecond, "the last fault has ended", func(context.Context) error {
		m.record(membershipEvent{Kind: faultsEnded})
		return nil
	})
	sortSchedule(m.base.schedule)
}

// schedule adds an entry to the base run's schedule. The caller must sort the schedule afterwards.
func (m *membershipRun) schedule(at time.Duration, description string, inject func(context.Context) error) {
	m.base.schedule = append(m.base.schedule, scheduledFault{at: at, description: description, inject: inject})
}

// begin begins a fault. Pauses and restarts of instances that are paused or not running are skipped.
func (m *membershipRun) begin(ctx context.Context, f membershipFault) error {
	switch f.Kind {
	case faultKill:
		m.kill(f.Members[0])
	case faultRestart:
		return m.restart(ctx, f.Members[0])
	case faultStop:
		m.stop(f.Members[0])
	case faultPause:
		for _, i := range f.Members {
			m.pause(i)
		}
	case faultNewRoomServer:
		return m.addRoomServer()
	default:
		m.network.begin(f, m.record)
	}
	return nil
}

// end ends a fault. Known fault: a pause that was skipped still ends at its scheduled time. If another fault has paused
// the instance at that time, the instance is resumed too early.
func (m *membershipRun) end(f membershipFault) {
	if f.Kind != faultPause {
		m.network.end(f, m.record)
		return
	}
	for _, i := range f.Members {
		m.resume(i)
	}
}

// kill records the kill of an instance and kills it by SIGKILL.
func (m *membershipRun) kill(i int) {
	m.record(membershipEvent{Kind: memberKilled, Member: i})
	m.base.kill(i)
}

// restart kills an instance by SIGKILL and starts it again, unless it is paused or not running.
func (m *membershipRun) restart(ctx context.Context, i int) error {
	if !m.base.alive[i] || m.paused[i] {
		return nil
	}
	m.kill(i)
	return m.base.restart(ctx, i)
}

// stop begins the graceful shutdown of an instance and does not wait for its end.
func (m *membershipRun) stop(i int) {
	b := m.base.balancers[i]
	m.base.frontLayer.Remove(b.name)
	m.base.alive[i] = false
	m.base.interrupted[b.name] = true
	m.record(membershipEvent{Kind: memberStopped, Member: i})
	m.base.delayed.Go(func() { b.stop() })
}

// pause pauses a running instance by SIGSTOP. The front layer sends it no clients during the pause. The pause is
// recorded as a kill for the invariants, so that the requests that it leaves without an answer are excused.
func (m *membershipRun) pause(i int) {
	if !m.base.alive[i] || m.paused[i] {
		return
	}
	b := m.base.balancers[i]
	m.paused[i] = true
	m.base.frontLayer.Remove(b.name)
	time.Sleep(pauseNotice)
	m.base.recorder.Add(invariants.Event{Kind: invariants.BalancerKilled, Balancer: b.name})
	b.signal(syscall.SIGSTOP)
	m.record(membershipEvent{Kind: memberPaused, Member: i})
}

// resume continues a paused instance by SIGCONT, and returns it to the front layer. It is recorded as a start for the
// invariants.
func (m *membershipRun) resume(i int) {
	if !m.paused[i] {
		return
	}
	b := m.base.balancers[i]
	m.paused[i] = false
	b.signal(syscall.SIGCONT)
	m.record(membershipEvent{Kind: memberResumed, Member: i})
	m.base.recorder.Add(invariants.Event{Kind: invariants.BalancerStarted, Balancer: b.name})
	m.base.frontLayer.Add(b.name, b.address)
}

// addRoomServer starts a cold room server, which must warm up, and publishes it.
func (m *membershipRun) addRoomServer() error {
	return m.base.startRoomServer(emulator.RoomServerConfig{
		Name:           roomServerName(len(m.base.roomServers)),
		Capacity:       m.base.e.Capacity,
		Recorder:       m.base.recorder,
		SetupRate:      warmSetupRate,
		WarmupFraction: warmupFraction,
		WarmupTime:     warmupTime,
		CollapseFactor: collapseFactor,
	})
}
