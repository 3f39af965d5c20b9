// Package protocol formats and parses the lines that balancers, room servers and clients exchange to resume and
// migrate sessions. docs/resume-protocol.md specifies them. Packages arbiter and migration decide which lines to
// send. All lines are without their line ends.
package protocol

import (
	"fmt"
	"strings"
)

const (
	// FieldName is the name of the field in a request line to a room server that contains the text of an Open.
	FieldName = "session"
	// NewSession is the text that a client without a token sends in place of a token, to request a new session with a
	// token.
	NewSession = "new"
	// MaxState is the maximum size in bytes of a session's state that any balancer transfers. The configuration of a
	// balancer can only lower it.
	MaxState = 1 << 20
)

// Lines to and from a room server that have no parameters.
const (
	// ReadyLine is the room server's response to a request line with ModeMigrate: it waits for the session's state.
	ReadyLine = "READY"
	// ActivateLine requests that a room server accept the client with the session that it has reported with
	// SessionReadyLine. After ModeMigrate, the room server attaches the session now; after ModeReattach, it has
	// attached the session already.
	ActivateLine = "GO"
	// CommitDone is the answer to a Commit that was executed: the room server has released the session.
	CommitDone = "DONE"
	// CommitRejected is the answer to a Commit whose claim has ended, for example because another request has
	// attached or claimed the session.
	CommitRejected = "NO"
	// TokenReceivedLine is sent by a client, through its balancer, to confirm that it has received its token.
	TokenReceivedLine = "HAVE"
)

// First words of lines with parameters.
const (
	wordExport          = "EXPORT"
	wordCommit          = "COMMIT"
	wordSessionReady    = "HELD"
	wordSessionRetained = "KEPT"
	wordPosition        = "POS"
	wordToken           = "TOKEN"
	wordStartOver       = "ANEW"
)

// SessionReadyLine returns the line with which a room server reports that it holds the session that the balancer has
// opened with ModeReattach or ModeMigrate, at this epoch and position. The balancer may then send ActivateLine.
func SessionReadyLine(epoch, position uint64) string {
	return fmt.Sprintf("%s %d %d", wordSessionReady, epoch, position)
}

// SessionRetainedLine returns the line that a room server sends directly after it has accepted a client if it retains
// the session. The client can then resume the session, also at another room server, so the balancer issues a token to
// it.
func SessionRetainedLine(epoch, position uint64) string {
	return fmt.Sprintf("%s %d %d", wordSessionRetained, epoch, position)
}

// PositionLine returns the line with which a room server acknowledges the client's moves; position is their number.
func PositionLine(position uint64) string { return fmt.Sprintf("%s %d", wordPosition, position) }

// ParseNumbers parses a line that consists of a word and decimal numbers, such as a result of SessionReadyLine,
// SessionRetainedLine or PositionLine. It returns false if the line does not have that form; the values of the numbers
// are undefined then.
func ParseNumbers(line, word string, numbers ...*uint64) bool {
	f, err := parametersOf(line, word)
	if err != nil {
		return false
	}
	for _, number := range numbers {
		*number = f.decimal()
	}
	return f.end() == nil
}

// TokenLine returns the line that gives a client its session token.
func TokenLine(text string) string { return wordToken + " " + text }

// StartOverLine returns the line that notifies a client that its session cannot be resumed. reason is the word of a
// migration.Reason.
func StartOverLine(reason string) string { return wordStartOver + " " + reason }

// parametersOf returns a parser of the parameters of a line. It returns an error if the line does not begin with word
// and a space.
func parametersOf(line, word string) (fields, error) {
	rest, ok := strings.CutPrefix(line, word+" ")
	if !ok {
		return fields{}, fmt.Errorf("invalid line: expected %s and its parameters", word)
	}
	return newFields(strings.Split(rest, " ")), nil
}
