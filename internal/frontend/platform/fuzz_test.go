package platform

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"cottonplank/internal/testbench/fuzzcorpus"
	"cottonplank/internal/textline"
)

// An accepted request line is forwarded as a line that is also valid, and in which only the timeout differs.
func FuzzRequestLine(f *testing.F) {
	const (
		head    = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "
		timeout = 1234 * time.Millisecond
	)
	fuzzcorpus.Add(f, []byte(head+"c=solo-play,t=familles,d=2000,g=5c0f,h=12.5,again=1"),
		[]byte(head+"d=9,c=solo-play,at=s-5be2a07c"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := parseRequestLine(string(raw), testNames)
		if err != nil {
			return
		}
		forwarded, err := parseRequestLine(line.withTimeout(timeout), testNames)
		sameText := forwarded.beforeTimeout == line.beforeTimeout && forwarded.afterTimeout == line.afterTimeout
		if err != nil || forwarded.timeout != timeout || !sameText {
			t.Errorf("%q is forwarded as %q: %v", raw, line.withTimeout(timeout), err)
		}
	})
}

// A line is at most 4 KiB long, only a line that begins with UP is an acceptance, and reported loads are in range.
func FuzzResponses(f *testing.F) {
	fuzzcorpus.Add(f, []byte("UP receipt\r\n"), []byte("BUSY inflight=7,queue=2,x0=0.61\r\n"),
		[]byte("PONG x0=1e3\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		line, err := textline.Read(bufio.NewReaderSize(bytes.NewReader(raw), 4096))
		if err != nil {
			return
		}
		if r := parseResponse(line); len(line) > 4096 || r.accepted && !bytes.HasPrefix(raw, []byte("UP ")) {
			t.Errorf("%q is parsed as %+v", line, r)
		}
		if _, report := parseProbeResponse(line); !(report.Load >= -1 && report.Load < 1e9) {
			t.Errorf("%q reports %+v", line, report)
		}
	})
}
