package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// startManagementEmulator is a stand-in for a management address: INFO's counts rise by ten with each call.
func startManagementEmulator(t *testing.T, state string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			call := make([]byte, 100)
			got, _ := conn.Read(call)
			if string(call[:got]) == "INFO\r\n" {
				n += 10
				fmt.Fprintf(conn, "200 figures\r\nsvc.fulfilled.a=%d\r\nsvc.fulfilled.b=%d\r\nsvc.throttled.a=7\r\nsvc.generation=3\r\n"+
					"svc.open_requests=5\r\nsvc.registry_entries=4\r\nsvc.out_of_rotation=1\r\nEOF\r\n", n, 2*n)
			} else {
				io.WriteString(conn, state+"\r\n")
			}
			conn.Close()
		}
	}()
	return l.Addr().String()
}

// Each instance has a line, one that does not answer too, and then the status is 1; rates are of the counts' rise.
func TestStatus(t *testing.T) {
	one, two := startManagementEmulator(t, "200 serving"), startManagementEmulator(t, "400 lame duck")
	var out bytes.Buffer
	if status := run([]string{"status", "--over", "100ms", one, two}, &out, &out); status != 0 || strings.Count(out.String(), "\n") != 3 ||
		!strings.Contains(out.String(), "serving") || !strings.Contains(out.String(), "lame duck  3           5     4      1") {
		t.Errorf("status %d\n%s", status, &out)
	}
	out.Reset()
	var errs bytes.Buffer
	silent := freeAddress(t)
	if status := run([]string{"status", "--json", "--over", "100ms", one, silent}, &out, &errs); status != 1 ||
		!strings.Contains(errs.String(), "no status of "+silent) || !strings.Contains(out.String(), `"refused_per_s":0,`) ||
		!strings.Contains(out.String(), `"generation":3`) || !strings.Contains(out.String(), "refused") || strings.Count(out.String(), "\n") != 1 {
		t.Errorf("status %d\n%s\n%s", status, &out, &errs)
	}
	if status := run([]string{"status"}, &out, &errs); status != 2 {
		t.Errorf("no address: status %d", status)
	}
}
