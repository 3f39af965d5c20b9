package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"cottonplank/decide"
)

// Host receives the decoded messages in the order in which they arrive, each with the clock of its batch.
type Host interface {
	// Create starts an instance. It replaces an earlier instance that has the same number.
	Create(instance int, now time.Duration, settings decide.Settings) error
	// Halt discards an instance.
	Halt(instance int) error
	// Event delivers an event to an instance. The caller may reuse the event's slices after the call.
	Event(instance int, now time.Duration, event decide.Event) error
}

const (
	// maxLists is the number of endpoint lists that can be in use at once. They are numbered from 0.
	maxLists = 16
	// readBufferSize is the size of the input buffer in bytes. Longer lines are copied to a buffer of their own.
	readBufferSize = 1 << 16
	// firstMessageLine is the line of a batch at which its first message begins. The FRAME line is line 1.
	firstMessageLine = 2
)

// Decoder reads batches from the simulator.
type Decoder struct {
	in        *bufio.Reader
	longLine  []byte // copy of a line that is longer than the read buffer
	line      line
	lists     [maxLists]serverList
	schemas   map[int]*schema   // of each instance
	zoneNames map[string]string // interned names of zones
	now       time.Duration     // clock of the current batch
	batch     uint64            // number of the current batch
}

// serverList is a numbered endpoint list. The messages of all instances refer to it by its number.
type serverList struct {
	servers  []decide.Server
	received bool // whether a MANIFEST has set this list
}

// schema holds the classes and report columns that an instance's settings define for its messages.
type schema struct {
	classes       map[string]int // index of a class by its name
	reportColumns []string       // names of the columns of a load report
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{
		in:        bufio.NewReaderSize(in, readBufferSize),
		schemas:   map[int]*schema{},
		zoneNames: map[string]string{},
	}
}

// Batch delivers the messages of one batch to host and returns the batch's number. It returns io.EOF if the input ends
// between batches. Other errors name the batch and the line, and wrap the errors that host returns. Known fault: the
// ENTRY lines of a MANIFEST are not counted, so after a MANIFEST the line in an error is too small.
func (d *Decoder) Batch(host Host) (uint64, error) {
	if err := d.beginBatch(); err != nil {
		if err == io.EOF {
			return 0, err
		}
		return 0, fmt.Errorf("after batch %d: %w", d.batch, err)
	}
	for number := firstMessageLine; ; number++ {
		done, err := d.message(host)
		if err != nil {
			return 0, fmt.Errorf("batch %d, line %d: %w", d.batch, number, err)
		}
		if done {
			return d.batch, nil
		}
	}
}

// beginBatch reads the FRAME line that begins a batch. Blank lines between batches are skipped.
func (d *Decoder) beginBatch() error {
	raw, err := d.readLine()
	for err == nil && len(raw) == 0 {
		raw, err = d.readLine()
	}
	if err != nil {
		return err
	}
	if err := d.line.parse(raw); err != nil {
		return err
	}
	if string(d.line.name) != "FRAME" {
		return fmt.Errorf("expected FRAME, found %s", excerpt(d.line.name))
	}
	now, err := d.line.seconds("t_s")
	if err != nil {
		return err
	}
	batch, err := d.line.number("n", 64)
	if err != nil {
		return err
	}
	d.now, d.batch = now, batch
	return nil
}

// readLine returns the next line without its line ending. It returns an error if the last line of the input has no
// line ending, because its batch is truncated.
func (d *Decoder) readLine() ([]byte, error) {
	raw, err := d.in.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(raw), nil
	}
	d.longLine = append(d.longLine[:0], raw...)
	for errors.Is(err, bufio.ErrBufferFull) {
		raw, err = d.in.ReadSlice('\n')
		d.longLine = append(d.longLine, raw...)
	}
	if err == io.EOF && len(d.longLine) > 0 {
		return nil, fmt.Errorf("input ends within a line: %s", excerpt(d.longLine))
	}
	return trimLineEnd(d.longLine), err
}

func trimLineEnd(raw []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(raw, []byte{'\n'}), []byte{'\r'})
}

// message reads one message of a batch and reports whether the message ends the batch.
func (d *Decoder) message(host Host) (done bool, err error) {
	raw, err := d.readLine()
	if err == io.EOF {
		return false, errors.New("input ends within the batch, expected COMMIT")
	}
	if err != nil {
		return false, err
	}
	if err := d.line.parse(raw); err != nil {
		return false, err
	}
	switch string(d.line.name) {
	case "COMMIT":
		return true, nil
	case "MANIFEST":
		return false, d.manifest()
	}
	return false, d.instanceMessage(host)
}

// instanceMessage handles a message that is addressed to an instance.
func (d *Decoder) instanceMessage(host Host) error {
	l := &d.line
	if !isInstanceMessage(l.name) {
		return fmt.Errorf("unknown message %s", excerpt(l.name))
	}
	number, err := l.number("who", countBits)
	if err != nil {
		return err
	}
	instance := int(number)
	if string(l.name) == "CREATE" {
		return d.create(instance, host)
	}
	schema := d.schemas[instance]
	if schema == nil {
		return fmt.Errorf("%s: unknown instance who=%d", l.name, instance)
	}
	if string(l.name) == "HALT" {
		delete(d.schemas, instance)
		return host.Halt(instance)
	}
	event, err := d.event(schema)
	if err != nil || event == nil {
		return err
	}
	return host.Event(instance, d.now, event)
}

func isInstanceMessage(name []byte) bool {
	switch string(name) {
	case "CREATE", "HALT", "TARGETS", "DEMAND", "ALREADY_OPEN", "FIRST_BYTE", "HEARTBEAT",
		"DONE", "ABORTED", "FIRED", "PROBE_RESULT", "MEMO":
		return true
	}
	return false
}

func (d *Decoder) create(instance int, host Host) error {
	settings, schema, err := parseSettings(&d.line)
	if err != nil {
		return err
	}
	d.schemas[instance] = schema
	return host.Create(instance, d.now, settings)
}
