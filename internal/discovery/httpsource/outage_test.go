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
	"cottonplank/internal/testbench/stub"

	"github.com/sirupsen/logrus"
)

const (
	// observedWithin is how long a balancer may take to observe a change. The time starts when the discovery service
	// has the change and can be reached.
	observedWithin = 6 * time.Second

	// drainGrace is how long after the start of its drain an endpoint may still get new requests.
	drainGrace = 500 * time.Millisecond

	// balancers is the number of engines that a test runs.
	balancers = 12

	// fleetSize is the configured number of balancers in tests that do not vary it. The higher it is, the longer is
	// the time over which the reconnects to discovery are spread.
	fleetSize = 300
)

// watchingConfig returns a configuration with a watch.
func watchingConfig(fleetSize int) core.Config {
	return core.Config{Settings: decide.Settings{WatchList: true, Balancers: fleetSize}}
}

// pushedConfig returns a configuration with a watch for a list whose changes take effect immediately.
func pushedConfig() core.Config {
	config := watchingConfig(fleetSize)
	config.ListPushed = true
	return config
}

// startBalancers runs engines until the test ends, each with a source of the discovery service at an address.
func startBalancers(t *testing.T, address string, config core.Config) []*core.Engine {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	config.MaxClients = 10
	config.Log = func(string) {}
	config.Settings.Zone = "a"
	config.Settings.Classes = []decide.Class{{Name: "c", LatencyObjective: time.Second}}
	config.Settings.Safety.DrainGrace = drainGrace
	config.Settings.Safety.MaxPollInterval = 10 * time.Second
	var engines []*core.Engine
	for i := range balancers {
		config.Settings.Seed = uint64(i + 1)
		engine, err := core.New(config)
		if err != nil {
			t.Fatal(err)
		}
		source := httpsource.New(address, 0, engine, log)
		running.Go(func() { source.Run(ctx) })
		running.Go(func() { engine.Run(ctx, stub.Prober{}, source) })
		engines = append(engines, engine)
	}
	return engines
}

// waitForList waits until each engine has a list of the given length. It returns how long that took.
func waitForList(t *testing.T, engines []*core.Engine, length int) time.Duration {
	t.Helper()
	start, last := time.Now(), time.Duration(0)
	for _, engine := range engines {
		for engine.CurrentSnapshot(time.Second).Listed != length {
			if time.Since(start) > 60*time.Second {
				t.Fatalf("a balancer has a list of %d entries after 60 s, want %d", engine.Snapshot().Listed, length)
			}
			time.Sleep(10 * time.Millisecond)
		}
		last = max(last, time.Since(start))
	}
	return last
}

func setOutage(t *testing.T, listener *emulator.FaultyListener, outage emulator.Outage) {
	t.Helper()
	if err := listener.SetOutage(outage); err != nil {
		t.Fatal(err)
	}
}

// newFaultyListener returns a listener for the service that can simulate outages. If callTime is above 0, the service
// handles calls sequentially and takes callTime for each.
func newFaultyListener(t *testing.T, service *emulator.Discovery, callTime time.Duration) *emulator.FaultyListener {
	t.Helper()
	handler := service.Handler("any")
	if callTime > 0 {
		handler = emulator.Serialized(handler, callTime, time.Second)
	}
	listener, err := emulator.NewFaultyListener(handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	return listener
}

// After an outage of any kind, all balancers observe in time a change that the discovery service got during the outage.
// A balancer would be late if it waited too long before it reconnects, or if the reconnects of all balancers overloaded
// the service.
func TestDiscoveryReturns(t *testing.T) {
	t.Parallel()
	const downtime = 9 * time.Second
	for _, test := range []struct {
		name     string
		outage   emulator.Outage
		callTime time.Duration // how long the service takes for a call, one call at a time; 0: calls are concurrent
		config   core.Config
		within   time.Duration
	}{
		{"refused", emulator.RefuseConnections, 0, watchingConfig(fleetSize), observedWithin},
		{"reset", emulator.ResetConnections, 0, watchingConfig(fleetSize), observedWithin},
		{"503", emulator.ServiceUnavailable, 0, watchingConfig(fleetSize), observedWithin},
		{"hung", emulator.NoResponse, 0, watchingConfig(fleetSize), observedWithin},
		{"cut off", emulator.NetworkCut, 0, watchingConfig(fleetSize), observedWithin},
		{"sequential", emulator.RefuseConnections, 250 * time.Millisecond, watchingConfig(fleetSize), observedWithin},
		{"2300", emulator.RefuseConnections, 0, watchingConfig(2300), observedWithin},
		{"polled", emulator.RefuseConnections, 0, core.Config{Settings: decide.Settings{Balancers: 1}}, observedWithin},
		// The change takes effect as soon as discovery has it, so it must be observed within the drain grace.
		{"pushed", emulator.RefuseConnections, 0, pushedConfig(), drainGrace},
		{"pushed, 503", emulator.ServiceUnavailable, 0, pushedConfig(), drainGrace},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			service := emulator.NewDiscovery(invariants.NewRecorder(invariants.Limits{}))
			service.PutServer("s-1", "127.0.0.1:9", "a", "active")
			listener := newFaultyListener(t, service, test.callTime)
			engines := startBalancers(t, listener.Address(), test.config)
			waitForList(t, engines, 1)
			setOutage(t, listener, test.outage)
			service.PutServer("s-2", "127.0.0.1:9", "a", "active")
			time.Sleep(downtime)
			dials, calls := listener.Dials.Load(), listener.Calls.Load()
			setOutage(t, listener, emulator.NoOutage)
			last := waitForList(t, engines, 2)
			t.Logf("last observed after %v; %d connections and %d calls during the outage", last, dials, calls)
			if last > test.within {
				t.Errorf("the last balancer observed the change %v after the outage, want at most %v", last, test.within)
			}
		})
	}
}

// If the address of the discovery service changes during an outage, all balancers observe the list's changes in time
// after the service can be reached at the new address, and stop calling the previous address.
func TestSetAddressDuringOutage(t *testing.T) {
	t.Parallel()
	service := emulator.NewDiscovery(invariants.NewRecorder(invariants.Limits{}))
	service.PutServer("s-1", "127.0.0.1:9", "a", "active")
	oldListener, newListener := newFaultyListener(t, service, 0), newFaultyListener(t, service, 0)
	engines := startBalancers(t, oldListener.Address(), watchingConfig(fleetSize))
	waitForList(t, engines, 1)
	setOutage(t, oldListener, emulator.RefuseConnections)
	setOutage(t, newListener, emulator.RefuseConnections)
	time.Sleep(4 * time.Second)
	for _, engine := range engines {
		engine.SetDiscoveryAddress(newListener.Address())
	}
	time.Sleep(4 * time.Second)
	for i := range 4 {
		service.PutServer(fmt.Sprint("t-", i), "127.0.0.1:9", "a", "active")
	}
	setOutage(t, newListener, emulator.NoOutage)
	if last := waitForList(t, engines, 5); last > observedWithin {
		t.Errorf("the last balancer observed the changes %v after the outage, want at most %v", last, observedWithin)
	}
	if calls := oldListener.Calls.Load(); calls > 3*balancers {
		t.Errorf("the previous address got %d calls, want at most three from each balancer", calls)
	}
}
