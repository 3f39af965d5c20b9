// Package simwire turns the simulator's text frames into events and actions into
// reply lines. It decides nothing.
package simwire

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// field is one name=value pair of a line.
type field struct{ name, value []byte }

// line is a message split into its name and fields; it aliases the read buffer.
type line struct {
	name   []byte
	fields []field
}

// parse splits raw at tabs. A part without '=' is an error.
func (l *line) parse(raw []byte) error {
	l.fields = l.fields[:0]
	var rest []byte
	l.name, rest, _ = bytes.Cut(raw, tab)
	if len(l.name) == 0 {
		return fmt.Errorf("line without a message name: %s", excerpt(raw))
	}
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, tab)
		name, value, ok := bytes.Cut(part, equals)
		if !ok || len(name) == 0 {
			return fmt.Errorf("%s: expected name=value, found %s", l.name, excerpt(part))
		}
		l.fields = append(l.fields, field{name, value})
	}
	return nil
}

var tab, equals = []byte{'\t'}, []byte{'='}

// excerpt quotes the start of raw for a message.
func excerpt(raw []byte) string {
	const most = 60
	if len(raw) > most {
		return strconv.Quote(string(raw[:most])) + "..."
	}
	return strconv.Quote(string(raw))
}

// get returns the value of a field and whether it is present.
func (l *line) get(name string) ([]byte, bool) {
	for i := range l.fields {
		if string(l.fields[i].name) == name {
			return l.fields[i].value, true
		}
	}
	return nil, false
}

// need returns a field that must be present.
func (l *line) need(name string) ([]byte, error) {
	v, ok := l.get(name)
	if !ok {
		return nil, fmt.Errorf("%s: field %s is missing", l.name, name)
	}
	return v, nil
}

func (l *line) bad(name, want string, v []byte) error {
	return fmt.Errorf("%s: field %s: expected %s, found %s", l.name, name, want, excerpt(v))
}

// number reads a whole number of at most bits bits.
func (l *line) number(name string, bits int) (uint64, error) {
	v, err := l.need(name)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(v), 10, bits)
	if err != nil {
		return 0, l.bad(name, "a whole number", v)
	}
	return n, nil
}

// optional reads a decimal that may be absent.
func (l *line) optional(name string, absent float64) (float64, error) {
	v, ok := l.get(name)
	if !ok || len(v) == 0 {
		return absent, nil
	}
	f, err := parseDecimal(v)
	if err != nil {
		return 0, l.bad(name, "a number", v)
	}
	return f, nil
}

// seconds reads a time in seconds.
func (l *line) seconds(name string) (time.Duration, error) {
	v, err := l.need(name)
	if err != nil {
		return 0, err
	}
	d, err := parseSeconds(v)
	if err != nil {
		return 0, l.bad(name, "seconds", v)
	}
	return d, nil
}

// flag reads a bool, 1 or 0; absent means 0.
func (l *line) flag(name string) (bool, error) {
	v, ok := l.get(name)
	switch {
	case !ok || string(v) == "0":
		return false, nil
	case string(v) == "1":
		return true, nil
	}
	return false, l.bad(name, "1 or 0", v)
}

// text reads a field that may be absent.
func (l *line) text(name string) string {
	v, _ := l.get(name)
	return string(v)
}

func parseDecimal(v []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(v), 64)
	if err == nil && !(f >= -maxNumber && f <= maxNumber) {
		err = strconv.ErrRange
	}
	return f, err
}

// maxNumber bounds the figures accepted; as seconds it still fits a Duration.
const maxNumber = 9e9

// parseSeconds reads plain decimals exactly to the nanosecond and leaves other
// notations to strconv.
func parseSeconds(v []byte) (time.Duration, error) {
	var whole, frac int64
	scale := int64(time.Second)
	seenDot := false
	if len(v) == 0 || len(v) > 18 {
		return slowSeconds(v)
	}
	for i, c := range v {
		switch {
		case c >= '0' && c <= '9' && !seenDot:
			if whole = whole*10 + int64(c-'0'); whole > maxNumber {
				return 0, strconv.ErrRange
			}
		case c >= '0' && c <= '9':
			if scale > 1 {
				scale /= 10
				frac += int64(c-'0') * scale
			}
		case c == '.' && !seenDot && i > 0:
			seenDot = true
		default:
			return slowSeconds(v)
		}
	}
	return time.Duration(whole)*time.Second + time.Duration(frac), nil
}

func slowSeconds(v []byte) (time.Duration, error) {
	f, err := parseDecimal(v)
	return secondsOf(f), err
}

// secondsOf rounds to the clock's microsecond.
func secondsOf(f float64) time.Duration {
	return time.Duration(f*1e6+0.5) * time.Microsecond
}
