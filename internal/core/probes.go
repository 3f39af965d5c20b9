package core

import (
	"context"
	"time"

	"cottonplank/decide"
)

// probeTimeout is how long a probe waits for its result before it counts as timed out.
const probeTimeout = 200 * time.Millisecond

// probe is a load-report request that waits for its result.
type probe struct {
	server decide.ServerID
	sent   time.Duration
	cancel context.CancelFunc
	timer  *timer
}

// probeTable holds the probes in flight. The event loop owns it.
type probeTable struct {
	bySeq   map[uint64]*probe
	lastSeq uint64
}

func newProbeTable() probeTable {
	return probeTable{bySeq: map[uint64]*probe{}}
}

// startProbe sends a probe to a server. It does nothing if the engine no longer knows the server.
func (e *Engine) startProbe(server decide.ServerID) {
	u := e.upstreams.byID[server]
	if u == nil {
		return
	}
	e.statistics.counters.Probes++
	e.probes.lastSeq++
	seq := e.probes.lastSeq
	ctx, cancel := context.WithCancel(e.ctx)
	p := &probe{server: server, sent: e.now, cancel: cancel}
	p.timer = e.timers.set(e.now+probeTimeout, func() { e.probeCompleted(seq, decide.TimedOut, decide.NoLoadReport) })
	e.probes.bySeq[seq] = p
	e.prober.Probe(ctx, seq, u.Upstream)
}

// ProbeCompleted delivers the result of probe seq. A result that arrives after the probe's time-out is ignored.
func (e *Engine) ProbeCompleted(seq uint64, code decide.Code, report decide.LoadReport) {
	e.post(func() { e.probeCompleted(seq, code, report) })
}

func (e *Engine) probeCompleted(seq uint64, code decide.Code, report decide.LoadReport) {
	p := e.probes.bySeq[seq]
	if p == nil {
		return
	}
	delete(e.probes.bySeq, seq)
	e.timers.stop(p.timer)
	p.cancel()
	if u := e.upstreams.byID[p.server]; u != nil && report.Load >= 0 {
		u.load = report.Load
	}
	e.handle(decide.ProbeCompleted{Server: p.server, Code: code, Elapsed: e.now - p.sent, Report: report})
}
