package decide

// Bootstrap: when no server answers, for example because the endpoint list is out of date, the balancer fetches a new
// list. This depends on the outcomes of the attempts and probes at all servers.

import (
	"fmt"
	"time"
)

// bootstrapTimeout is how long failures must have gone on without any answer before a new list is fetched.
const bootstrapTimeout = 5 * time.Second

// liveness records whether any server answers.
type liveness struct {
	noAnswerSince time.Duration // time of the latest answer of any server or, while failing, of the first failure since
	failing       bool          // attempts or probes have failed since the latest answer
}

// recordAnswer records that a server has answered.
func (l *liveness) recordAnswer(now time.Duration) { l.noAnswerSince, l.failing = now, false }

// recordServerFailure starts the bootstrap timeout at the first failure, and calls bootstrap at a failure after the
// timeout. ServerError counts as an answer, as the server is alive.
func (b *Balancer) recordServerFailure(code Code) {
	if code == ServerError || !b.liveness.failing {
		b.liveness = liveness{noAnswerSince: b.now, failing: code != ServerError}
	} else if b.now-b.liveness.noAnswerSince > bootstrapTimeout {
		b.bootstrap()
	}
}

// bootstrap fetches a new list when no server answers. Until the list arrives, the ready servers of the last list are
// tried again; their ejections and load reports are discarded.
func (b *Balancer) bootstrap() {
	b.emit(Log{fmt.Sprintf("bootstrap: no server answered for %v", b.now-b.liveness.noAnswerSince)})
	b.liveness.recordAnswer(b.now)
	b.answers.ownZone = b.answers.ownZone[:0]
	for _, s := range b.ready {
		s.consecutiveFailures, s.ejectedUntil, s.slowUntil, s.reportedAt = 0, 0, 0, 0
	}
	b.reindexAll(b.ready)
	b.emit(FetchList{})
}
