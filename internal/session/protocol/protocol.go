// Package protocol formats and parses the lines with which balancers, room servers and clients migrate sessions, as
// docs/resume-protocol.md specifies them. It knows the text only; packages arbiter and migration decide what to do.
// Lines are passed without their line ends.
package protocol

import (
	"fmt"
	"strings"
)

const (
	// FieldName is the name of the field of a request line that says how to open a session.
	FieldName = "session"
	// NewToken is the value with which a client that has no token requests one.
	NewToken = "new"
	// MaxState is the maximum size of a session's state in bytes that any balancer transfers.
	MaxState = 1 << 20
)

// Lines between a balancer and a room server that have no parameters.
const (
	// ReadyLine is sent by a room server that waits for a session's state.
	ReadyLine = "READY"
	// ActivateLine tells a room server to attach the session that it has prepared.
	ActivateLine = "GO"
	// CommitDone answers a Commit: the room server has let the session go.
	CommitDone = "DONE"
	// CommitRejected answers a Commit: the session was attached or claimed by another.
	CommitRejected = "NO"
	// HaveLine is sent by a client, through its balancer, to confirm that it has its token.
	HaveLine = "HAVE"
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
// opened, at this epoch and position. The balancer may activate it.
func SessionReadyLine(epoch, position uint64) string {
	return fmt.Sprintf("%s %d %d", wordSessionReady, epoch, position)
}

// SessionRetainedLine returns the line with which a room server reports, first after it has accepted the client, that
// it retains the session: the session can be migrated, and the client gets a token.
func SessionRetainedLine(epoch, position uint64) string {
	return fmt.Sprintf("%s %d %d", wordSessionRetained, epoch, position)
}

// PositionLine returns the line with which a room server acknowledges all of the client's moves up to a position.
func PositionLine(position uint64) string { return fmt.Sprintf("%s %d", wordPosition, position) }

// ParseNumbers parses a line that consists of a word and decimal numbers, such as those of SessionReadyLine,
// SessionRetainedLine and PositionLine. It returns false if the line does not have that form; the numbers are
// undefined then.
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

// StartOverLine returns the line that tells a client that its session cannot continue. reason is a word of
// migration.Reason.
func StartOverLine(reason string) string { return wordStartOver + " " + reason }

// parametersOf returns the parameters of a line that begins with a word.
func parametersOf(line, word string) (fields, error) {
	rest, ok := strings.CutPrefix(line, word+" ")
	if !ok {
		return fields{}, fmt.Errorf("expected %s", word)
	}
	return newFields(strings.Split(rest, " ")), nil
}
