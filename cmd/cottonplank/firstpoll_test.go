package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A process starts with a list that is out of date: its room server was told to drain while the process was away. What
// discovery has counts as observed 6 s after it was made, part of which is over by then, so that the process polls at
// once, whatever its seed is.
func TestPollAfterStart(t *testing.T) {
	const maxDelay = 2500 * time.Millisecond // 1 s, a tick, and a busy machine
	polls := make(chan time.Time, 100)
	discovery := startHTTPServer(t, func(w http.ResponseWriter, req *http.Request) {
		select {
		case polls <- time.Now():
		default:
		}
		fmt.Fprintln(w, `{"generation":3,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9",`+
			`"zone":"a","lifecycle":"leaving"}]}`)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	})
	var processes []*process
	for _, seed := range []string{"1", "2", "3", "4", "5", "6"} {
		d := newDeployment(t)
		d.seed = seed
		processes = append(processes, d.start(discovery))
	}
	var ready time.Time
	for _, p := range processes {
		p.waitReady()
		ready = time.Now()
	}
	for range processes {
		select {
		case <-polls:
		case <-time.After(time.Until(ready.Add(maxDelay))):
			t.Fatalf("a process has not polled %v after all were ready", maxDelay)
		}
	}
}
