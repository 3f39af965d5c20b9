// Command standin2 plays the cases of the second review: it starts balancers with the commands of the deploy file, and
// is their clients, room servers and discovery. Its argument names a case; the working directory is the repository's
// root, and RECORD names the file for the record. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 110 * time.Second

// cases maps the names of the cases to their functions, which return the number of violations.
var cases = map[string]func(*stage) (violations int, err error){
	"run-twice":  playRunTwice,
	"flow-table": playFlowTable,
	"restart-id": playRestartID,
	"drain-id":   playDrainID,
	"resting":    playResting,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]]))
}

func play(run func(*stage) (int, error)) int {
	s, err := newStage()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	type result struct {
		violations int
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := run(s)
		done <- result{violations, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-interrupted:
		s.record.add("the case could not run: interrupted")
		return exitFailed
	case r := <-done:
		switch {
		case r.err != nil:
			s.record.add("the case could not run: %v", r.err)
			return exitFailed
		case r.violations > 0:
			s.record.add("RULE BROKEN: %d violations", r.violations)
			return exitBroken
		}
		s.record.add("the rule held")
		return exitHeld
	case <-time.After(caseTimeout):
		s.record.add("the case could not run: it took over %v", caseTimeout)
		return exitFailed
	}
}
