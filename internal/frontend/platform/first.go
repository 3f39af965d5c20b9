package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cottonplank/internal/session/protocol"
)

// maxLine is the longest line of the protocol, its end included.
const maxLine = 4096

// Names says which classes and tenants the settings know.
type Names struct {
	Classes map[string]int
	Tenants map[string]bool // empty: any
}

// firstLine is a client's first line, `OPEN ID KEY c=...,t=...,d=...`.
type firstLine struct {
	id, key   string
	group     string
	class     int
	wait      time.Duration // how long the client will wait, from when it sent the line
	load      float64       // the guess at the load, in seconds of work a second; 0: none
	returning bool
	resume    string // what it says of a session; empty: nothing
	session   bool   // it says what only a balancer says to a room server
	at        string // the instance at which it was open before

	head, tail string // the line before and after the figure of d
}

// forward is the line as it goes on to a room server: unchanged but for d.
func (f *firstLine) forward(wait time.Duration) string {
	return f.head + strconv.FormatInt(max(wait.Milliseconds(), 1), 10) + f.tail
}

// forwardSession is the line as it goes on for a session: what the client says of it gives way to what the room server
// is to do.
func (f *firstLine) forwardSession(wait time.Duration, open protocol.Open) string {
	line := f.forward(wait)
	list := strings.LastIndexByte(line, ' ') + 1
	pairs := strings.Split(line[list:], ",")
	for i, pair := range pairs {
		if strings.HasPrefix(pair, "resume=") {
			pairs[i] = protocol.FieldName + "=" + open.String()
		}
	}
	return line[:list] + strings.Join(pairs, ",")
}

// parseFirst reads a first line without its end. It is strict, as a line in a form that no client sends
// must not reach a room server.
func parseFirst(line string, names Names) (f firstLine, err error) {
	for _, c := range []byte(line) {
		if c < ' ' || c > '~' {
			return f, fmt.Errorf("first line: byte %#x is not printable ASCII", c)
		}
	}
	parts := strings.Split(line, " ")
	if len(parts) != 4 || parts[0] != "OPEN" {
		return f, errors.New("first line: expected OPEN, an id, a key and a list")
	}
	if !isID(parts[1]) || !isID(parts[2]) {
		return f, errors.New("first line: the id or the key is not 16 hexadecimal digits")
	}
	f.id, f.key = parts[1], parts[2]
	list := parts[3]
	offset := len(line) - len(list)
	seen := map[string]bool{}
	for list != "" {
		pair, rest, more := strings.Cut(list, ",")
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" || seen[name] || more && rest == "" {
			return f, fmt.Errorf("first line: %q is no name and value, or is there twice", pair)
		}
		seen[name] = true
		if err := f.field(name, value, names); err != nil {
			return f, fmt.Errorf("first line: %w", err)
		}
		if name == "d" {
			from := offset + len("d=")
			f.head, f.tail = line[:from], line[from+len(value):]
		}
		offset += len(pair) + 1
		list = rest
	}
	if !seen["c"] || !seen["d"] {
		return f, errors.New("first line: c or d is missing")
	}
	return f, nil
}

// isID tells whether a text has the form that clients give their ids and keys.
func isID(text string) bool {
	return len(text) == 16 && strings.Trim(text, "0123456789abcdef") == ""
}

func (f *firstLine) field(name, value string, names Names) error {
	switch name {
	case "c":
		class, ok := names.Classes[value]
		if !ok {
			return fmt.Errorf("c: unknown class %q", value)
		}
		f.class = class
	case "t":
		if len(names.Tenants) > 0 && !names.Tenants[value] {
			return fmt.Errorf("t: unknown tenant %q", value)
		}
	case "d":
		ms, err := strconv.ParseUint(value, 10, 31)
		if err != nil || strconv.FormatUint(ms, 10) != value {
			return fmt.Errorf("d: %q is no number of milliseconds", value)
		}
		f.wait = time.Duration(ms) * time.Millisecond
	case "g":
		f.group = value
	case "h":
		us, err := parseLoad(value)
		if err != nil {
			return fmt.Errorf("h: %w", err)
		}
		f.load = us
	case "resume":
		f.resume = value
	case protocol.FieldName:
		f.session = true
	case "again":
		f.returning = value == "1"
	case "at":
		if value == "" {
			return errors.New("at: the instance is empty")
		}
		f.at = value
	}
	return nil
}

// parseLoad reads a load in microseconds of work a second.
func parseLoad(text string) (float64, error) {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(us) || us < 0 || us > 1e12 {
		return 0, fmt.Errorf("%q is no load", text)
	}
	return us / 1e6, nil
}
