package experiment

import (
	"context"
	"fmt"
	"time"

	"cottonplank/internal/testbench/hollow"
	"cottonplank/internal/testbench/invariants"
)

// localNetworkKBPerSecond is the bandwidth of a slow link if the experiment sets none. It is that of a local network.
const localNetworkKBPerSecond = 1 << 20

// inject injects a fault and schedules its end.
func (s *scaleRun) inject(ctx context.Context, f ScaleFault, elapsed time.Duration) error {
	s.result.Faults++
	report := func(format string, args ...any) {
		s.progress(fmt.Sprintf("%4.1f s  %s, for %g s", elapsed.Seconds(), fmt.Sprintf(format, args...), f.Seconds))
	}
	switch f.Action {
	case scaleKill:
		return s.killBalancers(ctx, f, report)
	case scaleZoneOutage:
		return s.disconnectZone(ctx, f, report)
	case scaleRegionCut:
		s.cutRegion(ctx, f, report)
	case scaleSlowLink:
		s.slowLink(ctx, f, report)
	case scaleServerFailure:
		s.crashListServer(ctx, f, report)
	}
	return nil
}

// reportFunc reports the description of a fault as a progress line.
type reportFunc func(format string, args ...any)

// killBalancers kills a fraction of the hollow nodes and one real balancer, and starts them again later.
func (s *scaleRun) killBalancers(ctx context.Context, f ScaleFault, report reportFunc) error {
	count := max(1, int(f.Fraction*float64(s.e.HollowNodes)))
	nodes := s.faultRNG.Perm(s.e.HollowNodes)[:count]
	realBalancer := s.faultRNG.IntN(s.e.RealBalancers)
	report("%d hollow balancers and real balancer %s are killed", len(nodes), balancerName(realBalancer))
	s.killBalancer(realBalancer)
	s.after(ctx, seconds(f.Seconds), func() error {
		if err := s.startNodes(nodes); err != nil {
			return err
		}
		return s.restartBalancer(ctx, realBalancer)
	})
	return s.stopNodes(nodes)
}

// disconnectZone kills all balancers of a zone and disconnects its link, and reverses both later.
func (s *scaleRun) disconnectZone(ctx context.Context, f ScaleFault, report reportFunc) error {
	zone := s.faultRNG.IntN(s.e.Zones)
	var realBalancers []int
	for i := range s.e.RealBalancers {
		if s.e.realZone(i) == zone {
			realBalancers = append(realBalancers, i)
			s.killBalancer(i)
		}
	}
	nodes := s.nodesIn(func(z int) bool { return z == zone })
	report("outage of zone %s with %d hollow balancers and %d real ones", zoneName(zone), len(nodes), len(realBalancers))
	s.links[zone].Disconnect()
	s.after(ctx, seconds(f.Seconds), func() error {
		s.links[zone].Reconnect()
		if err := s.startNodes(nodes); err != nil {
			return err
		}
		for _, i := range realBalancers {
			if err := s.restartBalancer(ctx, i); err != nil {
				return err
			}
		}
		return nil
	})
	return s.stopNodes(nodes)
}

// cutRegion stops the replication of changes to a region other than the first, and resumes it later.
func (s *scaleRun) cutRegion(ctx context.Context, f ScaleFault, report reportFunc) {
	region := 1 + s.faultRNG.IntN(s.e.Regions-1)
	nodes := s.nodesIn(func(zone int) bool { return s.e.region(zone) == region })
	setCut := func(cut bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.regionCut[region] = cut
		s.recordReachability(nodes)
	}
	report("changes of the list are not replicated to region %d", region)
	setCut(true)
	s.after(ctx, seconds(f.Seconds), func() error {
		setCut(false)
		s.replicate()
		return nil
	})
}

// slowLink makes the link of a zone slow for some time.
func (s *scaleRun) slowLink(ctx context.Context, f ScaleFault, report reportFunc) {
	zone := s.faultRNG.IntN(s.e.Zones)
	bandwidth := f.KBPerSecond
	if bandwidth == 0 {
		bandwidth = localNetworkKBPerSecond
	}
	report("the link of zone %s has %d ms more latency in each direction", zoneName(zone), f.DelayMs)
	s.links[zone].Throttle(milliseconds(f.DelayMs), bandwidth*bytesPerKB)
	s.after(ctx, seconds(f.Seconds), func() error {
		s.links[zone].Throttle(0, 0)
		return nil
	})
}

