package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// ErrNoConfigFile says that the environment does not name a configuration file.
var ErrNoConfigFile = errors.New("PROXY_CONFIG is not set")

// FieldError reports a setting that is missing or invalid.
type FieldError struct {
	Key    string // path of the setting as the file spells it, e.g. settings.profiles[0].aim_s
	Value  any    // the rejected value; nil if it is missing, or a secret that must not be printed
	Reason string // what is wrong with the value
	Err    error  // the cause, in place of Value and Reason, if another package has rejected the setting
}

// Reasons that several settings share.
const (
	reasonMissing      = "is missing"
	reasonNoAddress    = "is no address and port"
	reasonUnknownValue = "unknown value" // the only reason that is printed before the value
	reasonBelowZero    = "is below 0"
)

// Error names the key, the value, unless it is missing or a secret, and the reason.
func (e *FieldError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Key, e.Err)
	}
	if e.Value == nil {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	value := fmt.Sprint(e.Value)
	if text, isText := e.Value.(string); isText {
		value = fmt.Sprintf("%q", text)
	}
	if e.Reason == reasonUnknownValue {
		return fmt.Sprintf("%s: %s %s", e.Key, e.Reason, value)
	}
	return fmt.Sprintf("%s: %s %s", e.Key, value, e.Reason)
}

// Unwrap returns the cause, if another package has rejected the setting.
func (e *FieldError) Unwrap() error { return e.Err }

// InSection prefixes the key of a FieldError with the section that holds it; other errors get the same prefix as text.
func InSection(section string, err error) error {
	field, isField := err.(*FieldError)
	if !isField {
		return fmt.Errorf("%s.%w", section, err)
	}
	prefixed := *field
	prefixed.Key = section + "." + field.Key
	return &prefixed
}

func invalid(key string, value any, reason string) error {
	return &FieldError{Key: key, Value: value, Reason: reason}
}

func missing(key string) error { return &FieldError{Key: key, Reason: reasonMissing} }

// decodeError turns an error of the JSON decoder into a FieldError if it is about one key.
func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		reason := fmt.Sprintf("%s was expected, found %s", describeType(mismatch.Type), mismatch.Value)
		return &FieldError{Key: mismatch.Field, Reason: reason}
	}
	return fmt.Errorf("configuration: %w", err)
}

// describeType names a type in an error. The Go name of an object's type would tell an operator nothing.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	default:
		return "a " + t.String()
	}
}
