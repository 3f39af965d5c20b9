package protocol

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"cottonplank/internal/session/token"
)

var (
	errFieldCount    = errors.New("wrong number of fields")
	errInvalidNumber = errors.New("invalid number: expected lower-case digits without leading zeros, in range")
)

// fields parses the fields of a line one by one and keeps the first error. It accepts only one form of each value, so
// that formatting a parsed line gives the same line.
type fields struct {
	// remaining holds the unparsed fields.
	remaining []string
	// err is the first error; nil if there is none.
	err error
}

// newFields returns the parser of the given fields.
func newFields(texts []string) fields { return fields{remaining: texts} }

// next removes the next field and returns it. If there is none, it records an error and returns an empty string.
func (f *fields) next() string {
	if len(f.remaining) == 0 {
		f.fail(errFieldCount)
		return ""
	}
	text := f.remaining[0]
	f.remaining = f.remaining[1:]
	return text
}

// fail records an error unless there is one already.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// end returns the first error. Unparsed fields are an error.
func (f *fields) end() error {
	if len(f.remaining) > 0 {
		f.fail(errFieldCount)
	}
	return f.err
}

// unsigned parses a number that fits into the given number of bits. It rejects leading zeros and upper-case digits.
func (f *fields) unsigned(base, bits int) uint64 {
	text := f.next()
	value, err := strconv.ParseUint(text, base, bits)
	if err != nil || strconv.FormatUint(value, base) != text {
		f.fail(errInvalidNumber)
		return 0
	}
	return value
}

// decimal parses a number in decimal.
func (f *fields) decimal() uint64 { return f.unsigned(10, 64) }

// hexadecimal parses a number in lower-case hexadecimal.
func (f *fields) hexadecimal() uint64 { return f.unsigned(16, 64) }

// flag parses 0 or 1.
func (f *fields) flag() bool { return f.unsigned(10, 1) == 1 }

// flagDigit returns the digit for a value, which flag parses.
func flagDigit(value bool) int {
	if value {
		return 1
	}
	return 0
}

// milliseconds parses a duration in milliseconds. The limit of 31 bits prevents an overflow of time.Duration.
func (f *fields) milliseconds() time.Duration {
	return time.Duration(f.unsigned(10, 31)) * time.Millisecond
}

// stateSize parses the size of a state, at most MaxState.
func (f *fields) stateSize() int {
	size := f.decimal()
	if size > MaxState {
		f.fail(fmt.Errorf("state is too large: %d bytes, expected at most %d", size, MaxState))
		return 0
	}
	return int(size)
}

// session parses a session ID.
func (f *fields) session() token.SessionID {
	id, err := token.ParseSessionID(f.next())
	if err != nil {
		f.fail(err)
	}
	return id
}

// ref parses the three fields of a reference: session ID, epoch and fence.
func (f *fields) ref() token.Ref {
	var ref token.Ref
	ref.Session = f.session()
	ref.Epoch = f.decimal()
	ref.Fence = f.hexadecimal()
	return ref
}

// name parses a name, which has to be percent-encoded as by url.PathEscape and must not be empty.
func (f *fields) name() string {
	text := f.next()
	name, err := url.PathUnescape(text)
	if err != nil || name == "" || url.PathEscape(name) != text {
		f.fail(fmt.Errorf("invalid name %q: expected percent-encoded text that is not empty", text))
	}
	return name
}
