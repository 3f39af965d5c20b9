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

// requestWords is the number of words in a request line: OPEN, the ID, the key and the list of fields.
const requestWords = 4

// idLength is the number of hexadecimal digits in a request's ID and in its key.
const idLength = 16

// maxLoadMicroseconds is the largest accepted load, in microseconds of work a second.
const maxLoadMicroseconds = 1e12

// AllowedNames are the request classes and tenants of the settings. Request lines with other names are malformed.
type AllowedNames struct {
	// Classes maps the name of each request class to its index.
	Classes map[string]int
	// Tenants is the set of known tenants. If it is empty, any tenant is accepted.
	Tenants map[string]bool
}

// requestLine is a client's request, `OPEN ID KEY c=...,t=...,d=...`.
type requestLine struct {
	// id identifies the request. It has 16 hexadecimal digits.
	id string
	// key identifies the client. The balancer uses it only as core.Request.Key. It has 16 hexadecimal digits.
	key string
	// group is the name of the connection's group, or empty if the line has no group field.
	group string
	// class is the index of the request's class.
	class int
	// timeout is how long the client waits for an answer, counted from when the balancer has read the line.
	timeout time.Duration
	// load is the expected load in seconds of work a second, or 0 if the line has no load field.
	load float64
	// returning reports whether the client reconnects after a broken or migrated connection.
	returning bool
	// resumeToken is the client's session token, or protocol.NewSession to start a new session. It is empty if the
	// client uses no session.
	resumeToken string
	// hasSessionField reports whether the line has the field protocol.FieldName, which only balancers may send.
	hasSessionField bool
	// previousServer is the name of the room server at which the connection was open before a restart of the balancer.
	// It is empty for a new connection.
	previousServer string

	// beforeTimeout is the part of the line before the value of the timeout field.
	beforeTimeout string
	// afterTimeout is the part of the line after the value of the timeout field.
	afterTimeout string
}

// withTimeout returns the client's line with another timeout, to forward to a room server. The timeout is at least 1
// ms.
func (r *requestLine) withTimeout(timeout time.Duration) string {
	ms := max(timeout.Milliseconds(), 1)
	return r.beforeTimeout + strconv.FormatInt(ms, 10) + r.afterTimeout
}

// withSession returns the line to forward to a room server for a request with a session. The field with the client's
// token is replaced by the session field, which specifies how the room server opens the session.
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

// parseRequestLine parses a request line without its CRLF. It is strict, because a malformed line must not reach a
// room server. Fields with unknown names are accepted and forwarded.
func parseRequestLine(line string, names AllowedNames) (request requestLine, err error) {
	for _, char := range []byte(line) {
		if char < ' ' || char > '~' {
			return request, fmt.Errorf("request line: byte %#x is not printable ASCII", char)
		}
	}
	words := strings.Split(line, " ")
	if len(words) != requestWords || words[0] != wordOpen {
		return request, errors.New("request line: expected OPEN, an id, a key and a field list, separated by single spaces")
	}
	if !isHexID(words[1]) || !isHexID(words[2]) {
		return request, errors.New("request line: invalid id or key: expected 16 lower-case hexadecimal digits each")
	}
	request.id, request.key = words[1], words[2]
	if err := request.parseFields(line, words[3], names); err != nil {
		return request, fmt.Errorf("request line: %w", err)
	}
	return request, nil
}

// parseFields parses the list of fields at the end of line. It returns an error if a field occurs twice, or if the
// class or the timeout is missing.
func (r *requestLine) parseFields(line, list string, names AllowedNames) error {
	offset := len(line) - len(list)
	seen := map[string]bool{}
	for list != "" {
		field, rest, more := strings.Cut(list, ",")
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || seen[name] || more && rest == "" {
			return fmt.Errorf("invalid or duplicate field %q: expected a list of NAME=VALUE, each name once", field)
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
		return errors.New("missing field: c (class) and d (timeout) are required")
	}
	return nil
}

// isHexID reports whether text has the form of a request's ID or key.
func isHexID(text string) bool {
	return len(text) == idLength && strings.Trim(text, "0123456789abcdef") == ""
}

// setField parses and stores the value of one field. It ignores unknown names.
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
			return fmt.Errorf("d: invalid timeout %q: expected 0 to 2147483647 (milliseconds)", value)
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
			return errors.New("at: empty value: expected the name of a room server")
		}
		r.previousServer = value
	}
	return nil
}

// parseLoad converts a load in microseconds of work a second to seconds of work a second.
func parseLoad(text string) (float64, error) {
	microseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(microseconds) || microseconds < 0 || microseconds > maxLoadMicroseconds {
		return 0, fmt.Errorf("invalid load %q: expected 0 to 1e12 microseconds of work a second", text)
	}
	return microseconds / 1e6, nil
}
