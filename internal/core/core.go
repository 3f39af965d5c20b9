// Package core is the event loop of one balancer. Its Engine owns the decision module (package decide) and
// all state around it: client requests and their attempts, upstream servers, discovery calls, timers and
// counters.
//
// The package knows no network protocol. Frontends report what happens on their client connections by calling
// the Engine; it turns these reports into events of the decision module and executes the actions that the
// module returns through the interfaces ClientConn, Prober and Discovery.
//
// One goroutine, the one that calls Engine.Run, owns all state. The methods of an Engine may be called from
// any other goroutine: unless their comment says otherwise they put a function into the engine's inbox and
// return before it has run. They block only while the inbox is full.
package core

import (
	"context"
	"hash/fnv"
	"time"

	"cottonplank/decide"
)

// ClientConn is the client's side of one request, implemented by a frontend. The engine calls it from its
// event loop, so no method may block on a peer: an implementation queues the command for its own goroutine
// and returns.
type ClientConn interface {
	// StartAttempt starts an attempt at an upstream server. Any earlier attempt has ended or was cancelled;
	// the implementation closes its transport before it sends anything of the new one.
	StartAttempt(Attempt)
	// CancelAttempt asks for the end of attempt n, which has no answer yet. Only the implementation knows
	// what it has written, so it decides how the attempt ended and reports that once with
	// Engine.AttemptEnded: as NotSent if nothing was sent, else with code why. An attempt that has its answer
	// goes on, and so does one whose request was sent meanwhile if why says that it never executed.
	CancelAttempt(n int, why decide.Code)
	// Establish passes the server's answer to attempt n on to the client and relays in both directions from
	// then on.
	Establish(n int)
	// Reject answers that the request was not executed and may be retried, after retryAfter if that is above
	// 0, and closes the connection.
	Reject(retryAfter time.Duration)
	// Fail answers that the request failed and closes the connection.
	Fail()
	// Migrate asks the client of an established connection to reconnect elsewhere and closes both sides.
	Migrate()
	// Abort closes at once whatever is still open.
	Abort()
}

// Reason says why a session has to start over. Its text is sent to the client.
type Reason string

// ReasonStateTimeout means that the session's state was not transferred within Config.StateTimeout.
const ReasonStateTimeout Reason = "late"

// Resumer is implemented by client connections whose request resumes a session. Its methods must not block.
type Resumer interface {
	// HolderLocated answers Engine.LocateHolder for attempt n: s is the server that holds the session, if
	// known.
	HolderLocated(n int, s Upstream, known bool)
	// StartOver answers that the session cannot be resumed and closes the connection.
	StartOver(why Reason)
}

// Attempt is one attempt of a request at one upstream server.
type Attempt struct {
	// Number counts the attempts of the request from 0.
	Number int
	// Upstream is the server to connect to.
	Upstream Upstream
	// Timeout is how long the engine waits for the connection to be established.
	Timeout time.Duration
}

// Upstream is the identity and address of a server.
type Upstream struct {
	ID      decide.ServerID
	Name    string
	Address string
}

// Prober sends health checks to servers. Its methods must not block.
type Prober interface {
	// Probe requests a load report. The result goes to Engine.ProbeCompleted with the same seq, unless ctx
	// ends first.
	Probe(ctx context.Context, seq uint64, server Upstream)
	// Remove releases what is kept for a server that was removed from the endpoint list.
	Remove(server decide.ServerID)
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	decide.Server
	Name    string
	Address string
	// Started is when the server's process started; the zero time means long ago. It takes the place of
	// Server.Started, which counts on the host clock.
	Started time.Time
}

// EndpointUpdate is what a discovery call brought: a snapshot of the endpoint list, changed entries, or a
// failure.
type EndpointUpdate struct {
	Kind      decide.ListKind
	Endpoints []Endpoint
	// WatchID is the watch that failed; 0 if another call failed.
	WatchID uint64
}

// Request is what a client asks for.
type Request struct {
	// ID is the client's own identifier, unique among all requests; empty if the client gave none.
	ID string
	// Class is an index into decide.Settings.Classes.
	Class int
	// Key is the idempotency key.
	Key string
	// Group names the group of connections that share work on one server.
	Group string
	// Deadline is when the client stops waiting for the answer.
	Deadline time.Time
	// Load is the expected work in seconds per second; 0 means unknown.
	Load float64
	// Returning says that the client is back after a broken or migrated connection.
	Returning bool
	// Resumer is set if the request resumes a session, else nil.
	Resumer Resumer
}

// ServerID derives a server's numeric ID from its instance name. The ID is equal at all balancers and after a
// restart, because the preferred servers of a group and connection IDs depend on it.
func ServerID(instance string) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(instance))
	return decide.ServerID(h.Sum32())
}
