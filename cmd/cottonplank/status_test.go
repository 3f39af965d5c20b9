package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// startManagementEmulator emulates an instance's management address. Each INFO increases the counters of served
// requests, by 10 for class a and by 20 for class b.
func startManagementEmulator(t *testing.T, pingResponse string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request := make([]byte, 100)
			length, _ := conn.Read(request)
			if string(request[:length]) == "INFO\r\n" {
				n += 10
				fmt.Fprintf(conn, "200 figures\r\nsvc.fulfilled.a=%d\r\nsvc.fulfilled.b=%d\r\nsvc.throttled.a=7\r\n", n, 2*n)
				io.WriteString(conn, "svc.generation=3\r\nsvc.open_requests=5\r\nsvc.registry_entries=4\r\n"+
					"svc.out_of_rotation=1\r\nEOF\r\n")
			} else {
				io.WriteString(conn, pingResponse+"\r\n")
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Each instance has a row in the table, or an element in the JSON array. If an instance does not answer, its element
// contains the error, and the exit status is 1.
func TestStatus(t *testing.T) {
	serving := startManagementEmulator(t, "200 serving")
	lameDuck := startManagementEmulator(t, "400 lame duck")
	var out, errs bytes.Buffer
	status := run([]string{"status", "--over", "100ms", serving, lameDuck}, &out, &errs)
	if text := out.String() + errs.String(); status != 0 || strings.Count(text, "\n") != 3 ||
		!strings.Contains(text, "serving") || !strings.Contains(text, "lame duck  3           5     4      1") {
		t.Errorf("status %d\n%s", status, text)
	}
	out.Reset()
	errs.Reset()
	unreachable := freeAddress(t)
	status = run([]string{"status", "--json", "--over", "100ms", serving, unreachable}, &out, &errs)
	if status != 1 || !strings.Contains(errs.String(), "no status of "+unreachable) ||
		!strings.Contains(out.String(), `"refused_per_s":0,`) || !strings.Contains(out.String(), `"generation":3`) ||
		!strings.Contains(out.String(), "refused") || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("status %d\n%s\n%s", status, &out, &errs)
	}
	if status := run([]string{"status"}, &out, &errs); status != 2 {
		t.Errorf("without an address: status %d, want 2", status)
	}
}

// Operators' tools read the JSON output, so its keys must not change.
func TestStatusJSONKeys(t *testing.T) {
	instance := instanceStatus{Address: "a", State: "s", Error: "e", Generation: 1, Open: 2, Listed: 3, Ejected: 4,
		Served: 5, Rejected: 6, Failed: 7, Resumed: 8}
	const keys = `{"address":"a","state":"s","error":"e","generation":1,"open_requests":2,"registry_entries":3,` +
		`"out_of_rotation":4,"served_per_s":5,"refused_per_s":6,"failed_per_s":7,"resumed_per_s":8`
	const clusterKeys = `,"members":{"alive":1,"suspect":2,"failed":3,"fleet_size":4,"isolated":true,"partitioned":true}`
	if raw, err := json.Marshal(instance); err != nil || string(raw) != keys+"}" {
		t.Errorf("%s, %v", raw, err)
	}
	instance.Cluster = &clusterStatus{Alive: 1, Suspect: 2, Failed: 3, FleetSize: 4, Isolated: true, Partitioned: true}
	if raw, err := json.Marshal(instance); err != nil || string(raw) != keys+clusterKeys+"}" {
		t.Errorf("%s, %v", raw, err)
	}
}
