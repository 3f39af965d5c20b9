package simwire

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// field is one name=value pair of a line.
type field struct{ name, value []byte }

// line is a message that is split into its name and fields. The name and the fields are slices of the read buffer,
// so they are valid only until the next line is read.
type line struct {
	name   []byte
	fields []field
}

// FieldError reports a field of a message that is missing or has an invalid value.
type FieldError struct {
	Message string // name of the message
	Field   string // name of the field
	Problem string // text that follows the field's name, such as " is missing"
}

// Error returns the name of the message, the name of the field and the problem.
func (e *FieldError) Error() string { return e.Message + ": field " + e.Field + e.Problem }

// parse splits raw at the tabs. It returns an error if a field has no name or no '='.
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

// maxExcerpt is the largest number of bytes of input that an error message quotes.
const maxExcerpt = 60

// excerpt quotes the start of raw for an error message.
func excerpt(raw []byte) string {
	if len(raw) > maxExcerpt {
		return strconv.Quote(string(raw[:maxExcerpt])) + "..."
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

// required returns the value of a field, or an error if it is missing.
func (l *line) required(name string) ([]byte, error) {
	value, ok := l.get(name)
	if !ok {
		return nil, &FieldError{string(l.name), name, " is missing"}
	}
	return value, nil
}

// invalid returns the error for a field with an invalid value.
func (l *line) invalid(name, expected string, value []byte) error {
	return &FieldError{string(l.name), name, ": expected " + expected + ", found " + excerpt(value)}
}

// number reads a required whole number that fits in the given number of bits.
func (l *line) number(name string, bits int) (uint64, error) {
	value, err := l.required(name)
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseUint(string(value), 10, bits)
	if err != nil {
		return 0, l.invalid(name, "a whole number in the field's range", value)
	}
	return number, nil
}

// optionalDecimal reads a decimal number. An absent or empty field means 0.
func (l *line) optionalDecimal(name string) (float64, error) {
	value, ok := l.get(name)
	if !ok || len(value) == 0 {
		return 0, nil
	}
	number, err := parseDecimal(value)
	if err != nil {
		return 0, l.invalid(name, "a number from -9e9 to 9e9", value)
	}
	return number, nil
}

// seconds reads a required time in seconds.
func (l *line) seconds(name string) (time.Duration, error) {
	value, err := l.required(name)
	if err != nil {
		return 0, err
	}
	duration, err := parseSeconds(value)
	if err != nil {
		return 0, l.invalid(name, "seconds", value)
	}
	return duration, nil
}

// flag reads a boolean, 1 or 0. An absent field means 0.
func (l *line) flag(name string) (bool, error) {
	value, ok := l.get(name)
	switch {
	case !ok || string(value) == "0":
		return false, nil
	case string(value) == "1":
		return true, nil
	}
	return false, l.invalid(name, "1 or 0", value)
}

// text returns the value of a field, or an empty string if the field is absent.
func (l *line) text(name string) string {
	value, _ := l.get(name)
	return string(value)
}

// maxNumber is the largest accepted decimal number. As a number of seconds it fits in a time.Duration.
const maxNumber = 9e9

// parseDecimal reads a number from -maxNumber to maxNumber.
func parseDecimal(text []byte) (float64, error) {
	number, err := strconv.ParseFloat(string(text), 64)
	if err == nil && !(number >= -maxNumber && number <= maxNumber) { // the condition is also true for NaN
		err = strconv.ErrRange
	}
	return number, err
}

// maxExactLength is the largest number of characters of a text that parseSeconds reads digit by digit.
const maxExactLength = 18

// parseSeconds reads plain decimals of up to maxExactLength characters exactly, and cuts off digits below a nanosecond.
// It reads longer texts and other notations as a float64 and rounds them to the microsecond.
func parseSeconds(text []byte) (time.Duration, error) {
	var whole, fraction int64
	scale := int64(time.Second)
	seenPoint := false
	if len(text) == 0 || len(text) > maxExactLength {
		return parseFloatSeconds(text)
	}
	for i, c := range text {
		switch {
		case c >= '0' && c <= '9' && !seenPoint:
			if whole = whole*10 + int64(c-'0'); whole > maxNumber {
				return 0, strconv.ErrRange
			}
		case c >= '0' && c <= '9':
			if scale > 1 {
				scale /= 10
				fraction += int64(c-'0') * scale
			}
		case c == '.' && !seenPoint && i > 0:
			seenPoint = true
		default:
			return parseFloatSeconds(text)
		}
	}
	return time.Duration(whole)*time.Second + time.Duration(fraction), nil
}

func parseFloatSeconds(text []byte) (time.Duration, error) {
	seconds, err := parseDecimal(text)
	return secondsToDuration(seconds), err
}

// secondsToDuration rounds to the microsecond, which is the resolution of the simulator's clock.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds*1e6+0.5) * time.Microsecond
}
