package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A process starts with a list that is out of date: its room server was told to drain while it was away. What discovery has counts as
// told 6 s after it was made, part of which is over by then, so that the process asks at once, whatever its seed.
func TestPollAfterStart(t *testing.T) {
	const most = 2500 * time.Millisecond // 1 s, a tick, and a busy machine
	heard := make(chan time.Time, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case heard <- time.Now():
		default:
		}
		fmt.Fprintln(w, `{"generation":3,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9","zone":"a","lifecycle":"leaving"}]}`)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	var processes []*process
	for _, seed := range []string{"1", "2", "3", "4", "5", "6"} {
		d := newDeployment(t)
		d.seed = seed
		processes = append(processes, d.start(strings.TrimPrefix(server.URL, "http://")))
	}
	var ready time.Time
	for _, p := range processes {
		p.waitReady()
		ready = time.Now()
	}
	for range processes {
		select {
		case <-heard:
		case <-time.After(time.Until(ready.Add(most))):
			t.Fatalf("a process has not asked %v after all were ready", most)
		}
	}
}
