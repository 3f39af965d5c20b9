package migration

// Step is the next action that the frontend, the part of the balancer that does the I/O, takes for a Flow.
type Step uint8

// The steps.
const (
	// Wait means to do nothing until the next event. It is the zero value, which no method of Flow returns.
	Wait Step = iota
	// Locate means to look up the address of Flow.Holder and to report it with Flow.Located.
	Locate
	// Export means to request the state from Flow.Holder with Flow.Claim, and to report the answer with
	// Flow.HolderAnswered, or a failure with Flow.HolderDisconnected.
	Export
	// OpenReattach means to send to the attempt's room server, which is Flow.Holder, a request line with
	// protocol.ModeReattach for Flow.Ref, and to report the room server's response with Flow.UpstreamHolds or
	// Flow.HolderAnswered.
	OpenReattach
	// OpenMigrated means to send to the attempt's room server a request line with protocol.ModeMigrate, which
	// announces Flow.State for the copy Flow.Next, and to report the room server's response with Flow.UpstreamReady.
	OpenMigrated
	// SendState means to send Flow.State to the attempt's room server, and to report its response with
	// Flow.UpstreamHolds.
	SendState
	// Commit means to request that Flow.Holder release the session, and to report the answer with Flow.Committed, or
	// a failure of the connection with Flow.HolderDisconnected.
	Commit
	// Activate means to send protocol.ActivateLine to the attempt's room server, and to report with
	// Flow.UpstreamAccepted that the room server has accepted the client.
	Activate
	// Establish means to forward the room server's acceptance to the client. It is the last step of a resumption that
	// succeeds.
	Establish
	// StartOver means to send the client a final answer: its session cannot continue because of Flow.Reason.
	StartOver
	// RetryLater means to send the client a final answer: it may retry with the same token after Flow.RetryAfter.
	RetryLater
)
