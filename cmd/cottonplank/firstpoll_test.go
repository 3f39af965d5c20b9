package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a first poll that comes too late. The known list of the configuration may be out of date: here its
// room server has started to drain while no process ran. A balancer has to apply a change within 6 s, some of which
// have passed before the process starts. It therefore polls soon after the start, whatever its seed.
func TestPollAfterStart(t *testing.T) {
	// The random delay is at most 1 s, and polls start at the decision module's ticks, every 250 ms. The rest is a
	// margin for a busy machine.
	const maxDelay = 2500 * time.Millisecond
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
			t.Fatalf("a process has not polled within %v of the time when all were ready", maxDelay)
		}
	}
}
