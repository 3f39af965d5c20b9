package simwire

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"cottonplank/decide"
)

func TestActions(t *testing.T) {
	for want, action := range map[string]decide.Action{
		"PLACE\twho=3\tid=u-1\tserver=51530247\tmax_wait_s=0.08\n": decide.StartAttempt{ID: "u-1", Server: 51530247,
			Timeout: 80 * time.Millisecond},
		"PLACE\twho=3\tid=u-1\tserver=1\n": decide.StartAttempt{ID: "u-1", Server: 1},
		"OVERLOAD_REPLY\twho=3\tid=u-1\n":  decide.Reject{ID: "u-1"},
		"OVERLOAD_REPLY\twho=3\tid=u-1\tstay_away_s=1.5\n": decide.Reject{ID: "u-1",
			RetryAfter: 1500 * time.Millisecond},
		"REPORT_FAILURE\twho=3\tid=u-1\n":               decide.Fail{ID: "u-1"},
		"RELOCATE\twho=3\tid=u-1\n":                     decide.Migrate{ID: "u-1"},
		"SAMPLE\twho=3\tserver=9\n":                     decide.Probe{Server: 9},
		"LISTEN\twho=3\tenable=1\n":                     decide.WatchList{},
		"RESOLVE\twho=3\n":                              decide.FetchList{},
		"SET_ALARM\twho=3\tnonce=77\twait_s=0.000001\n": decide.SetTimer{Token: 77, Delay: time.Microsecond},
		"RECORD\twho=3\tbody_text=two lines on one\n":   decide.Log{Text: "two lines\non\tone"},
	} {
		var out bytes.Buffer
		encoder := NewEncoder(&out)
		if err := encoder.Action(3, action); err != nil {
			t.Fatal(err)
		}
		if out.Len() != 0 {
			t.Fatal("output was written before the end of the reply")
		}
		if err := encoder.End(12); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != want+"NEXT\tn=12\n" {
			t.Errorf("%T: got %q, want %q", action, got, want)
		}
	}
}

// brokenWriter is a writer whose writes all fail.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestWriteErrorsAreReported(t *testing.T) {
	if err := NewEncoder(brokenWriter{}).End(1); err == nil {
		t.Fatal("the write error was not returned")
	}
}
