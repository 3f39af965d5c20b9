package decide

import "time"

// request is the record of a client request, from its arrival until its final answer, the end of its connection or the
// client's disconnect.
type request struct {
	RequestArrived
	timerToken       uint64        // token of the timer for its deadline
	deadline         time.Duration // when the client's timeout ends
	notBefore        time.Duration // no attempt starts before this time: the request waits for answers to its probes
	attempts         int           // number of attempts started
	attemptedServers []ServerID    // servers of these attempts
	server           *server       // server of the latest attempt
	inFlight         bool          // the latest attempt is in progress or its connection is open
	established      bool          // the latest attempt has established its connection
	migrated         bool          // the connection was migrated off an overloaded server
	demandCountedFor *server       // warming server in whose groupDemand the request was last counted
	executedOn       *server       // server of the first attempt that may have been executed; nil: none
	firstSentAt      time.Duration // start of that attempt; if there is none, start of the latest attempt

	localPreferred       []*server // its group's preferred servers in the local list
	remotePreferred      []*server // its group's preferred servers in the remote list
	preferredListVersion uint64    // list version for which the preferred servers were computed
}

// requestTable holds all active requests, including requests with an established connection.
type requestTable struct {
	byID      map[RequestID]*request
	byToken   map[uint64]*request // requests without an established connection, by the token of their timer
	lastToken uint64              // latest timer token
	waiting   []*request          // requests that wait for an attempt, in the order in which they began to wait
}

func newRequestTable() requestTable {
	return requestTable{
		byID:      map[RequestID]*request{},
		byToken:   map[uint64]*request{},
		lastToken: retryWaitingToken,
	}
}

// add stores a new request and assigns a timer token to it.
func (t *requestTable) add(arrived RequestArrived, deadline time.Duration) *request {
	t.lastToken++
	r := &request{RequestArrived: arrived, timerToken: t.lastToken, deadline: deadline}
	t.byID[arrived.ID], t.byToken[r.timerToken] = r, r
	return r
}

// requestArrived stores a request, probes servers for it if their load is unknown, and tries to place it.
func (b *Balancer) requestArrived(event RequestArrived) {
	r := b.requests.add(event, b.now+event.Remaining)
	b.demand.recent++
	b.emit(SetTimer{Token: r.timerToken, Delay: event.Remaining})
	b.probeForRequest(r)
	b.place(r, len(b.requests.waiting))
}

// restoreConnection stores a connection that was established before this balancer started.
func (b *Balancer) restoreConnection(event ConnectionRestored) {
	r := &request{
		RequestArrived: event.Request,
		attempts:       1,
		server:         b.serverRecord(event.Server),
		established:    true,
		inFlight:       true,
	}
	b.requests.byID[r.ID] = r
	b.addConnection(r)
}

// forget deletes the record of a request from all tables and from its server. A nil request is ignored.
func (b *Balancer) forget(r *request) {
	if r == nil {
		return
	}
	if r.inFlight && !r.established {
		b.throttle.dialing--
	}
	delete(b.requests.byID, r.ID)
	delete(b.requests.byToken, r.timerToken)
	if r.established {
		r.server.removeConnection(r)
	}
	if r.server != nil {
		r.server.releaseReservation(r)
		b.reindex(r.server)
	}
	b.requests.waiting = removeValue(b.requests.waiting, r)
}

func (b *Balancer) classOf(r *request) *Class { return &b.settings.Classes[r.Class] }
