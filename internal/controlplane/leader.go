package controlplane

import (
	"context"
	"fmt"
	"os"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/discovery/endpoint"
	"cottonplank/internal/discovery/filesource"

	"github.com/sirupsen/logrus"
)

const (
	// filePollInterval is the time between two checks of the operator's file.
	filePollInterval = 500 * time.Millisecond

	// minFileAge is the least age of a file for its modification time to tell it from a later one: the file
	// system may give two writes within that time the same one.
	minFileAge = 2 * time.Second
)

// ReadDocument reads and validates an operator's file. Errors name the file and the key and value at fault.
func ReadDocument(path string) (replica.Document, error) {
	raw, err := filesource.ReadLimited(path, replica.MaxFileBytes)
	if err != nil {
		return replica.Document{}, fmt.Errorf("document: %w", err)
	}
	document, err := replica.Parse(raw)
	if err != nil {
		return document, fmt.Errorf("%s: %w", path, err)
	}
	return document, nil
}

// confirmationError says that a list removes or drains over half of the active endpoints and needs a
// confirmation.
type confirmationError struct{ change endpoint.Change }

// Error implements error.
func (e *confirmationError) Error() string {
	const format = "rooms: pending: removes or drains over half of the active endpoints; send SIGHUP to confirm: %s"
	return fmt.Sprintf(format, e.change)
}

// Leader publishes an operator's file as the next version of the document whenever the file changes. It
// rejects invalid files and logs each reason once. A file that removes over half of the endpoints needs a
// confirmation.
type Leader struct {
	path        string
	term        uint64
	broadcaster *Broadcaster
	store       *Store
	log         *logrus.Logger

	// The fields below are owned by Run's goroutine.

	file        *filesource.FileTracker
	guard       *endpoint.ChangeGuard // nil until it is created from the current list
	lastFailure string                // the last logged reason; empty after a success
}

// NewLeader returns the leader of a term.
func NewLeader(path string, term uint64, broadcaster *Broadcaster, store *Store, log *logrus.Logger) *Leader {
	return &Leader{
		path:        path,
		term:        term,
		broadcaster: broadcaster,
		store:       store,
		log:         log,
		file:        filesource.NewFileTracker(path, minFileAge),
	}
}

// Run publishes until ctx ends. A signal on reloads has the file read again, and confirms a list that is pending.
func (l *Leader) Run(ctx context.Context, reloads <-chan os.Signal) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	l.reload(false)
	for {
		select {
		case <-ticker.C:
			if !l.file.Unchanged() {
				l.reload(false)
			}
		case <-reloads:
			l.reload(true)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads and publishes the file. requested says that the operator requested it.
func (l *Leader) reload(requested bool) {
	l.file.BeginRead()
	err := l.readAndPublish(requested)
	failure := ""
	if err != nil {
		failure = err.Error()
	}
	if failure != "" && (failure != l.lastFailure || requested) {
		l.log.WithField("cause", failure).Error("control: document rejected, keeping the current version")
	}
	l.lastFailure = failure
}

func (l *Leader) readAndPublish(requested bool) error {
	document, err := ReadDocument(l.path)
	if err != nil {
		return err
	}
	if err := l.checkConfirmation(document, requested); err != nil {
		return err
	}
	if err := l.publish(document); err != nil {
		l.guard = nil // its current list may be one that was not published
		return err
	}
	return nil
}

// checkConfirmation returns a confirmationError if a document's list needs a confirmation that it does not have.
func (l *Leader) checkConfirmation(document replica.Document, requested bool) error {
	current := l.broadcaster.State().Document.Endpoints
	if len(current) == 0 || len(document.Endpoints) == 0 {
		return nil
	}
	if l.guard == nil {
		l.guard = endpoint.NewChangeGuard(endpoint.List{Entries: current})
	}
	decision, change := l.guard.Propose(endpoint.List{Entries: document.Endpoints}, requested)
	if decision == endpoint.NeedsConfirmation {
		return &confirmationError{change}
	}
	return nil
}

// publish saves a document as the next version, and then makes it available to followers.
func (l *Leader) publish(document replica.Document) error {
	change, next, err := l.broadcaster.propose(document, l.term)
	if err != nil {
		return err
	}
	if change == nil { // it is the current version already
		return nil
	}
	if err := l.store.Save(next); err != nil {
		return err
	}
	if _, _, err := l.broadcaster.applyChanges([]replica.Change{*change}); err != nil {
		return err
	}
	l.log.WithFields(logrus.Fields{
		"version":   next.Version.String(),
		"upserted":  len(change.Upserted),
		"removed":   len(change.Removed),
		"endpoints": len(next.Document.Endpoints),
		"discovery": next.Document.Discovery,
	}).Info("control: version published")
	return nil
}
