package experiment

// The faults of a scale run, and how hollow balancers start and end.

import (
	"context"
	"fmt"
	"time"

	"cottonplank/internal/testbench/hollow"
	"cottonplank/internal/testbench/invariants"
)

// start starts hollow balancers.
func (s *scaleRun) start(ids []int) error {
	orders := map[*worker][]hollow.NodeSpec{}
	for _, i := range ids {
		z := s.e.hollowZone(i)
		orders[s.of[i]] = append(orders[s.of[i]], hollow.NodeSpec{ID: i, Zone: zoneName(z), Address: s.ports[i].Address, NoKnownList: s.cold(i)})
	}
	s.mu.Lock()
	for _, i := range ids {
		s.down[i] = false
	}
	s.reach(ids)
	s.mu.Unlock()
	for w, all := range orders {
		if err := w.orders.Encode(hollow.Command{Start: all}); err != nil {
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
		if err := w.orders.Encode(hollow.Command{Stop: all}); err != nil {
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
	now := hollow.Now()
	for _, i := range ids {
		z := s.e.hollowZone(i)
		kind := hollow.NodeReachable
		if s.down[i] || s.away[z] || s.parted[s.e.region(z)] {
			kind = hollow.NodeUnreachable
		}
		s.events = append(s.events, hollow.Event{At: now, Kind: kind, Node: i})
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
		s.links[z].Disconnect()
		s.after(ctx, lasts, func() error {
			s.links[z].Reconnect()
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
		s.links[z].Throttle(millis(f.Delay), bytes)
		s.after(ctx, lasts, func() error { s.links[z].Throttle(0, 0); return nil })
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
	s.recorder.Add(invariants.Event{Kind: invariants.BalancerKilled, Balancer: b.name})
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
	s.recorder.Add(invariants.Event{Kind: invariants.BalancerStarted, Balancer: realName(i)})
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
