package migration

// Step is what the frontend has to do next for a Flow.
type Step uint8

// The steps.
const (
	// Wait means to do nothing until the next event. It is the zero value, which no method of Flow returns.
	Wait Step = iota
	// Locate means to look up the address of Flow.Holder and to report it with Flow.Located.
	Locate
	// Export means to request the state from Flow.Holder with Flow.Claim, and to report the answer with
	// Flow.HolderAnswered.
	Export
	// OpenReattach means to send a request line to the attempt's room server that reattaches Flow.Ref, which it
	// holds, and to report its response with Flow.UpstreamHolds or Flow.HolderAnswered.
	OpenReattach
	// OpenMigrated means to send a request line to the attempt's room server that announces the state of Flow.Next,
	// and to report its response with Flow.UpstreamReady.
	OpenMigrated
	// SendState means to send Flow.State to the attempt's room server, and to report its response with
	// Flow.UpstreamHolds.
	SendState
	// Commit means to ask Flow.Holder to release the session, and to report the answer with Flow.Committed.
	Commit
	// Activate means to tell the attempt's room server to attach the session, and to report with
	// Flow.UpstreamAccepted that it has accepted the client.
	Activate
	// Establish means to forward the room server's acceptance to the client. It is the last step of a resumption that
	// succeeds.
	Establish
	// StartOver means to send the client a final answer: its session cannot continue because of Flow.Reason.
	StartOver
	// RetryLater means to send the client a final answer: it may retry with the same token after Flow.RetryAfter.
	RetryLater
)
