package core

import "time"

// Times of a lame duck, measured from the call of EnterLameDuck.
const (
	// lameDuckMigrationStart is when the migrations start. They do not start immediately, because the load balancer in
	// front of the fleet still sends new clients for a while after the first failed health check.
	lameDuckMigrationStart = 500 * time.Millisecond
	// lameDuckMigrationEnd is when the last clients are migrated. Clients that no longer read are disconnected later,
	// after migrationTimeout or ConnTraits.Linger, whichever is longer.
	lameDuckMigrationEnd = 2500 * time.Millisecond
)

// EnterLameDuck moves all clients to other balancers while the process keeps running. New clients are served until
// all clients are migrated, and rejected from then on. It changes nothing if a drain is in progress.
//
// It waits until the event loop has executed the call, for at most the given time, and returns ErrBusy if that time
// is over. It returns ErrStopping if the event loop has ended.
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

// LeaveLameDuck revokes EnterLameDuck: clients that were not migrated yet stay connected. It returns ErrStopping
// during a planned stop, which is final, and otherwise the same errors as EnterLameDuck.
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
