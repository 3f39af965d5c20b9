package httpsource_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"

	"github.com/sirupsen/logrus"
)

// toldAfter is when a change counts as told, after discovery had it and could be reached.
const toldAfter = 6 * time.Second

type noProbes struct{}

func (noProbes) Probe(context.Context, uint64, core.Upstream) {}
func (noProbes) Remove(decide.ServerID)                       {}

// fleet runs so many modules, each with a resolver of its own, that find discovery at one address.
func fleet(t *testing.T, n int, address string, cfg core.Config) (all []*core.Engine) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	cfg.MaxClients, cfg.Log = 10, func(string) {}
	cfg.Settings.Zone, cfg.Settings.Classes = "a", []decide.Class{{Name: "c", LatencyObjective: time.Second}}
	cfg.Settings.Safety.DrainGrace, cfg.Settings.Safety.MaxPollInterval = 500*time.Millisecond, 10*time.Second
	for i := range n {
		cfg.Settings.Seed = uint64(i + 1)
		m, err := core.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r := httpsource.New(address, 0, m, log)
		running.Go(func() { r.Run(ctx) })
		running.Go(func() { m.Run(ctx, noProbes{}, r) })
		all = append(all, m)
	}
	return all
}

// heard waits until each has a list of so many, and tells how long the last one took.
func heard(t *testing.T, all []*core.Engine, entries int) time.Duration {
	t.Helper()
	start, last := time.Now(), time.Duration(0)
	for _, m := range all {
		for m.CurrentSnapshot(time.Second).Listed != entries {
			if time.Since(start) > 60*time.Second {
				t.Fatalf("a list has %d entries, want %d", m.Snapshot().Listed, entries)
			}
			time.Sleep(10 * time.Millisecond)
		}
		last = max(last, time.Since(start))
	}
	return last
}

// In whatever way discovery was away, a change that it has at its return is with every balancer before it counts as told.
// Real sockets: calls refused, reset, answered 503 and never, a machine that is cut off, and one that works through the
// calls in turn and turns away what waited too long.
func TestDiscoveryReturns(t *testing.T) {
	t.Parallel()
	const balancers, down = 12, 9 * time.Second
	for _, c := range []struct {
		name   string
		outage emulator.Outage
		each   time.Duration // what a call takes of its turn; 0: none
		cfg    core.Config
		within time.Duration
	}{
		{"refused", emulator.Refuses, 0, core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}}, toldAfter},
		{"reset", emulator.Resets, 0, core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}}, toldAfter},
		{"503", emulator.Unavailable, 0, core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}}, toldAfter},
		{"hung", emulator.Hangs, 0, core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}}, toldAfter},
		{"cut off", emulator.CutOff, 0, core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}}, toldAfter},
		{"in turn", emulator.Refuses, 250 * time.Millisecond,
			core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}}, toldAfter},
		{"2300", emulator.Refuses, 0, core.Config{Settings: decide.Settings{WatchList: true, Balancers: 2300}}, toldAfter},
		{"polled", emulator.Refuses, 0, core.Config{Settings: decide.Settings{Balancers: 1}}, toldAfter},
		// Pushed: what discovery has counts at once, and nothing new is sent after the grace.
		{"pushed", emulator.Refuses, 0, core.Config{ListPushed: true, Settings: decide.Settings{WatchList: true, Balancers: 300}},
			500 * time.Millisecond},
		{"pushed, 503", emulator.Unavailable, 0,
			core.Config{ListPushed: true, Settings: decide.Settings{WatchList: true, Balancers: 300}}, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := emulator.NewDiscovery(invariants.NewRecorder(invariants.Figures{}))
			d.Tell("s-1", "127.0.0.1:9", "a", "active")
			handler := d.Handler("any")
			if c.each > 0 {
				handler = emulator.InTurn(handler, c.each, time.Second)
			}
			door, err := emulator.NewFaultyListener(handler)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(door.Close)
			all := fleet(t, balancers, door.Address(), c.cfg)
			heard(t, all, 1)
			if err := door.SetOutage(c.outage); err != nil {
				t.Fatal(err)
			}
			d.Tell("s-2", "127.0.0.1:9", "a", "active")
			time.Sleep(down)
			dials, calls := door.Dials.Load(), door.Calls.Load()
			if err := door.SetOutage(emulator.Open); err != nil {
				t.Fatal(err)
			}
			last := heard(t, all, 2)
			t.Logf("last heard after %v; %d connections and %d calls came while it was down", last, dials, calls)
			if last > c.within {
				t.Errorf("the last one heard %v after discovery's return, it counts as told after %v", last, c.within)
			}
		})
	}
}

// The address changes while discovery is down: what the new one has counts from when it could be reached.
func TestMovesWhileDown(t *testing.T) {
	t.Parallel()
	d := emulator.NewDiscovery(invariants.NewRecorder(invariants.Figures{}))
	d.Tell("s-1", "127.0.0.1:9", "a", "active")
	var doors []*emulator.FaultyListener
	for range 2 {
		door, err := emulator.NewFaultyListener(d.Handler("any"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(door.Close)
		doors = append(doors, door)
	}
	all := fleet(t, 12, doors[0].Address(), core.Config{Settings: decide.Settings{WatchList: true, Balancers: 300}})
	heard(t, all, 1)
	for _, door := range doors {
		if err := door.SetOutage(emulator.Refuses); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(4 * time.Second)
	for _, m := range all {
		m.SetDiscoveryAddress(doors[1].Address())
	}
	time.Sleep(4 * time.Second)
	for i := range 4 {
		d.Tell(fmt.Sprint("t-", i), "127.0.0.1:9", "a", "active")
	}
	if err := doors[1].SetOutage(emulator.Open); err != nil {
		t.Fatal(err)
	}
	if last := heard(t, all, 5); last > toldAfter {
		t.Errorf("the last one heard %v after the new discovery's return, it counts as told after %v", last, toldAfter)
	}
	if n := doors[0].Calls.Load(); n > 3*12 {
		t.Errorf("the address that was left got %d calls", n)
	}
}
