package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// ErrNoConfigFile reports that the environment does not name a configuration file.
var ErrNoConfigFile = errors.New("PROXY_CONFIG is not set")

// FieldError reports a setting that is missing or invalid.
type FieldError struct {
	Key    string // path of the setting as the file spells it, e.g. settings.profiles[0].aim_s
	Value  any    // the rejected value; nil if it is missing, a secret that must not be printed, or part of Reason
	Reason string // why the value is rejected, and usually the accepted values
	Err    error  // the cause, usually an error of another package; if it is set, Value and Reason are unused
}

// Reasons that several settings share.
const (
	reasonMissing        = "required setting is missing or empty"
	reasonInvalidAddress = "is not a valid address: expected IP:PORT"
	reasonUnknownValue   = "unknown value" // the only reason that is printed before the value
	reasonBelowZero      = "is out of range: expected 0 or more"
)

// Error returns the key, the value unless it is nil, and the reason; or the key and the cause.
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

// Unwrap returns the cause, or nil.
func (e *FieldError) Unwrap() error { return e.Err }

// InSection prefixes the key of a FieldError with the name of the section that contains the key. The text of any other
// error gets the same prefix.
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

// decodeError converts an error of the JSON decoder. The result is a FieldError if a setting has the wrong type.
func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		reason := fmt.Sprintf("expected %s, found %s", describeType(mismatch.Type), mismatch.Value)
		return &FieldError{Key: mismatch.Field, Reason: reason}
	}
	return fmt.Errorf("configuration: %w", err)
}

// describeType returns the name of a type for an error text. A struct is called an object, because operators know the
// types of JSON but not the Go types of this package.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	default:
		return "a value of type " + t.String()
	}
}
