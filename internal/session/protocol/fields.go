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
	errInvalidNumber = errors.New("invalid number")
)

// fields parses the fields of a line one after the other and keeps the first error. Each value has only one valid
// form, so that a line that is parsed and formatted again is the same.
type fields struct {
	// remaining holds the fields that are not parsed yet.
	remaining []string
	// err is the first error; nil if there is none.
	err error
}

// newFields returns the parser of the given fields.
func newFields(texts []string) fields { return fields{remaining: texts} }

// next returns the next field, or an empty string if there is none.
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

// end returns the first error. Fields that are not parsed are one.
func (f *fields) end() error {
	if len(f.remaining) > 0 {
		f.fail(errFieldCount)
	}
	return f.err
}

// unsigned parses a number of at most the given bits, without leading zeros.
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

// flagDigit formats a value that flag parses.
func flagDigit(value bool) int {
	if value {
		return 1
	}
	return 0
}

// milliseconds parses a duration. The 31 bits of its number cannot overflow a time.Duration.
func (f *fields) milliseconds() time.Duration {
	return time.Duration(f.unsigned(10, 31)) * time.Millisecond
}

// stateSize parses the size of a state, at most MaxState.
func (f *fields) stateSize() int {
	size := f.decimal()
	if size > MaxState {
		f.fail(fmt.Errorf("%d bytes of state, %d at most", size, MaxState))
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

// ref parses the three fields of a reference.
func (f *fields) ref() token.Ref {
	var ref token.Ref
	ref.Session = f.session()
	ref.Epoch = f.decimal()
	ref.Fence = f.hexadecimal()
	return ref
}

// name parses a percent-encoded name that is not empty.
func (f *fields) name() string {
	text := f.next()
	name, err := url.PathUnescape(text)
	if err != nil || name == "" || url.PathEscape(name) != text {
		f.fail(fmt.Errorf("%q is not a valid name", text))
	}
	return name
}
