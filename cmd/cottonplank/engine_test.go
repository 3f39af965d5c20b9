package main

import (
	"io"
	"slices"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/config"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
)

func TestDecodeLearned(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	const (
		first     = `{"server":1,"load":0.5,"age":7,"each":0.01,"streak":2,"out":3,"of":"d"}`
		second    = `{"server":2,"age":-1,"of":"d"}`
		malformed = `{"ser`
		foreign   = `{"server":3,"of":"other"}`
	)
	states := []decide.LearnedState{
		{Server: 1, Load: 0.5, Age: 7, LoadPerConnection: 0.01, ConsecutiveFailures: 2, EjectedFor: 3},
		{Server: 2, Age: -1},
	}
	for _, test := range []struct {
		name     string
		previous *hotrestart.PreviousProcess
		want     []decide.LearnedState
	}{
		{"no previous process", nil, nil},
		{"no learned state", &hotrestart.PreviousProcess{}, nil},
		{"two servers", &hotrestart.PreviousProcess{Learned: []string{first, second}}, states},
		{"a malformed line", &hotrestart.PreviousProcess{Learned: []string{first, malformed, second}}, states},
		{"another deployment", &hotrestart.PreviousProcess{Learned: []string{first, foreign, second}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := decodeLearned(test.previous, "d", log); !slices.Equal(got, test.want) {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

func TestSessionStateTimeout(t *testing.T) {
	settings := config.Sessions{StateTimeout: time.Second}
	if got := sessionStateTimeout(settings); got != 0 {
		t.Errorf("without session keys: %v", got)
	}
	settings.KeysFile = "keys.json"
	if got := sessionStateTimeout(settings); got != time.Second {
		t.Errorf("with session keys: %v", got)
	}
}
