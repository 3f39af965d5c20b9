package invariants

import "time"

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events. Each comment lists the fields of Event that the kind uses besides At.
const (
	// RequestSent reports that a client is about to write its first line: Request, Balancer, Deadline.
	RequestSent Kind = iota
	// RequestAnswered reports that a client has read the first line of its final answer, which begins with UP, BUSY,
	// ERR or ANEW: Request, Answer.
	RequestAnswered
	// ClientLeft reports that a client has stopped waiting for an answer, or that it could not write its first line:
	// Request.
	ClientLeft
	// ConnectionLost reports that a client's connection ended before an answer although the client was waiting for one,
	// or that a request with a copied token timed out: Request.
	ConnectionLost
	// BalancerKilled reports that a balancer is about to be killed or paused, so that it owes its requests no more
	// answers: Balancer.
	BalancerKilled
	// AttemptStarted reports that a room server has received the first line of an attempt: Request, Server.
	AttemptStarted
	// AttemptEnded reports that a room server has rejected an attempt or that the attempt's connection has ended:
	// Request, Server.
	AttemptEnded
	// BalancerStarted reports that a new process, which has received nothing from discovery yet, is about to run under
	// the balancer's name, or that a paused balancer continues. First starts and hot restarts are not recorded: Balancer.
	BalancerStarted
	// DrainObserved reports that discovery is sending a balancer an entry by which a room server is draining or removed:
	// Balancer, Server.
	DrainObserved
	// ReadyObserved reports that discovery is sending a balancer an entry by which a room server is ready: Balancer,
	// Server.
	ReadyObserved
	// ServerCollapsed reports that a room server crashed because it was overloaded while it warmed up: Server.
	ServerCollapsed
	// SessionAttached reports that a room server has attached a session to its client's connection: Session, Epoch,
	// Server.
	SessionAttached
	// SessionDetached reports that a room server has detached a session, because its connection ended or lost the
	// session to another one: Session, Server.
	SessionDetached
	// PositionAcknowledged reports that a client has read an acknowledgement that its moves up to a position are
	// stored: Session, Position.
	PositionAcknowledged
	// SessionResumed reports that a client has resumed its session at a position: Session, Position.
	SessionResumed
	// SessionStartedOver reports that a client starts over, because a balancer answered ANEW or because the client
	// reconnects without using session tokens: Session.
	SessionStartedOver
	// SessionStranded reports that, at the end of the run, a client had been without a room server for longer than the
	// emulated client tolerates: Session.
	SessionStranded
)

// Event is one thing that happened during a run.
type Event struct {
	// At is the time since the start of the run.
	At time.Duration
	// Kind is the kind of the event and determines which of the other fields are set.
	Kind Kind
	// Request is the request's ID, which the client chooses.
	Request string
	// Balancer is the name of the balancer.
	Balancer string
	// Server is the name of the room server.
	Server string
	// Session identifies the session. Clients and room servers identify the same session by different strings, so that
	// the events of clients are not related to those of room servers.
	Session string
	// Answer is the first line of the final answer to a request.
	Answer string
	// Epoch is the epoch at which the session is attached.
	Epoch uint64
	// Position is the number of the session's last move.
	Position uint64
	// Deadline is the time since the start of the run by which a request has to be answered; 0 if there is no limit.
	Deadline time.Duration
}
