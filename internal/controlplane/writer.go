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
	fileEvery  = 500 * time.Millisecond // the operator's file is looked at
	fileSettle = 2 * time.Second        // a write may show no other time for so long
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
	path  string
	term  uint64
	hub   *Broadcaster
	store *Store
	log   *logrus.Logger

	// Owned by Run's goroutine.
	keeper *endpoint.ChangeGuard // nil: no room servers are in force
	read   os.FileInfo           // the file when it was read last; nil: it is to be read
	said   string
}

// NewLeader returns the writer of a term.
func NewLeader(path string, term uint64, hub *Broadcaster, store *Store, log *logrus.Logger) *Leader {
	return &Leader{path: path, term: term, hub: hub, store: store, log: log}
}

// Run writes until ctx ends. A list that was held is taken when asked brings it once more.
func (w *Leader) Run(ctx context.Context, asked <-chan os.Signal) {
	look := time.NewTicker(fileEvery)
	defer look.Stop()
	w.take(false)
	for {
		select {
		case <-look.C:
			now, err := os.Stat(w.path)
			if err == nil && w.read != nil && os.SameFile(now, w.read) && now.Size() == w.read.Size() && now.ModTime().Equal(w.read.ModTime()) {
				continue
			}
			w.take(false)
		case <-asked:
			w.take(true)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Leader) take(asked bool) {
	w.read = nil
	now, err := os.Stat(w.path)
	if err == nil && time.Since(now.ModTime()) > fileSettle {
		w.read = now // before it is read: what is written meanwhile shows at the next look
	}
	text := ""
	if d, err := ReadDocument(w.path); err != nil {
		text = err.Error()
	} else if err := w.write(d, asked); err != nil {
		text = err.Error()
	}
	if text != "" && (text != w.said || asked) {
		w.log.WithField("cause", text).Error("control: the file is not spread, the version in force stays")
	}
	w.said = text
}

// write judges a document, saves it and spreads it.
func (w *Leader) write(d replica.Document, asked bool) error {
	before := w.hub.State()
	if rooms := before.Document.Rooms; len(rooms) > 0 && len(d.Rooms) > 0 {
		if w.keeper == nil {
			w.keeper = endpoint.NewChangeGuard(endpoint.List{Entries: rooms})
		}
		if verdict, c := w.keeper.Propose(endpoint.List{Entries: d.Rooms}, asked); verdict == endpoint.NeedsConfirmation {
			return fmt.Errorf("rooms: held, over half of the room servers go; taken when SIGHUP asks for it: %s", c)
		}
	}
	w.hub.mu.Lock()
	c, next, err := w.hub.copy.Propose(d, w.term)
	w.hub.mu.Unlock()
	if err == nil && c != nil {
		err = w.store.Save(next)
	}
	if err != nil {
		w.keeper = nil // it may have taken what is not in force
		return err
	}
	if c == nil {
		return nil
	}
	if _, _, err := w.hub.take(func(r *replica.Replica) (bool, error) { return r.ApplyChanges([]replica.Change{*c}) }); err != nil {
		w.keeper = nil
		return err
	}
	w.log.WithFields(logrus.Fields{"version": next.Version.String(), "put": len(c.Upserted), "removed": len(c.Removed),
		"rooms": len(next.Document.Rooms), "discovery": next.Document.Discovery}).Info("control: version written")
	return nil
}
