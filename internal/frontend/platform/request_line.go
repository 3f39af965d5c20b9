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

// requestWords is the number of words in a request line: OPEN, the id, the key and the list of fields.
const requestWords = 4

// idLength is the number of hexadecimal digits in a request's id and key.
const idLength = 16

// maxLoadMicroseconds is the largest load that is accepted, in microseconds of work a second.
const maxLoadMicroseconds = 1e12

// AllowedNames are the names that request lines may use, as the settings give them.
type AllowedNames struct {
	// Classes maps the name of each request class to its index.
	Classes map[string]int
	// Tenants is the set of the known tenants; if it is empty, any tenant is accepted.
	Tenants map[string]bool
}

// requestLine is a client's request, `OPEN ID KEY c=...,t=...,d=...`.
type requestLine struct {
	// id identifies the request; it has 16 hexadecimal digits.
	id string
	// key is the idempotency key; it has 16 hexadecimal digits.
	key string
	// group is the name of the group that the connection belongs to; empty if there is none.
	group string
	// class is the index of the request's class.
	class int
	// timeout is how long the client waits for an answer, counted from when it sent the line.
	timeout time.Duration
	// load is the expected load in seconds of work a second; 0 if the line names none.
	load float64
	// returning reports whether the client was connected before.
	returning bool
	// resumeToken is the client's session token, or protocol.NewToken; empty if the client uses no session.
	resumeToken string
	// hasSessionField reports whether the line has the field that only a balancer may send to a room server.
	hasSessionField bool
	// previousServer is the room server at which the connection was open before; empty for a new connection.
	previousServer string

	// beforeTimeout is the text of the line up to the value of the timeout field.
	beforeTimeout string
	// afterTimeout is the text of the line behind the value of the timeout field.
	afterTimeout string
}

// withTimeout returns the line to forward to a room server: the client's line with another timeout, at least 1 ms.
func (r *requestLine) withTimeout(timeout time.Duration) string {
	ms := max(timeout.Milliseconds(), 1)
	return r.beforeTimeout + strconv.FormatInt(ms, 10) + r.afterTimeout
}

// withSession returns the line to forward to a room server for a session: the field with the client's token is replaced
// by what the room server has to do with the session.
func (r *requestLine) withSession(timeout time.Duration, open protocol.Open) string {
	line := r.withTimeout(timeout)
	fieldsStart := strings.LastIndexByte(line, ' ') + 1
	fields := strings.Split(line[fieldsStart:], ",")
	for i, field := range fields {
		if strings.HasPrefix(field, fieldResume+"=") {
			fields[i] = protocol.FieldName + "=" + open.String()
		}
	}
	return line[:fieldsStart] + strings.Join(fields, ",")
}

// parseRequestLine parses a request line without its CRLF. It is strict, because a malformed line must not reach a room
// server. Unknown fields are accepted and forwarded.
func parseRequestLine(line string, names AllowedNames) (request requestLine, err error) {
	for _, char := range []byte(line) {
		if char < ' ' || char > '~' {
			return request, fmt.Errorf("request line: byte %#x is not printable ASCII", char)
		}
	}
	words := strings.Split(line, " ")
	if len(words) != requestWords || words[0] != wordOpen {
		return request, errors.New("request line: expected OPEN, an id, a key and a list of fields")
	}
	if !isHexID(words[1]) || !isHexID(words[2]) {
		return request, errors.New("request line: the id or the key is not 16 hexadecimal digits")
	}
	request.id, request.key = words[1], words[2]
	if err := request.parseFields(line, words[3], names); err != nil {
		return request, fmt.Errorf("request line: %w", err)
	}
	return request, nil
}

// parseFields parses the list of fields at the end of line. A field that occurs twice is an error, as is a missing
// class or timeout.
func (r *requestLine) parseFields(line, list string, names AllowedNames) error {
	offset := len(line) - len(list)
	seen := map[string]bool{}
	for list != "" {
		field, rest, more := strings.Cut(list, ",")
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || seen[name] || more && rest == "" {
			return fmt.Errorf("%q is not NAME=VALUE, or is there twice", field)
		}
		seen[name] = true
		if err := r.setField(name, value, names); err != nil {
			return err
		}
		if name == fieldTimeout {
			valueStart := offset + len(fieldTimeout+"=")
			r.beforeTimeout = line[:valueStart]
			r.afterTimeout = line[valueStart+len(value):]
		}
		offset += len(field) + 1
		list = rest
	}
	if !seen[fieldClass] || !seen[fieldTimeout] {
		return errors.New("c or d is missing")
	}
	return nil
}

// isHexID reports whether a text has the form of a request's id or key.
func isHexID(text string) bool {
	return len(text) == idLength && strings.Trim(text, "0123456789abcdef") == ""
}

// setField parses one field of the list; unknown names are ignored.
func (r *requestLine) setField(name, value string, names AllowedNames) error {
	switch name {
	case fieldClass:
		class, ok := names.Classes[value]
		if !ok {
			return fmt.Errorf("c: unknown class %q", value)
		}
		r.class = class
	case fieldTenant:
		if len(names.Tenants) > 0 && !names.Tenants[value] {
			return fmt.Errorf("t: unknown tenant %q", value)
		}
	case fieldTimeout:
		ms, err := strconv.ParseUint(value, 10, 31)
		if err != nil || strconv.FormatUint(ms, 10) != value {
			return fmt.Errorf("d: %q is not a number of milliseconds", value)
		}
		r.timeout = time.Duration(ms) * time.Millisecond
	case fieldGroup:
		r.group = value
	case fieldLoad:
		load, err := parseLoad(value)
		if err != nil {
			return fmt.Errorf("h: %w", err)
		}
		r.load = load
	case fieldResume:
		r.resumeToken = value
	case protocol.FieldName:
		r.hasSessionField = true
	case fieldReturning:
		r.returning = value == "1"
	case fieldPreviousServer:
		if value == "" {
			return errors.New("at: the instance is empty")
		}
		r.previousServer = value
	}
	return nil
}

// parseLoad parses a load in microseconds of work a second and returns it in seconds of work a second.
func parseLoad(text string) (float64, error) {
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(microseconds) || microseconds < 0 || microseconds > maxLoadMicroseconds {
		return 0, fmt.Errorf("%q is not a load", text)
	}
	return microseconds / 1e6, nil
}
