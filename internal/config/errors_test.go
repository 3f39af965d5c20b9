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
		{"missing", missing("name"), "name: is missing"},
		{"text", invalid("listen", "x", reasonNoAddress), `listen: "x" is no address and port`},
		{"number", invalid("term", uint64(2), "is invalid"), "term: 2 is invalid"},
		{"unknown value", invalid("repeat", "maybe", reasonUnknownValue), `repeat: unknown value "maybe"`},
		{"cause", &FieldError{Key: "known", Err: fs.ErrInvalid}, "known: invalid argument"},
		{"section", InSection("settings", InSection("rules", invalid("fall_s", -1.0, reasonBelowZero))),
			"settings.rules.fall_s: -1 is below 0"},
		{"other error in a section", InSection("control", fs.ErrInvalid), "control.invalid argument"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.err.Error(); got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}

// A rejected setting is available to programs, however many sections it is in.
func TestParseReturnsFieldError(t *testing.T) {
	text := `{"name":"n3","listen":"127.0.0.4:9000","discovery":"127.2.0.1:8500","seed":"8c","settings":{"zone":"a",
"membership_mode":"subscribe","profiles":[{"name":"solo-play","aim_s":0.3,"repeat":"maybe"}]}}`
	_, err := Parse([]byte(text), emptyEnvironment)
	var field *FieldError
	if !errors.As(err, &field) {
		t.Fatalf("%T, want a FieldError", err)
	}
	if field.Key != "settings.profiles[0].repeat" || field.Value != "maybe" || field.Reason != reasonUnknownValue {
		t.Errorf("%+v", field)
	}
}

// A caller that creates the keys file has to tell a missing one from one that cannot be read.
func TestLoadKeysWithoutFile(t *testing.T) {
	_, err := LoadKeys(filepath.Join(t.TempDir(), "keys.json"))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v, want it to be fs.ErrNotExist", err)
	}
	var field *FieldError
	if !errors.As(err, &field) || field.Key != "keys" {
		t.Errorf("%v, want a FieldError of keys", err)
	}
}
