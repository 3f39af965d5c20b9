package config

import (
	"errors"
	"io/fs"
	"path/filepath"
	"testing"
)

func TestFieldErrorText(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"missing", missing("name"), "name: required setting is missing or empty"},
		{"text", invalid("listen", "x", reasonInvalidAddress), `listen: "x" is not a valid address: expected IP:PORT`},
		{"number", invalid("term", uint64(2), "is invalid"), "term: 2 is invalid"},
		{"unknown value", invalid("repeat", "maybe", reasonUnknownValue), `repeat: unknown value "maybe"`},
		{"cause", &FieldError{Key: "known", Err: fs.ErrInvalid}, "known: invalid argument"},
		{"section", InSection("settings", InSection("rules", invalid("fall_s", -1.0, reasonBelowZero))),
			"settings.rules.fall_s: -1 is out of range: expected 0 or more"},
		{"other error in a section", InSection("control", fs.ErrInvalid), "control.invalid argument"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.err.Error(); got != test.want {
				t.Errorf("error text %q, want %q", got, test.want)
			}
		})
	}
}

// Parse returns a FieldError with the full key of the rejected setting, even if the setting is in nested sections.
func TestParseReturnsFieldError(t *testing.T) {
	text := `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"repeat":"maybe"}]}}`
	_, err := Parse([]byte(text), emptyEnvironment)
	var field *FieldError
	if !errors.As(err, &field) {
		t.Fatalf("error of type %T, want a FieldError", err)
	}
	if field.Key != "settings.profiles[0].repeat" || field.Value != "maybe" || field.Reason != reasonUnknownValue {
		t.Errorf("field error %+v", field)
	}
}

// The error for a missing keys file wraps fs.ErrNotExist: a caller that creates the file has to distinguish this from a
// file that cannot be read.
func TestLoadKeysWithoutFile(t *testing.T) {
	_, err := LoadKeys(filepath.Join(t.TempDir(), "keys.json"))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want one that wraps fs.ErrNotExist", err)
	}
	var field *FieldError
	if !errors.As(err, &field) || field.Key != "keys" {
		t.Errorf("error %v, want a FieldError with the key keys", err)
	}
}
