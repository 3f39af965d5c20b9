package platform

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"cottonplank/internal/testbench/fuzzcorpus"
	"cottonplank/internal/textline"
)

// A first line that is taken goes on in a form that is taken again, with nothing but d changed.
func FuzzRequestLine(f *testing.F) {
	fuzzcorpus.Add(f, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,t=familles,d=2000,g=5c0f,h=12.5,again=1"),
		[]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 d=9,c=solo-play,at=s-5be2a07c"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		first, err := parseRequestLine(string(raw), testNames)
		if err != nil {
			return
		}
		again, err := parseRequestLine(first.withTimeout(1234*time.Millisecond), testNames)
		if err != nil || again.timeout != 1234*time.Millisecond || again.beforeTimeout != first.beforeTimeout || again.afterTimeout != first.afterTimeout {
			t.Errorf("%q goes on as %q: %v", raw, first.withTimeout(1234*time.Millisecond), err)
		}
	})
}

// A line is at most 4 KiB, and what is not a room server's UP never counts as one.
func FuzzResponses(f *testing.F) {
	fuzzcorpus.Add(f, []byte("UP receipt\r\n"), []byte("BUSY inflight=7,queue=2,x0=0.61\r\n"), []byte("PONG x0=1e3\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := textline.Read(bufio.NewReaderSize(bytes.NewReader(raw), maxLineLength))
		if err != nil {
			return
		}
		if r := parseResponse(line); len(line) > maxLineLength || r.accepted && !bytes.HasPrefix(raw, []byte("UP ")) {
			t.Errorf("%q is taken as %+v", line, r)
		}
		if _, report := parseProbeResponse(line); !(report.Load >= -1 && report.Load < 1e9) {
			t.Errorf("%q reports %+v", line, report)
		}
	})
}
