package controlplane

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/discovery/endpoint"

	"github.com/sirupsen/logrus"
)

const (
	filePollInterval = 500 * time.Millisecond // the operator's file is looked at
	minFileAge       = 2 * time.Second        // a write may show no other time for so long
)

// ReadDocument reads an operator's file; errors name it and what is wrong in it.
func ReadDocument(path string) (d replica.Document, err error) {
	f, err := os.Open(path)
	if err != nil {
		return d, fmt.Errorf("document: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, replica.MaxFileBytes+1))
	if err != nil {
		return d, fmt.Errorf("document: %w", err)
	}
	if d, err = replica.Parse(raw); err != nil {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// Leader makes an operator's file the next version in a hub, when that is replaced. What is faulty, or takes over half of the
// room servers away, changes nothing and is told once.
type Leader struct {
	path        string
	term        uint64
	broadcaster *Broadcaster
	store       *Store
	log         *logrus.Logger

	// Owned by Run's goroutine.
	guard       *endpoint.ChangeGuard // nil: no room servers are in force
	read        os.FileInfo           // the file when it was read last; nil: it is to be read
	lastFailure string
}

// NewLeader returns the writer of a term.
func NewLeader(path string, term uint64, hub *Broadcaster, store *Store, log *logrus.Logger) *Leader {
	return &Leader{path: path, term: term, broadcaster: hub, store: store, log: log}
}

// Run writes until ctx ends. A list that was held is taken when asked brings it once more.
func (w *Leader) Run(ctx context.Context, asked <-chan os.Signal) {
	look := time.NewTicker(filePollInterval)
	defer look.Stop()
	w.reload(false)
	for {
		select {
		case <-look.C:
			now, err := os.Stat(w.path)
			if err == nil && w.read != nil && os.SameFile(now, w.read) && now.Size() == w.read.Size() && now.ModTime().Equal(w.read.ModTime()) {
				continue
			}
			w.reload(false)
		case <-asked:
			w.reload(true)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Leader) reload(asked bool) {
	w.read = nil
	now, err := os.Stat(w.path)
	if err == nil && time.Since(now.ModTime()) > minFileAge {
		w.read = now // before it is read: what is written meanwhile shows at the next look
	}
	text := ""
	if d, err := ReadDocument(w.path); err != nil {
		text = err.Error()
	} else if err := w.publish(d, asked); err != nil {
		text = err.Error()
	}
	if text != "" && (text != w.lastFailure || asked) {
		w.log.WithField("cause", text).Error("control: the file is not spread, the version in force stays")
	}
	w.lastFailure = text
}

// publish judges a document, saves it and spreads it.
func (w *Leader) publish(d replica.Document, asked bool) error {
	before := w.broadcaster.State()
	if rooms := before.Document.Rooms; len(rooms) > 0 && len(d.Rooms) > 0 {
		if w.guard == nil {
			w.guard = endpoint.NewChangeGuard(endpoint.List{Entries: rooms})
		}
		if verdict, c := w.guard.Propose(endpoint.List{Entries: d.Rooms}, asked); verdict == endpoint.NeedsConfirmation {
			return fmt.Errorf("rooms: held, over half of the room servers go; taken when SIGHUP asks for it: %s", c)
		}
	}
	w.broadcaster.mu.Lock()
	c, next, err := w.broadcaster.replica.Propose(d, w.term)
	w.broadcaster.mu.Unlock()
	if err == nil && c != nil {
		err = w.store.Save(next)
	}
	if err != nil {
		w.guard = nil // it may have taken what is not in force
		return err
	}
	if c == nil {
		return nil
	}
	if _, _, err := w.broadcaster.update(func(r *replica.Replica) (bool, error) { return r.ApplyChanges([]replica.Change{*c}) }); err != nil {
		w.guard = nil
		return err
	}
	w.log.WithFields(logrus.Fields{"version": next.Version.String(), "put": len(c.Upserted), "removed": len(c.Removed),
		"rooms": len(next.Document.Rooms), "discovery": next.Document.Discovery}).Info("control: version written")
	return nil
}
