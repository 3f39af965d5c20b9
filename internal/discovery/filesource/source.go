// Package filesource is the list's actor where an operator's file takes the place of discovery. It reads the file when that is
// replaced, and answers the core's calls from the list in force. internal/roomlist decides what is taken over.
package filesource

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/endpoint"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"
)

const (
	maxFileBytes           = 1 << 25
	settleDelay            = 100 * time.Millisecond // a file that is being written is left alone for this
	maxSettleDelay         = time.Second            // but not for longer than this
	pollInterval           = 2 * time.Second        // also without a sign: what a symbolic link leads to may change elsewhere
	watchHeartbeatInterval = 2 * time.Second
	requestQueueSize       = 8
)

// Source is the actor.
type Source struct {
	path      string
	handler   core.UpdateHandler
	log       *logrus.Logger
	watchdog  core.Watchdog // nil: nobody hears
	requests  chan request
	proposals chan endpoint.List

	// Owned by Run's goroutine.
	guard       *endpoint.ChangeGuard
	watch       request     // the latest
	lastFailure string      // what was said of the file last
	read        os.FileInfo // the file when it was read last; nil: it is to be read
}

// Read reads the file; errors name it and what is wrong in it.
func Read(path string) (endpoint.List, error) {
	f, err := os.Open(path)
	if err != nil {
		return endpoint.List{}, fmt.Errorf("rooms: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return endpoint.List{}, fmt.Errorf("rooms: %w", err)
	}
	if len(raw) > maxFileBytes {
		return endpoint.List{}, fmt.Errorf("rooms: %s: is longer than %d bytes", path, maxFileBytes)
	}
	l, err := endpoint.Parse(raw)
	if err != nil {
		return l, fmt.Errorf("rooms: %s: %w", path, err)
	}
	return l, nil
}

// Endpoints are a list's room servers as the core has them.
func Endpoints(l endpoint.List) (all []core.Endpoint) {
	for _, r := range l.Entries {
		state := decide.Ready
		if r.Drain {
			state = decide.Draining
		}
		all = append(all, core.Endpoint{Name: r.Name, Address: r.Address, Server: decide.Server{ID: core.ServerID(r.Name),
			Zone: r.Zone, State: state, Weight: r.Weight}})
	}
	return all
}

// New returns the actor of a file, with the list that was read from it.
func New(path string, first endpoint.List, sink core.UpdateHandler, log *logrus.Logger) *Source {
	return &Source{path: path, handler: sink, log: log, guard: endpoint.NewChangeGuard(first), requests: make(chan request, requestQueueSize),
		proposals: make(chan endpoint.List)}
}

// SetWatchdog lets a watchdog hear of the actor's turns; it is called before Run.
func (s *Source) SetWatchdog(turns core.Watchdog) { s.watchdog = turns }

// SetAddress is discovery's; a file has no address.
func (s *Source) SetAddress(string) {}

// Watch answers with the list in force, and from then on with its changes.
func (s *Source) Watch(ctx context.Context, watch uint64) { s.enqueue(request{ctx, watch}) }

// Fetch answers with the list in force.
func (s *Source) Fetch(ctx context.Context) { s.enqueue(request{ctx, 0}) }

// request is a call of the core's.
type request struct {
	ctx     context.Context
	watchID uint64 // its number; 0: the list alone is asked for
}

func (s *Source) enqueue(o request) {
	select {
	case s.requests <- o:
	default: // the module's actor never waits, and asks again
	}
}

// Propose brings a list that the operator asked to take over by a signal, and was read from the file.
func (s *Source) Propose(ctx context.Context, l endpoint.List) {
	select {
	case s.proposals <- l:
	case <-ctx.Done():
	}
}

// Run is the actor; it ends with ctx.
func (s *Source) Run(ctx context.Context) {
	var signs <-chan fsnotify.Event
	var failures <-chan error
	// The folder is watched, not the file: one that is renamed over it is another file.
	if w, err := fsnotify.NewWatcher(); err == nil {
		defer w.Close()
		if err := w.Add(filepath.Dir(s.path)); err != nil {
			s.log.WithError(err).Warn("rooms: the folder cannot be watched, the file is looked at every 2 s")
		}
		signs, failures = w.Events, w.Errors
	} else {
		s.log.WithError(err).Warn("rooms: no watch, the file is looked at every 2 s")
	}
	look, alive := time.NewTicker(pollInterval), time.NewTicker(watchHeartbeatInterval)
	defer look.Stop()
	defer alive.Stop()
	read := time.NewTimer(0)
	read.Stop()
	var since time.Time // of the first sign that is not looked into yet
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.requests:
			core.RunMonitored(s.watchdog, func() {
				if o.watchID != 0 {
					s.watch = o
					s.handler.WatchAlive(o.watchID)
				}
				s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: Endpoints(s.guard.Current())})
			})
		case l := <-s.proposals:
			core.RunMonitored(s.watchdog, func() { s.applyDecision(l, true) })
		case <-signs:
			if since.IsZero() {
				since = time.Now()
			}
			read.Reset(min(settleDelay, max(maxSettleDelay-time.Since(since), 0)))
		case err := <-failures:
			s.log.WithError(err).Warn("rooms: the watch of the file failed once")
			read.Reset(settleDelay)
		case <-read.C:
			since = time.Time{}
			core.RunMonitored(s.watchdog, s.reload)
		case <-look.C:
			core.RunMonitored(s.watchdog, s.poll)
		case <-alive.C:
			if s.watch.ctx != nil && s.watch.ctx.Err() == nil {
				core.RunMonitored(s.watchdog, func() { s.handler.WatchAlive(s.watch.watchID) })
			}
		}
	}
}

// poll takes over what the file holds if it is another, or was written, since it was read. Guards the processor: a long
// list takes longer to read than all else that this process does at rest.
func (s *Source) poll() {
	now, err := os.Stat(s.path)
	if err == nil && s.read != nil && os.SameFile(now, s.read) && now.Size() == s.read.Size() && now.ModTime().Equal(s.read.ModTime()) {
		return
	}
	s.reload()
}

// reload takes over what the file holds now. A faulty one changes nothing, and is told once.
func (s *Source) reload() {
	s.read = nil
	// Guards against a write that shows no other time, as the one before is not long past.
	if now, err := os.Stat(s.path); err == nil && time.Since(now.ModTime()) > pollInterval {
		s.read = now // before it is read: what is written meanwhile shows at the next look
	}
	l, err := Read(s.path)
	if err != nil {
		s.read = nil
		if err.Error() != s.lastFailure {
			s.log.WithError(err).Error("rooms: the list is faulty, the one in force stays")
		}
		s.lastFailure = err.Error()
		return
	}
	s.applyDecision(l, false)
}

func (s *Source) applyDecision(l endpoint.List, asked bool) {
	verdict, change := s.guard.Propose(l, asked)
	switch verdict {
	case endpoint.Unchanged:
		s.lastFailure = ""
	case endpoint.NeedsConfirmation:
		text := "rooms: held: " + change.String()
		if text != s.lastFailure || asked {
			s.log.WithField("change", change.String()).Error("rooms: the list takes over half of the room servers away; it is taken when SIGHUP asks for it once more")
		}
		s.lastFailure = text
	case endpoint.Apply:
		s.lastFailure = ""
		s.log.WithField("change", change.String()).Info("rooms: list taken over")
		s.handler.EndpointsUpdated(core.EndpointUpdate{Kind: decide.ListSnapshot, Endpoints: Endpoints(l)})
	}
}