// crashListServer stops a list server and starts it again later. Links connect to other list servers after NoticeMs.
// Known fault: if the fault is shorter than NoticeMs, links do not connect to the list server again.
func (s *scaleRun) crashListServer(ctx context.Context, f ScaleFault, report reportFunc) {
	i := s.faultRNG.IntN(s.e.ListServers)
	setUp := func(up bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.serverUp[i] = up
	}
	report("list server %d is stopped", i)
	s.listServers[i].Stop()
	s.after(ctx, milliseconds(s.e.NoticeMs), func() error {
		setUp(false)
		return nil
	})
	s.after(ctx, seconds(f.Seconds), func() error {
		defer setUp(true)
		return s.listServers[i].Start()
	})
}

// after calls a function after a delay, unless ctx ends first. If the function fails, the next call of readCounters
// returns its error, which ends the run.
func (s *scaleRun) after(ctx context.Context, delay time.Duration, call func() error) {
	s.background.Go(func() {
		if sleep(ctx, delay) != nil {
			return
		}
		if err := call(); err != nil {
			s.mu.Lock()
			s.failure = err
			s.mu.Unlock()
		}
	})
}

// killBalancer kills a real balancer, if it runs, and removes it from the front layer after NoticeMs.
func (s *scaleRun) killBalancer(i int) {
	s.mu.Lock()
	b, alive := s.balancers[i], s.alive[i]
	s.alive[i] = false
	s.mu.Unlock()
	if !alive {
		return
	}
	s.recorder.Add(invariants.Event{Kind: invariants.BalancerKilled, Balancer: b.name})
	b.kill()
	s.background.Go(func() {
		time.Sleep(milliseconds(s.e.NoticeMs))
		s.frontLayer.Remove(b.name)
	})
}

// restartBalancer starts a real balancer again after a kill, unless it runs.
func (s *scaleRun) restartBalancer(ctx context.Context, i int) error {
	s.mu.Lock()
	alive := s.alive[i]
	s.mu.Unlock()
	if alive {
		return nil
	}
	s.recorder.Add(invariants.Event{Kind: invariants.BalancerStarted, Balancer: balancerName(i)})
	b, err := s.startBalancer(ctx, i)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.balancers[i], s.alive[i] = b, true
	s.mu.Unlock()
	s.frontLayer.Add(b.name, b.address)
	return nil
}

// startNodes makes the workers of hollow nodes start them.
func (s *scaleRun) startNodes(nodes []int) error {
	specs := map[*workerProcess][]hollow.NodeSpec{}
	for _, i := range nodes {
		w := s.workerOf[i]
		specs[w] = append(specs[w], hollow.NodeSpec{
			ID:          i,
			Zone:        zoneName(s.e.hollowZone(i)),
			Address:     s.ports[i].Address,
			NoKnownList: s.e.noKnownList(i),
		})
	}
	s.setNodesDown(nodes, false)
	for w, nodes := range specs {
		if err := w.send(hollow.Command{Start: nodes}); err != nil {
			return err
		}
	}
	return nil
}

// stopNodes makes the workers of hollow nodes stop them without a graceful shutdown.
func (s *scaleRun) stopNodes(nodes []int) error {
	nodesOf := map[*workerProcess][]int{}
	for _, i := range nodes {
		w := s.workerOf[i]
		nodesOf[w] = append(nodesOf[w], i)
	}
	for w, nodes := range nodesOf {
		if err := w.send(hollow.Command{Stop: nodes}); err != nil {
			return err
		}
	}
	s.setNodesDown(nodes, true)
	return nil
}

// setNodesDown records that hollow nodes were stopped or started.
func (s *scaleRun) setNodesDown(nodes []int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range nodes {
		s.nodeDown[i] = down
	}
	s.recordReachability(nodes)
}

// recordReachability records for hollow nodes whether changes reach them: whether they run and changes are replicated
// to their region. The caller holds mu.
func (s *scaleRun) recordReachability(nodes []int) {
	now := hollow.Now()
	for _, i := range nodes {
		kind := hollow.NodeReachable
		if s.nodeDown[i] || s.regionCut[s.e.region(s.e.hollowZone(i))] {
			kind = hollow.NodeUnreachable
		}
		s.events = append(s.events, hollow.Event{At: now, Kind: kind, Node: i})
	}
}

// nodesIn returns the hollow nodes whose zones satisfy a condition.
func (s *scaleRun) nodesIn(condition func(zone int) bool) (nodes []int) {
	for i := range s.e.HollowNodes {
		if condition(s.e.hollowZone(i)) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}
