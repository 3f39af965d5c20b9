package decide

import "time"

// request is one client request, from its arrival until its connection has ended.
type request struct {
	RequestArrived
	timerToken       uint64        // token of its deadline's timer
	deadline         time.Duration // when the client gives up
	notBefore        time.Duration // it waits for the answers to its probes until then
	attempts         int           // attempts made
	attemptedServers []ServerID    // their servers
	server           *server       // the server of the latest attempt
	inFlight         bool          // the latest attempt has not ended
	established      bool          // the latest attempt's connection is established
	migrated         bool          // it was migrated off an overloaded server
	demandCountedFor *server       // the warming server in whose demand it was last counted
	executedOn       *server       // the server of the first attempt that may have executed
	firstSentAt      time.Duration // start of that attempt; until there is one, start of the latest attempt

	localPreferred       []*server // its group's preferred servers in the local list
	remotePreferred      []*server // its group's preferred servers in the remote list
	preferredListVersion uint64    // list version by which the two were ranked
}

// requestTable holds all requests that have not ended.
type requestTable struct {
	byID      map[RequestID]*request
	byToken   map[uint64]*request // those whose connection is not established, by the token of their deadline
	lastToken uint64              // latest timer token
	waiting   []*request          // those that no server can take now, in order of arrival
}

func newRequestTable() requestTable {
	return requestTable{
		byID:      map[RequestID]*request{},
		byToken:   map[uint64]*request{},
		lastToken: retryWaitingToken,
	}
}

// add stores a new request and gives it a timer token.
func (t *requestTable) add(arrived RequestArrived, deadline time.Duration) *request {
	t.lastToken++
	r := &request{RequestArrived: arrived, timerToken: t.lastToken, deadline: deadline}
	t.byID[arrived.ID], t.byToken[r.timerToken] = r, r
	return r
}

// requestArrived stores a request, probes the servers that it depends on and tries to place it.
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

// forget releases the state of a request; nil is ignored.
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
