package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wantParseErrors checks that a parser rejects each text with an error that contains the given words.
func wantParseErrors[E any](t *testing.T, parse func([]byte) (E, error), errors map[string]string) {
	t.Helper()
	for text, want := range errors {
		t.Run(want, func(t *testing.T) {
			if _, err := parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %v, want an error with %q", text, err, want)
			}
		})
	}
}

// An invalid file is rejected with an error that names the key, or says that the whole file is invalid.
func TestParse(t *testing.T) {
	with := func(faults string) string {
		return `{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"troubles":[` + faults + `]}`
	}
	wantParseErrors(t, Parse, map[string]string{
		`{`:  "invalid JSON",
		`[]`: "the experiment: ",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1}`:                       "seconds",
		`{"name":"x","balancers":0,"rooms":1,"sessions":1,"seconds":1}`:           "balancers: ",
		`{"name":"x","balancers":1,"rooms":1,"sessions":1,"seconds":1,"speed":1}`: "speed",
		with(`{"at_s":0,"do":"dance"}`):                                           "troubles/0/do: ",
		with(`{"at_s":0,"do":"drain"}`):                                           "room",
		with(`{"at_s":0,"do":"drain","room":1}`):                                  "troubles/0/room: 1",
		with(`{"at_s":2,"do":"rotate"}`):                                          "troubles/0/at_s",
		with(`{"at_s":0,"do":"kill","balancer":1}`):                               "troubles/0/balancer: 1",
	})
}

// Each file in the repository's folder of experiments is valid for the parser of its kind, which its name shows. The
// parsers of the other kinds reject it with an error that names the file.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.json")
	if err != nil || len(files) < 8 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	scales, memberships := 0, 0
	for _, path := range files {
		_, err := Load(path)
		_, scaleErr := LoadScale(path)
		_, membershipErr := LoadMembership(path)
		switch name := filepath.Base(path); {
		case strings.HasPrefix(name, "two-years"):
			scales++
			err, scaleErr = scaleErr, err
		case strings.HasPrefix(name, "membership"):
			memberships++
			err, membershipErr = membershipErr, err
		}
		if err != nil {
			t.Error(path, err)
		}
		for _, other := range []error{scaleErr, membershipErr} {
			if other == nil || !strings.Contains(other.Error(), path+": ") {
				t.Error(path, other)
			}
		}
	}
	if scales != 2 || memberships != 1 {
		t.Errorf("%d scale experiments, %d membership experiments", scales, memberships)
	}
	if _, err := Load("nowhere.json"); !os.IsNotExist(err) {
		t.Errorf("a file that does not exist: %v", err)
	}
}
