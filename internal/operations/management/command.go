package management

import "errors"

// command is one of the commands of the management protocol.
type command string

const (
	commandPing     command = "PING"     // reports whether the instance serves clients
	commandInfo     command = "INFO"     // reports the metrics
	commandLameDuck command = "LAMEDUCK" // sends all clients away while the process stays
	commandRejoin   command = "REJOIN"   // ends the lame-duck state
)

// Status codes that begin a response.
const (
	statusOK    = "200 "
	statusError = "400 "
)

// infoEnd is the last line of the response to INFO, the only one with several lines.
const infoEnd = "EOF"

var errUnknownCommand = errors.New("expected PING, INFO, LAMEDUCK or REJOIN")

// parseCommand parses a request line without its line end. Commands have no arguments and are case-sensitive.
func parseCommand(text string) (command, error) {
	switch c := command(text); c {
	case commandPing, commandInfo, commandLameDuck, commandRejoin:
		return c, nil
	}
	return "", errUnknownCommand
}
