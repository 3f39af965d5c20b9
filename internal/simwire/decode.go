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

// Host receives the decoded messages in their order of arrival, each with the clock of its batch.
type Host interface {
	// Create starts an instance, which replaces an earlier one of that number.
	Create(instance int, now time.Duration, settings decide.Settings) error
	// Halt discards an instance.
	Halt(instance int) error
	// Event hands an event to an instance. The event's slices may be reused after the call.
	Event(instance int, now time.Duration, event decide.Event) error
}

const (
	// maxLists is the number of numbered lists that can be in use at once.
	maxLists = 16
	// readBufferSize is the size of the input buffer in bytes; longer lines are copied.
	readBufferSize = 1 << 16
	// firstMessageLine is the number of the line after the FRAME line.
	firstMessageLine = 2
)

// Decoder reads batches from the simulator.
type Decoder struct {
	in        *bufio.Reader
	longLine  []byte // a line that is longer than the read buffer
	line      line
	lists     [maxLists]serverList
	schemas   map[int]*schema   // of each instance
	zoneNames map[string]string // interned names of zones
	now       time.Duration     // clock of the current batch
	batch     uint64            // number of the current batch
}

// serverList is a numbered endpoint list, to which messages of all instances refer.
type serverList struct {
	servers  []decide.Server
	received bool
}

// schema is how the settings of one instance name things.
type schema struct {
	classes       map[string]int // index of a class by its name
	reportColumns []string       // columns of a load report
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{
		in:        bufio.NewReaderSize(in, readBufferSize),
		schemas:   map[int]*schema{},
		zoneNames: map[string]string{},
	}
}

// Batch hands the messages of one batch to host and returns the batch's number. At the end of the input between
// batches it returns io.EOF. Other errors name the batch and the line; errors of the host are wrapped.
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

// beginBatch reads the line that begins a batch. Blank lines between batches are skipped.
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

// readLine returns the next line without its end. A last line without an end belongs to a truncated batch and is an
// error.
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

// message reads one message of a batch and reports whether it ends the batch.
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

// instanceMessage handles the messages that name an instance.
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
