package core

// ClassCounters count the requests of one class since the start.
type ClassCounters struct {
	// Served counts requests whose connection was established, also after a restore.
	Served uint64
	// Rejected counts requests that were answered as not executed.
	Rejected uint64
	// Failed counts requests that were answered as failed.
	Failed uint64
	// Attempts counts attempts whose request was written completely to a server.
	Attempts uint64
}

// Counters count events since the start.
type Counters struct {
	// Malformed counts first lines that are not a valid request. They are answered as failed.
	Malformed uint64
	// Restored counts connections that were established by RestoreConnection.
	Restored uint64
	// ClientsLeft counts clients that disconnected while their request was pending.
	ClientsLeft uint64
	// Migrations counts clients of established connections that were asked to open a new connection.
	Migrations uint64
	// Probes counts probes that were requested from the Prober, which may drop some.
	Probes uint64
	// Shed counts client connections that were aborted to free their file descriptor.
	Shed uint64
	// Unresponsive counts established connections whose server stopped responding.
	Unresponsive uint64
	// ListSnapshots counts snapshots of the endpoint list.
	ListSnapshots uint64
	SessionCounters
}

// SessionCounters count session tokens and the requests that present one.
type SessionCounters struct {
	// TokensIssued counts tokens that were given to clients.
	TokensIssued uint64
	// TokensUnsealed counts tokens that clients did not get because they could not be sealed, usually for lack of a key.
	TokensUnsealed uint64
	// Resumed counts requests that resumed their session.
	Resumed uint64
	// StartedOver counts requests whose session could not be resumed, by reason.
	StartedOver map[Reason]uint64
}

// statistics are the engine's counters. The event loop owns them.
type statistics struct {
	counters Counters
	// classes are indexed like decide.Settings.Classes.
	classes []ClassCounters
}

func newStatistics(classes int) statistics {
	s := statistics{classes: make([]ClassCounters, classes)}
	s.counters.StartedOver = map[Reason]uint64{}
	return s
}

// classCounters returns the counters of the request's class, or nil if no valid request was received.
func (c *Call) classCounters() *ClassCounters {
	classes := c.engine.statistics.classes
	if c.request.Class < 0 || c.request.Class >= len(classes) {
		return nil
	}
	return &classes[c.request.Class]
}
