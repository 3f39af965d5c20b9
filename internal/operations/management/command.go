package management

import "errors"

// command is one of the commands of the management protocol.
type command string

const (
	commandPing     command = "PING"     // reports whether the instance serves clients
	commandInfo     command = "INFO"     // reports the metrics
	commandLameDuck command = "LAMEDUCK" // migrates all clients to other balancers; the process keeps running
	commandRejoin   command = "REJOIN"   // leaves the lame-duck state
)

// Status codes that begin a response.
const (
	statusOK    = "200 "
	statusError = "400 "
)

// infoEnd is the last line of the response to INFO, which is the only response of more than one line.
const infoEnd = "EOF"

var errUnknownCommand = errors.New("expected PING, INFO, LAMEDUCK or REJOIN")

// parseCommand parses a request line without its terminator. Commands have no arguments and are case-sensitive.
func parseCommand(text string) (command, error) {
	switch c := command(text); c {
	case commandPing, commandInfo, commandLameDuck, commandRejoin:
		return c, nil
	}
	return "", errUnknownCommand
}
