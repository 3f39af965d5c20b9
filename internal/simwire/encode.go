package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"cottonplank/decide"
)

// Encoder writes replies.
type Encoder struct {
	out *bufio.Writer
	buf []byte
}

// NewEncoder writes to out.
func NewEncoder(out io.Writer) *Encoder {
	return &Encoder{out: bufio.NewWriterSize(out, 1<<16)}
}

// Action writes one action of an instance.
func (e *Encoder) Action(who int, a decide.Action) error {
	switch a := a.(type) {
	case decide.StartAttempt:
		e.begin("PLACE", who).text("id", string(a.ID)).number("server", uint64(a.Server)).seconds("max_wait_s", a.Timeout)
	case decide.Reject:
		e.begin("OVERLOAD_REPLY", who).text("id", string(a.ID)).seconds("stay_away_s", a.RetryAfter)
	case decide.Fail:
		e.begin("REPORT_FAILURE", who).text("id", string(a.ID))
	case decide.Migrate:
		e.begin("RELOCATE", who).text("id", string(a.ID))
	case decide.Probe:
		e.begin("SAMPLE", who).number("server", uint64(a.Server))
	case decide.WatchList:
		e.begin("LISTEN", who).number("enable", 1)
	case decide.FetchList:
		e.begin("RESOLVE", who)
	case decide.SetTimer:
		e.begin("SET_ALARM", who).number("nonce", a.Token).seconds("wait_s", a.Delay)
	case decide.Log:
		e.begin("RECORD", who).text("body_text", clean.Replace(a.Text))
	default:
		return fmt.Errorf("no wire form for action %T", a)
	}
	return e.flushLine()
}

// clean keeps a log text on one line.
var clean = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// End closes the reply to a batch and flushes it.
func (e *Encoder) End(seq uint64) error {
	e.buf = append(e.buf[:0], "NEXT"...)
	e.number("n", seq)
	if err := e.flushLine(); err != nil {
		return err
	}
	if err := e.out.Flush(); err != nil {
		return fmt.Errorf("reply %d: %w", seq, err)
	}
	return nil
}

func (e *Encoder) begin(name string, who int) *Encoder {
	e.buf = append(e.buf[:0], name...)
	return e.number("who", uint64(who))
}

func (e *Encoder) name(name string) {
	e.buf = append(append(append(e.buf, '\t'), name...), '=')
}

func (e *Encoder) text(name, v string) *Encoder {
	e.name(name)
	e.buf = append(e.buf, v...)
	return e
}

func (e *Encoder) number(name string, v uint64) *Encoder {
	e.name(name)
	e.buf = strconv.AppendUint(e.buf, v, 10)
	return e
}

// seconds leaves out a time of 0, which the wire takes as absent.
func (e *Encoder) seconds(name string, d time.Duration) *Encoder {
	if d != 0 {
		e.name(name)
		e.buf = strconv.AppendFloat(e.buf, d.Seconds(), 'f', -1, 64)
	}
	return e
}

func (e *Encoder) flushLine() error {
	e.buf = append(e.buf, '\n')
	if _, err := e.out.Write(e.buf); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
