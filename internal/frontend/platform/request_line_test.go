package platform

import (
	"testing"
	"time"

	"cottonplank/decide"
)

// Each field of a request line is parsed under its name on the wire.
func TestParseRequestLine(t *testing.T) {
	const (
		before = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=solo-play,t=familles,d="
		after  = ",g=5c0f,h=12.5,resume=new,session=x,again=1,at=s-5be2a07c,unknown=1"
	)
	want := requestLine{
		id:              "9b1f03aa5c7e2d41",
		key:             "7f3a9c21e0b4d655",
		group:           "5c0f",
		class:           1,
		timeout:         2 * time.Second,
		load:            12.5e-6,
		returning:       true,
		resumeToken:     "new",
		hasSessionField: true,
		previousServer:  "s-5be2a07c",
		beforeTimeout:   before,
		afterTimeout:    after,
	}
	names := AllowedNames{Classes: map[string]int{"group-play": 0, "solo-play": 1}}
	got, err := parseRequestLine(before+"2000"+after, names)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("parsed %+v, want %+v", got, want)
	}
}

// The values of a load report are parsed under their names on the wire.
func TestParseLoadReport(t *testing.T) {
	want := decide.NoLoadReport
	want.Load, want.Connections = 0.61, 7
	if got := parseLoadReport("qps=3,inflight=7,x0=0.61"); got != want {
		t.Errorf("parsed %+v, want %+v", got, want)
	}
	if got := parseLoadReport("inflight=-1,x0=1e9"); got != decide.NoLoadReport {
		t.Errorf("parsed %+v, want no report", got)
	}
}
