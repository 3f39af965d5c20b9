package quic

import (
	"bytes"
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

var testResetKey = bytes.Repeat([]byte{9}, 32)

// testBalancer is a frontend with its own engine.
type testBalancer struct {
	// pause pauses the reading of client datagrams.
	pause    *hotrestart.Pauser
	frontend *Frontend
	engine   *core.Engine
	// ctx ends when the balancer stops.
	ctx context.Context
	// stop stops the frontend and the engine and waits for their goroutines.
	stop func()
}

func testSettings() decide.Settings {
	return decide.Settings{
		Seed:          5,
		Zone:          "a",
		MaxAttempts:   3,
		MaxRetryAfter: 1500 * time.Millisecond,
		Classes: []decide.Class{{
			Name:             "solo-play",
			LatencyObjective: 300 * time.Millisecond,
			ClientTimeout:    1200 * time.Millisecond,
		}},
		Safety: decide.SafetyLimits{
			DrainGrace:               500 * time.Millisecond,
			SlowStartInitialCapacity: 0.3,
			SlowStartDuration:        time.Second,
			OverloadFactor:           4,
			OverloadWindow:           time.Second,
		},
	}
}

// newTestBalancer starts a balancer with the given endpoints. It runs until the end of the test, or until its stop
// function is called. change may be nil; otherwise it changes the frontend's configuration.
func newTestBalancer(t testing.TB, listen string, ids *IDFormat, change func(*Config),
	endpoints ...core.Endpoint) *testBalancer {
	t.Helper()
	return newTestBalancerWithSettings(t, listen, ids, change, testSettings(), endpoints...)
}

// newTestBalancerWithSettings is like newTestBalancer with other settings.
func newTestBalancerWithSettings(t testing.TB, listen string, ids *IDFormat, change func(*Config),
	settings decide.Settings, endpoints ...core.Endpoint) *testBalancer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine, err := core.New(core.Config{
		Settings:   settings,
		Known:      endpoints,
		MaxClients: 100,
		Log:        func(string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{
		Conn:     conn,
		IDs:      ids,
		ResetKey: testResetKey,
		Timeout:  1200 * time.Millisecond,
		Idle:     time.Minute,
		MaxFlows: 100,
	}
	if change != nil {
		change(&cfg)
	}
	frontend, pause := New(cfg, engine, log), hotrestart.NewPauser(cfg.Conn.SetReadDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { engine.Run(ctx, stub.Prober{}, stub.Discovery{}) })
	running.Go(func() { frontend.Serve(ctx, pause) })
	b := &testBalancer{frontend: frontend, pause: pause, engine: engine, ctx: ctx}
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(b.stop)
	return b
}

// newTestFormat returns a format of connection IDs. They are encrypted if key is not empty.
func newTestFormat(t testing.TB, key []byte) *IDFormat {
	t.Helper()
	f, err := NewIDFormat(1, 8, key)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// eventually waits until condition holds, and fails the test after 10 s. what describes the condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}
