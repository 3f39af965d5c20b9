package core

import (
	"errors"
	"testing"
	"time"

	"cottonplank/decide"
)

// A process that replaces another one becomes ready when the first list arrives or when the previous process has
// ended, but not when a discovery call has failed.
func TestReadyAfterFirstListOrSkip(t *testing.T) {
	t.Parallel()
	for name, finishStart := range map[string]func(*Engine){
		"list":                   func(engine *Engine) { engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListDelta}) },
		"previous process ended": (*Engine).SkipListWait,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &fakeDiscovery{}
			engine := runEngine(t, Config{MaxClients: 1, AwaitFirstList: true, Settings: decide.Settings{
				Seed:      3,
				Zone:      "a",
				WatchList: true,
				Classes:   []decide.Class{{Name: "c", LatencyObjective: time.Second}},
			}}, f)
			engine.EndpointsUpdated(EndpointUpdate{Kind: decide.ListFailed})
			if s := engine.CurrentSnapshot(10 * time.Second); s.Service != Starting {
				t.Errorf("before the list, the state is %v, want starting", s.Service)
			}
			f.mu.Lock()
			if len(f.requests) != 1 {
				t.Errorf("requests to discovery are %q, want one right after the start", f.requests)
			}
			f.mu.Unlock()
			finishStart(engine)
			select {
			case <-engine.Ready():
			case <-time.After(10 * time.Second):
				t.Fatal("the channel of Ready was not closed")
			}
			if engine.ServiceState() != Serving {
				t.Errorf("after Ready, the state is %v, want serving", engine.ServiceState())
			}
		})
	}
}

// Callers never wait longer than the time that they pass, even if the event loop hangs or the inbox is full.
func TestQueriesAreBoundedWhileEngineIsBusy(t *testing.T) {
	t.Parallel()
	engine := startEngine(t, 10, readyEndpoint("s-1"))
	busy, release := make(chan struct{}), make(chan struct{})
	engine.post(func() { close(busy); <-release })
	<-busy
	defer close(release)
	if s := engine.CurrentSnapshot(50 * time.Millisecond); s.Listed != 1 {
		t.Errorf("got snapshot %+v, want the latest published one with one listed server", s)
	}
	if err := engine.EnterLameDuck(50 * time.Millisecond); !errors.Is(err, ErrBusy) {
		t.Errorf("a call that the event loop does not execute returns error %v, want %v", err, ErrBusy)
	}
	for len(engine.inbox) < cap(engine.inbox) {
		engine.post(func() {})
	}
	if err := engine.LeaveLameDuck(50 * time.Millisecond); !errors.Is(err, ErrBusy) {
		t.Errorf("a call that does not fit into the inbox returns error %v, want %v", err, ErrBusy)
	}
}
