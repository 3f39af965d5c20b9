// Package core is the event loop of one balancer. Its Engine owns the decision module (package decide) and all state
// around it: client requests and their attempts, upstream servers, discovery calls, timers and counters.
//
// The package is independent of network protocols. Frontends report the events of their client connections by calling
// methods of the Engine, which turns them into events of the decision module. The Engine executes the actions that
// the module returns by calling the interfaces ClientConn, Prober and Discovery.
//
// The goroutine that calls Engine.Run owns all state. The methods of an Engine may be called from any other
// goroutine: unless their comment says otherwise, they put a function into the engine's inbox and return before that
// function has run. They block only while the inbox is full.
package core

import (
	"context"
	"hash/fnv"
	"time"

	"cottonplank/decide"
)

// ClientConn is the client's side of one request, implemented by a frontend. The engine calls it from its event loop,
// so no method may block on a peer: an implementation queues the command for its own goroutine and returns.
type ClientConn interface {
	// StartAttempt starts an attempt at an upstream server. The end of an earlier attempt of the request was reported
	// with Engine.AttemptEnded, so the earlier attempt's transport is closed already.
	StartAttempt(Attempt)
	// CancelAttempt requests the cancellation of attempt n, for which the engine has received no answer. Only the
	// implementation knows whether the request was sent or answered, so it determines the outcome:
	//
	//   - The server has already answered: the attempt continues, and nothing is reported.
	//   - The request was not sent: the attempt ends with a code for which decide.Code.NeverExecuted is true.
	//   - The request was sent: the attempt ends with the code that is passed as why. If NeverExecuted is true for this
	//     code, it would be wrong. In that case the attempt continues, and nothing is reported.
	//
	// The implementation reports the end of the attempt once, with Engine.AttemptEnded.
	CancelAttempt(n int, why decide.Code)
	// Establish passes the server's answer to attempt n to the client. From then on the implementation relays data in
	// both directions.
	Establish(n int)
	// Reject answers that the request was not executed and may be retried, after retryAfter if that is above 0, and
	// closes the connection.
	Reject(retryAfter time.Duration)
	// Fail answers that the request failed and closes the connection.
	Fail()
	// Migrate asks the client of an established connection to open a new connection, and closes the transports to the
	// client and to the server.
	Migrate()
	// CloseUnused closes the client connection unless a request has been read from it or bytes have arrived that are
	// not read yet. The engine may not know of that request: its report may still be in the inbox. If the
	// implementation keeps the connection open, it reports nothing.
	CloseUnused()
	// Abort closes immediately whatever is still open.
	Abort()
}

// Reason says why a session has to start over. Its text is sent to the client.
type Reason string

// ReasonStateTimeout means that the transfer of the session's state took longer than Config.StateTimeout.
const ReasonStateTimeout Reason = "late"

// Resumer is implemented by client connections whose request resumes a session. Its methods must not block.
type Resumer interface {
	// HolderLocated answers Engine.LocateHolder for attempt n. If known is true, s is the server that holds the
	// session; otherwise the engine does not know that server.
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
	// Timeout is how long the engine waits for the server's answer that establishes the connection. For a session whose
	// state is transferred, this time starts again with Engine.StateFetched.
	Timeout time.Duration
}

// Upstream is the identity and address of a server.
type Upstream struct {
	ID      decide.ServerID
	Name    string
	Address string
}

// Prober sends probes to servers. Its methods must not block.
type Prober interface {
	// Probe requests a load report. The implementation passes the result to Engine.ProbeCompleted with the same seq. It
	// may drop the probe, which then times out in the engine. It need not report the result after the end of ctx.
	Probe(ctx context.Context, seq uint64, server Upstream)
	// Remove releases the resources of a server that was removed from the endpoint list, such as its probe
	// connection.
	Remove(server decide.ServerID)
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	decide.Server
	Name    string
	Address string
	// Started is the wall-clock time at which the server's process started; the zero time means long ago. The engine
	// converts it to host-clock time (see Engine.now) and passes the result to the decision module as Server.Started.
	// The value that Server.Started has in an Endpoint is ignored.
	Started time.Time
}

// EndpointUpdate is the result of a discovery call (a snapshot of the endpoint list, changed entries, or a failure) or
// the list that is restored at the start.
type EndpointUpdate struct {
	Kind      decide.ListKind
	Endpoints []Endpoint
	// WatchID is used only for a failure: it is the ID of the watch that failed, or 0 if another call failed.
	WatchID uint64
}

// Request is a client's request for a connection.
type Request struct {
	// ID is the identifier that the client chose for the request, unique among all requests; empty if it chose none. It
	// contains no space.
	ID string
	// Class is an index into decide.Settings.Classes.
	Class int
	// Key identifies the client, so that the decision module recognizes a client that returns. It is the key of the
	// request line, or the IP address of a QUIC client; empty if unknown.
	Key string
	// Group names the group of connections that share work on one server; empty if the request has none.
	Group string
	// Deadline is when the client stops waiting for the answer.
	Deadline time.Time
	// Load is the expected load in seconds of work per second; 0 means unknown.
	Load float64
	// Returning says that the client reconnects after a broken or migrated connection.
	Returning bool
	// Resumer is set if the request resumes a session, else nil.
	Resumer Resumer
}

// ServerID derives a server's numeric ID from its instance name. The ID must be equal at all balancers and after a
// restart, because the preferred servers of a group depend on it, and QUIC connection IDs contain it.
func ServerID(instance string) decide.ServerID {
	h := fnv.New32a()
	h.Write([]byte(instance))
	return decide.ServerID(h.Sum32())
}
