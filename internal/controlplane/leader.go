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
	// filePollInterval is the time between two checks of whether the document's file has changed.
	filePollInterval = 500 * time.Millisecond

	// minFileAge is the minimum age of a file for its modification time to be reliable. A younger file is read again
	// at the next check, because the file system may record the same modification time for two writes that follow
	// each other closely.
	minFileAge = 2 * time.Second
)

// ReadDocument reads and validates the file that contains the operators' document. Errors name the file, the key and
// the invalid value.
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

// confirmationError means that a list needs the operators' confirmation, because it removes or drains over half of
// the active endpoints.
type confirmationError struct{ change endpoint.Change }

// Error implements error.
func (e *confirmationError) Error() string {
	const format = "rooms: pending: removes or drains over half of the active endpoints; send SIGHUP to confirm: %s"
	return fmt.Sprintf(format, e.change)
}

// Leader reads the operators' document from a file whenever the file changes, and publishes it as the next version.
// It rejects an invalid document, and logs the reason once rather than at each poll. A document that removes or
// drains over half of the active endpoints needs the operators' confirmation.
type Leader struct {
	path        string
	term        uint64
	broadcaster *Broadcaster
	store       *Store
	log         *logrus.Logger

	// The fields below are owned by Run's goroutine.

	file *filesource.FileTracker

	// guard decides which lists need a confirmation. It is nil before its first use and after a failed publish.
	guard *endpoint.ChangeGuard

	lastFailure string // the reason for which the last read was rejected; empty if it was not
}

// NewLeader returns a leader that reads the document from the file at path and publishes it in the given term.
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

// Run publishes the document until ctx ends. On a signal from reloads, it rereads the file even if the file is
// unchanged. If the file then contains the list that is pending, the signal confirms the list.
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

// reload reads the file and publishes the document. requested says that the operators requested the reload with a
// signal. The reason for a rejection is then logged even if it is the same as before.
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
		l.guard = nil // the guard may have accepted a list that was not published
		return err
	}
	return nil
}

// checkConfirmation returns a confirmationError if the document's list needs a confirmation and is not confirmed.
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
	if change == nil { // the document is the current one
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
