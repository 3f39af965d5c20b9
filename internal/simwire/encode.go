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

// writeBufferSize is the size of the output buffer in bytes. A longer reply takes several writes.
const writeBufferSize = 1 << 16

// Encoder writes the replies to batches.
type Encoder struct {
	out *bufio.Writer
	buf []byte // the line that is being written
}

// NewEncoder returns an encoder that writes to out.
func NewEncoder(out io.Writer) *Encoder {
	return &Encoder{out: bufio.NewWriterSize(out, writeBufferSize)}
}

// Action writes one action of an instance. It returns an error for an action that the protocol has no message for.
func (e *Encoder) Action(instance int, action decide.Action) error {
	switch a := action.(type) {
	case decide.StartAttempt:
		e.begin("PLACE", instance).text("id", string(a.ID)).
			number("server", uint64(a.Server)).seconds("max_wait_s", a.Timeout)
	case decide.Reject:
		e.begin("OVERLOAD_REPLY", instance).text("id", string(a.ID)).seconds("stay_away_s", a.RetryAfter)
	case decide.Fail:
		e.begin("REPORT_FAILURE", instance).text("id", string(a.ID))
	case decide.Migrate:
		e.begin("RELOCATE", instance).text("id", string(a.ID))
	case decide.Probe:
		e.begin("SAMPLE", instance).number("server", uint64(a.Server))
	case decide.WatchList:
		e.begin("LISTEN", instance).number("enable", 1)
	case decide.FetchList:
		e.begin("RESOLVE", instance)
	case decide.SetTimer:
		e.begin("SET_ALARM", instance).number("nonce", a.Token).seconds("wait_s", a.Delay)
	case decide.Log:
		e.begin("RECORD", instance).text("body_text", singleLine.Replace(a.Text))
	default:
		return fmt.Errorf("unsupported action %T", a)
	}
	return e.writeLine()
}

// singleLine replaces the line breaks and tabs of a log text, which would end the line or the field.
var singleLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// End ends the reply to a batch and flushes it.
func (e *Encoder) End(batch uint64) error {
	e.buf = append(e.buf[:0], "NEXT"...)
	e.number("n", batch)
	if err := e.writeLine(); err != nil {
		return err
	}
	if err := e.out.Flush(); err != nil {
		return fmt.Errorf("flush reply to batch %d: %w", batch, err)
	}
	return nil
}

// begin starts a line with a message name and the number of the instance.
func (e *Encoder) begin(message string, instance int) *Encoder {
	e.buf = append(e.buf[:0], message...)
	return e.number("who", uint64(instance))
}

func (e *Encoder) fieldName(name string) {
	e.buf = append(append(append(e.buf, '\t'), name...), '=')
}

func (e *Encoder) text(name, value string) *Encoder {
	e.fieldName(name)
	e.buf = append(e.buf, value...)
	return e
}

func (e *Encoder) number(name string, value uint64) *Encoder {
	e.fieldName(name)
	e.buf = strconv.AppendUint(e.buf, value, 10)
	return e
}

// seconds appends a time in seconds. A time of 0 means that there is none, so its field is omitted.
func (e *Encoder) seconds(name string, value time.Duration) *Encoder {
	if value != 0 {
		e.fieldName(name)
		e.buf = strconv.AppendFloat(e.buf, value.Seconds(), 'f', -1, 64)
	}
	return e
}

func (e *Encoder) writeLine() error {
	e.buf = append(e.buf, '\n')
	if _, err := e.out.Write(e.buf); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
