package core

import "time"

// Times of a lame duck, from the call of EnterLameDuck on.
const (
	// lameDuckMigrationStart is when the first client is migrated: frontends still accept clients for a
	// while.
	lameDuckMigrationStart = 500 * time.Millisecond
	// lameDuckMigrationEnd is when all clients are migrated. Those that read nothing any more are
	// disconnected migrationTimeout later.
	lameDuckMigrationEnd = 2500 * time.Millisecond
)

// EnterLameDuck sends all clients to other balancers while the process stays up: new clients are served at
// first, and rejected once all are migrated. It changes nothing if a drain is in progress.
//
// It waits until the event loop has run it, for at most the given time, and returns ErrBusy after that. It
// returns ErrStopping if the event loop has ended.
func (e *Engine) EnterLameDuck(within time.Duration) error {
	return e.await(within, func() {
		if e.drain != nil {
			return
		}
		e.drain = &drain{}
		e.setServiceState(LameDuck)
		e.migrateBetween(lameDuckMigrationStart, lameDuckMigrationEnd)
		e.scheduleDrainStep(lameDuckMigrationEnd, e.rejectAll)
	})
}

// LeaveLameDuck revokes EnterLameDuck: clients that were not migrated yet stay. It returns ErrStopping in a
// planned stop, which is final, else errors like EnterLameDuck.
func (e *Engine) LeaveLameDuck(within time.Duration) error {
	var refused error
	err := e.await(within, func() {
		switch {
		case e.drain == nil:
		case e.drain.final:
			refused = ErrStopping
		default:
			e.cancelDrain()
			e.setServiceState(Serving)
		}
	})
	if err != nil {
		return err
	}
	return refused
}
