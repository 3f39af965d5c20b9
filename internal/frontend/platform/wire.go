package platform

// The words of the platform's line protocol that clients, room servers and the balancer exchange.
const (
	// wordOpen begins a client's request line.
	wordOpen = "OPEN"
	// wordUp begins a room server's acceptance of a request.
	wordUp = "UP"
	// wordBusy rejects a request that was not executed, or answers a health check if the balancer accepts no new
	// clients.
	wordBusy = "BUSY"
	// wordErr reports a failed request, which may have been executed.
	wordErr = "ERR"
	// wordMove asks a client to reconnect, so that it is placed again.
	wordMove = "MOVE"
	// wordBye announces a regular close of the connection by the room server.
	wordBye = "BYE"
	// wordLoad begins a line with which a room server reports the present load of the connection.
	wordLoad = "LOAD"
	// wordPing is a health check of a balancer.
	wordPing = "PING"
	// wordPong is the successful answer to a health check or a probe.
	wordPong = "PONG"
	// wordStats is a probe of a room server, which answers with its load report.
	wordStats = "STATS"
)

// The first words of the lines of the session extension that a room server sends. Package protocol formats these lines
// for room servers.
const (
	// wordKept begins the first line after a room server's acceptance of a request with a session. The line confirms
	// that the session can be migrated. Its parameters are the session's epoch and position.
	wordKept = "KEPT"
	// wordHeld begins the line with which a room server reports, before its acceptance, that it has the state of the
	// session that it was asked to open. Its parameters are the session's epoch and position.
	wordHeld = "HELD"
	// wordPosition begins the line with which a room server acknowledges a client's messages up to a position.
	wordPosition = "POS"
)

// The names of the fields at the end of a request line. The session extension adds protocol.FieldName.
const (
	fieldClass          = "c"
	fieldTenant         = "t"
	fieldTimeout        = "d"      // in milliseconds
	fieldGroup          = "g"      // the connections of a group share work on one server
	fieldLoad           = "h"      // expected load, in microseconds of work a second
	fieldResume         = "resume" // session token, or protocol.NewSession
	fieldReturning      = "again"  // "1": the client reconnects after a broken or migrated connection
	fieldPreviousServer = "at"     // the room server of a connection to restore after a restart
)

// maxLineLength is the maximum length of a line in bytes, including its CRLF.
const maxLineLength = 4096

// lineEnd ends each line of the protocol.
const lineEnd = "\r\n"
