package invariants

import "time"

// Kind says what happened in an Event.
type Kind uint8

// The kinds of events. Each comment lists the fields of Event that the kind uses besides At.
const (
	// RequestSent reports that a client has written its whole first line: Request, Balancer, Deadline.
	RequestSent Kind = iota
	// RequestAnswered reports that a client has read its final answer, UP, BUSY, ERR or ANEW: Request, Answer.
	RequestAnswered
	// ClientLeft reports that a client has closed its connection before an answer: Request.
	ClientLeft
	// ConnectionLost reports that a client's connection ended without an answer: Request.
	ConnectionLost
	// BalancerKilled reports that a balancer was killed; its unanswered requests are excused: Balancer.
	BalancerKilled
	// AttemptStarted reports that a room server has received the first line of an attempt: Request, Server.
	AttemptStarted
	// AttemptEnded reports that an attempt has ended at its room server: Request, Server.
	AttemptEnded
	// BalancerStarted reports a new process under the balancer's name, which discovery has sent nothing yet: Balancer.
	BalancerStarted
	// DrainObserved reports that discovery has told a balancer that a room server is draining or removed: Balancer,
	// Server.
	DrainObserved
	// ReadyObserved reports that discovery has told a balancer that a room server is ready: Balancer, Server.
	ReadyObserved
	// ServerCollapsed reports that a room server crashed because it was overloaded while it warmed up: Server.
	ServerCollapsed
	// SessionAttached reports that a room server lets a session's client play: Session, Epoch, Server.
	SessionAttached
	// SessionDetached reports that a room server no longer lets a session's client play: Session, Server.
	SessionDetached
	// PositionAcknowledged reports that a client has read that its moves up to a position are stored: Session,
	// Position.
	PositionAcknowledged
	// SessionResumed reports that a client continues its session from a position: Session, Position.
	SessionResumed
	// SessionStartedOver reports that a client was told to start over: Session.
	SessionStartedOver
	// SessionStranded reports that a client was left without a room server until the end of the run: Session.
	SessionStranded
)

// Event is one thing that happened during a run.
type Event struct {
	// At is the time since the start of the run.
	At time.Duration
	// Kind says what happened and which of the other fields are set.
	Kind Kind
	// Request is the ID that the client gave its request.
	Request string
	// Balancer is the name of the balancer.
	Balancer string
	// Server is the name of the room server.
	Server string
	// Session identifies the session. Clients and room servers use identifiers of their own.
	Session string
	// Answer is the final answer to a request, as the client read it.
	Answer string
	// Epoch is the epoch at which the session is attached.
	Epoch uint64
	// Position is the number of the session's last move.
	Position uint64
	// Deadline is when the client stops waiting for an answer, since the start of the run; 0 if it never does.
	Deadline time.Duration
}
