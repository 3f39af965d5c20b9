package migration

// Step is what a frontend has to do next for a Flow.
type Step uint8

// The steps.
const (
	// Wait means to do nothing until the next event.
	Wait Step = iota
	// Locate means to look up the address of Flow.Holder and to report it with Flow.Located.
	Locate
	// Export means to request the state from Flow.Holder with Flow.Claim, and to report the answer with
	// Flow.HolderAnswered.
	Export
	// OpenReattach means to send the attempt's room server the request line that reattaches Flow.Ref, which it holds.
	OpenReattach
	// OpenMigrated means to send the attempt's room server the request line that announces the state of Flow.Next.
	OpenMigrated
	// SendState means to send Flow.State to the attempt's room server.
	SendState
	// Commit means to ask Flow.Holder to let the session go, and to report the answer with Flow.Committed.
	Commit
	// Activate means to tell the attempt's room server to attach the session.
	Activate
	// Establish means to pass the room server's acceptance on to the client.
	Establish
	// StartOver means to tell the client, as its final answer, that its session cannot continue because of
	// Flow.Reason.
	StartOver
	// RetryLater means to tell the client, as its final answer, to retry with the same token after Flow.RetryAfter.
	RetryLater
)
