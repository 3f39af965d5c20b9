// Command standin plays the cases of the review: it starts balancers with the deploy file's run command and takes the
// place of clients, room servers and discovery, as the operators' protocol page describes them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

var (
	startTime   = time.Now()
	recordMutex sync.Mutex
	recordFile  *os.File
	cleanups    []func()
	// trouble says whether the case's disruption takes place.
	trouble = os.Getenv("TROUBLE") != "0"
)

// record writes a line to the case's record.
func record(format string, arguments ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(startTime).Seconds()}, arguments...)...)
	if recordFile != nil {
		_, _ = recordFile.WriteString(line)
	}
}

func say(format string, arguments ...any) {
	record(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func cleanup() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

func fatal(format string, arguments ...any) {
	say("the case could not run: "+format, arguments...)
	cleanup()
	os.Exit(statusFailed)
}

func must(err error) {
	if err != nil {
		fatal("%v", err)
	}
}

// cases holds the plays by name. A play returns whether the rule was broken.
var cases = map[string]func(folder string) bool{
	"pieces":       playPieces,
	"upgrade":      playUpgrade,
	"quichandover": playQUICHandover,
	// Not kept as cases; see REPORT.md.
	"resting":   playResting,
	"quictwice": playQUICTwice,
	"pushstart": playPushStart,
}

// limit bounds the time that a case runs.
const limit = 110 * time.Second

// The main goroutine starts all balancers. It keeps its thread, because the balancers are killed when that ends.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(statusFailed)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(statusFailed)
	}
	var err error
	recordFile, err = os.Create(os.Args[2])
	must(err)
	folder, err := os.MkdirTemp("", "review")
	must(err)
	cleanups = append(cleanups, func() {
		appendLogs(folder)
		_ = os.RemoveAll(folder)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			fatal("ended by a signal")
		case <-time.After(limit):
			fatal("it took longer than %v", limit)
		}
	}()
	record("case %s, trouble %v", os.Args[1], trouble)
	broken := play(folder)
	status := statusHeld
	if broken {
		status = statusBroken
	}
	cleanup()
	os.Exit(status)
}

// appendLogs appends the balancers' logs to the record.
func appendLogs(folder string) {
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, log := range logs {
		raw, _ := os.ReadFile(log)
		record("log of %s:\n%s", filepath.Base(log), raw)
	}
}
