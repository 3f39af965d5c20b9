package platform

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/testbench/stub"

	"github.com/sirupsen/logrus"
)

// waitTimeout limits the wait for an event that must happen.
const waitTimeout = 20 * time.Second

// restoreRetryWait is longer than the engine's interval between two attempts to restore a connection.
const restoreRetryWait = 300 * time.Millisecond

// largeBudget is a descriptor budget that no test exhausts by accident.
var largeBudget = DescriptorBudget{Total: 300, DialReserve: 50}

// testNames are the class and the tenant that newRequestLine uses.
var testNames = AllowedNames{Classes: map[string]int{"solo-play": 0}, Tenants: map[string]bool{"familles": true}}

// testBalancer is a running engine with a frontend on a loopback port.
type testBalancer struct {
	engine   *core.Engine
	frontend *Frontend
	pause    *hotrestart.Pauser
	listener *net.TCPListener
	addr     string
	// stop stops the balancer and waits for its goroutines.
	stop func()
}

// testBalancerConfig holds the parameters of startTestBalancer.
type testBalancerConfig struct {
	engine core.Config
	budget DescriptorBudget
	// sessions is nil for a balancer that does not resume sessions.
	sessions *SessionResumer
	// maxProbeConns is 0 for a balancer that does not probe.
	maxProbeConns int
}

// newTestBalancer starts a balancer with the usual settings and with servers as its endpoint list.
func newTestBalancer(t *testing.T, servers ...*fakeServer) *testBalancer {
	t.Helper()
	return newTestBalancerWithBudget(t, largeBudget, servers...)
}

// newTestBalancerWithBudget is like newTestBalancer with another descriptor budget.
func newTestBalancerWithBudget(t *testing.T, budget DescriptorBudget, servers ...*fakeServer) *testBalancer {
	t.Helper()
	return newTestBalancerWithSettings(t, budget, func(*decide.Settings) {}, servers...)
}

// newTestBalancerWithSettings is like newTestBalancerWithBudget with settings that change has modified.
func newTestBalancerWithSettings(
	t *testing.T, budget DescriptorBudget, change func(*decide.Settings), servers ...*fakeServer,
) *testBalancer {
	t.Helper()
	known := []core.Endpoint{}
	for _, server := range servers {
		known = append(known, server.endpoint())
	}
	settings := newTestSettings(300*time.Millisecond, 2*time.Second)
	change(&settings)
	return startTestBalancer(t, testBalancerConfig{
		engine: core.Config{Known: known, MaxClients: 100, Log: func(string) {}, Settings: settings},
		budget: budget,
	})
}

// newTestSettings returns the usual settings, with one request class.
func newTestSettings(latencyObjective, clientTimeout time.Duration) decide.Settings {
	return decide.Settings{
		Seed:          5,
		Zone:          "a",
		MaxAttempts:   3,
		MaxRetryAfter: 1500 * time.Millisecond,
		Classes: []decide.Class{
			{Name: "solo-play", LatencyObjective: latencyObjective, ClientTimeout: clientTimeout},
		},
		Safety: decide.SafetyLimits{
			DrainGrace:               500 * time.Millisecond,
			SlowStartInitialCapacity: 0.3,
			SlowStartDuration:        time.Second,
			OverloadFactor:           4,
			OverloadWindow:           time.Second,
		},
	}
}

// setNotIdempotent marks the request class as not idempotent: its requests must not be executed twice.
func setNotIdempotent(settings *decide.Settings) {
	settings.Classes[0].Idempotency = decide.NotIdempotent
}

// startTestBalancer starts a balancer, which is stopped at the end of the test.
func startTestBalancer(t testing.TB, config testBalancerConfig) *testBalancer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine, err := core.New(config.engine)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testBalancer{
		engine:   engine,
		frontend: New(engine, testNames, config.budget, log),
		pause:    hotrestart.NewPauser(listener.SetDeadline),
		listener: listener,
		addr:     listener.Addr().String(),
	}
	if config.sessions != nil {
		b.frontend.EnableSessions(config.sessions)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if config.maxProbeConns > 0 {
		prober := NewProber(ctx, engine, config.maxProbeConns)
		running.Go(func() { engine.Run(ctx, prober, stub.Discovery{}); prober.Wait() })
	} else {
		running.Go(func() { engine.Run(ctx, stub.Prober{}, stub.Discovery{}) })
	}
	running.Go(func() { b.frontend.Serve(ctx, listener, b.pause) })
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(b.stop)
	return b
}

// newClient dials a client, whose connection is closed at the end of the test.
func (b *testBalancer) newClient(t testing.TB) *testClient {
	t.Helper()
	c := dialClient(t, b.addr)
	t.Cleanup(func() { c.conn.Close() })
	return c
}

// newWaitingClient dials a client and sends a request. It returns when the request is pending in the engine. The
// caller ensures that no room server answers the request.
func (b *testBalancer) newWaitingClient(t *testing.T) *testClient {
	t.Helper()
	c := b.newClient(t)
	c.send(newRequestLine())
	waitUntil(t, "the request to reach the engine", func() bool { return b.snapshot().Waiting == 1 })
	return c
}

// newBacklogClient dials a client and sends a request while the balancer accepts nothing. The connection stays in the
// listener's backlog until b.pause is resumed.
func (b *testBalancer) newBacklogClient(t *testing.T) *testClient {
	t.Helper()
	b.waitForEngine()
	b.pause.Pause()
	waitUntil(t, "the pause to take effect", func() bool { return len(b.frontend.descriptors) == 0 })
	c := b.newClient(t)
	c.send(newRequestLine())
	return c
}

// snapshot returns the engine's current counts.
func (b *testBalancer) snapshot() *core.Snapshot { return b.engine.CurrentSnapshot(waitTimeout) }

// waitForEngine waits until the engine has handled everything that was reported to it before.
func (b *testBalancer) waitForEngine() { b.snapshot() }

// waitUntil waits until condition returns true, and fails the test after waitTimeout. what names the event that is
// awaited.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
