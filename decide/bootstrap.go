package decide

// Bootstrap: what is done when no server answers any more, as with a list that is out of date. The evidence is the
// outcome of the attempts and probes at all servers.

import (
	"fmt"
	"time"
)

// bootstrapTimeout is how long no server answers until the cached list is given up.
const bootstrapTimeout = 5 * time.Second

// liveness records whether any server answers.
type liveness struct {
	lastAnswerAt time.Duration // latest answer of any server, or the first failure after it
	failing      bool          // no server has answered since that first failure
}

// recordAnswer notes that some server answers.
func (l *liveness) recordAnswer(now time.Duration) { l.lastAnswerAt, l.failing = now, false }

// recordServerFailure starts the bootstrap timeout, or bootstraps once it is over. A server that answers with an
// error is alive.
func (b *Balancer) recordServerFailure(code Code) {
	if code == ServerError || !b.liveness.failing {
		b.liveness = liveness{lastAnswerAt: b.now, failing: code != ServerError}
	} else if b.now-b.liveness.lastAnswerAt > bootstrapTimeout {
		b.bootstrap()
	}
}

// bootstrap clears what is known of the servers when none of them answers, and fetches a new list. Until it comes,
// the ready servers of the last list are tried again, without their ejections and reports.
func (b *Balancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.liveness.lastAnswerAt)})
	b.liveness.recordAnswer(b.now)
	b.answers.ownZone = b.answers.ownZone[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.reindexAll(b.ready)
	b.emit(FetchList{})
}
