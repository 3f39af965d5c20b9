package platform

// The words of the platform's line protocol that clients, room servers and the balancer exchange.
const (
	// wordOpen begins a client's request line.
	wordOpen = "OPEN"
	// wordUp begins a room server's acceptance of a request.
	wordUp = "UP"
	// wordBusy is a rejection; the request was not executed.
	wordBusy = "BUSY"
	// wordErr is a failure; the request may have been executed.
	wordErr = "ERR"
	// wordMove tells a client to connect again, to be placed at another server.
	wordMove = "MOVE"
	// wordBye announces that the room server closes the connection in the regular way.
	wordBye = "BYE"
	// wordLoad begins a room server's line with the present load of one connection.
	wordLoad = "LOAD"
	// wordPing is a health check of a balancer.
	wordPing = "PING"
	// wordPong is the successful answer to a health check or a probe.
	wordPong = "PONG"
	// wordStats is a probe of a room server, which answers with its load report.
	wordStats = "STATS"
)

// The words of the session extension that a room server sends to a balancer. Package protocol writes these lines.
const (
	// wordKept begins the line with which a room server offers to keep a session: epoch and position.
	wordKept = "KEPT"
	// wordHeld begins the line with which a room server confirms that it has a session: epoch and position.
	wordHeld = "HELD"
	// wordPosition begins the line that acknowledges a client's messages up to a position.
	wordPosition = "POS"
)

// The names of the fields in the list at the end of a request line. protocol.FieldName is one more.
const (
	fieldClass          = "c"
	fieldTenant         = "t"
	fieldTimeout        = "d"
	fieldGroup          = "g"
	fieldLoad           = "h"
	fieldResume         = "resume"
	fieldReturning      = "again"
	fieldPreviousServer = "at"
)

// maxLineLength is the longest line of the protocol in bytes, its CRLF included.
const maxLineLength = 4096

// lineEnd ends each line of the protocol.
const lineEnd = "\r\n"
