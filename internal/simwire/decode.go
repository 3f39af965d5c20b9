package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"cottonplank/decide"
)

// Host is what a Decoder hands events to, in their order of arrival. The clock
// of the batch comes with each call.
type Host interface {
	Create(who int, now time.Duration, settings decide.Settings) error
	Halt(who int) error
	Event(who int, now time.Duration, ev decide.Event) error
}

// maxPages is how many numbered lists can be in use at once.
const maxPages = 16

// Decoder reads batches from the simulator.
type Decoder struct {
	in    *bufio.Reader
	long  []byte // a line that outgrew the reader's buffer
	line  line
	pages [maxPages][]decide.Server
	known [maxPages]bool
	insts map[int]*schema
	zones map[string]string // interned zone names
	now   time.Duration
	seq   uint64
}

// schema is how one instance's settings name things.
type schema struct {
	classes map[string]int
	columns []string
}

// NewDecoder reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{
		in:    bufio.NewReaderSize(in, 1<<16),
		insts: map[int]*schema{},
		zones: map[string]string{},
	}
}

// Batch hands one batch to host and returns its number. At the end of input
// between batches it returns io.EOF.
func (d *Decoder) Batch(host Host) (uint64, error) {
	if err := d.open(); err != nil {
		if err == io.EOF {
			return 0, err
		}
		return 0, fmt.Errorf("after batch %d: %w", d.seq, err)
	}
	for at := 2; ; at++ {
		done, err := d.event(host)
		if err != nil {
			return 0, fmt.Errorf("batch %d, line %d: %w", d.seq, at, err)
		}
		if done {
			return d.seq, nil
		}
	}
}

// open reads the line that begins a batch; blank lines between batches are skipped.
func (d *Decoder) open() error {
	raw, err := d.read()
	for err == nil && len(raw) == 0 {
		raw, err = d.read()
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
	seq, err := d.line.number("n", 64)
	if err != nil {
		return err
	}
	d.now, d.seq = now, seq
	return nil
}

// read returns the next line without its end. A last line without an end is
// a truncated batch.
func (d *Decoder) read() ([]byte, error) {
	raw, err := d.in.ReadSlice('\n')
	if err == nil {
		return trimEnd(raw), nil
	}
	d.long = append(d.long[:0], raw...)
	for errors.Is(err, bufio.ErrBufferFull) {
		raw, err = d.in.ReadSlice('\n')
		d.long = append(d.long, raw...)
	}
	if err == io.EOF && len(d.long) > 0 {
		return nil, fmt.Errorf("input ends within a line: %s", excerpt(d.long))
	}
	return trimEnd(d.long), err
}

func trimEnd(raw []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(raw, []byte{'\n'}), []byte{'\r'})
}

// event reads one message of a batch; done reports the batch's end.
func (d *Decoder) event(host Host) (done bool, err error) {
	raw, err := d.read()
	if err == io.EOF {
		return false, errors.New("input ends within the batch, expected COMMIT")
	}
	if err != nil {
		return false, err
	}
	l := &d.line
	if err := l.parse(raw); err != nil {
		return false, err
	}
	switch string(l.name) {
	case "COMMIT":
		return true, nil
	case "MANIFEST":
		return false, d.manifest()
	}
	if !knownMessage(l.name) {
		return false, fmt.Errorf("unknown message %s", excerpt(l.name))
	}
	n, err := l.number("who", 31)
	if err != nil {
		return false, err
	}
	who := int(n)
	if string(l.name) == "CREATE" {
		return false, d.create(who, host)
	}
	sch := d.insts[who]
	if sch == nil {
		return false, fmt.Errorf("%s: unknown instance who=%d", l.name, who)
	}
	if string(l.name) == "HALT" {
		delete(d.insts, who)
		return false, host.Halt(who)
	}
	ev, err := d.decode(sch)
	if err != nil || ev == nil {
		return false, err
	}
	return false, host.Event(who, d.now, ev)
}

func knownMessage(name []byte) bool {
	switch string(name) {
	case "CREATE", "HALT", "TARGETS", "DEMAND", "ALREADY_OPEN", "FIRST_BYTE", "HEARTBEAT",
		"DONE", "ABORTED", "FIRED", "PROBE_RESULT", "MEMO":
		return true
	}
	return false
}

func (d *Decoder) create(who int, host Host) error {
	settings, sch, err := parseSettings(&d.line)
	if err != nil {
		return err
	}
	d.insts[who] = sch
	return host.Create(who, d.now, settings)
}

// manifest reads a numbered list, which replaces an earlier one of that number.
func (d *Decoder) manifest() error {
	page, err := d.line.number("page", 32)
	if err != nil {
		return err
	}
	if page >= maxPages {
		return fmt.Errorf("MANIFEST: page %d, expected 0 to %d", page, maxPages-1)
	}
	count, err := d.line.number("lines", 32)
	if err != nil {
		return err
	}
	list := d.pages[page][:0]
	for range count {
		raw, err := d.read()
		if err == io.EOF {
			return fmt.Errorf("input ends within a MANIFEST of %d lines", count)
		}
		if err != nil {
			return err
		}
		s, err := d.entry(raw)
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	d.pages[page], d.known[page] = list, true
	return nil
}

func (d *Decoder) entry(raw []byte) (s decide.Server, err error) {
	l := &d.line
	if err := l.parse(raw); err != nil {
		return s, err
	}
	if string(l.name) != "ENTRY" {
		return s, fmt.Errorf("expected ENTRY, found %s", excerpt(l.name))
	}
	id, err := l.number("server", 32)
	if err != nil {
		return s, err
	}
	s.ID = decide.ServerID(id)
	if s.Weight, err = l.optional("units", 0); err != nil {
		return s, err
	}
	cell, err := l.optional("cell", 0)
	if err != nil {
		return s, err
	}
	s.Cell = int(cell)
	started, err := l.optional("came_up_s", 0)
	if err != nil {
		return s, err
	}
	s.Started = secondsOf(started)
	s.Zone = d.intern(l.text("az"))
	condition, err := l.need("condition")
	if err != nil {
		return s, err
	}
	switch string(condition) {
	case "on":
		s.State = decide.Ready
	case "fading":
		s.State = decide.Draining
	case "off":
		s.State = decide.Removed
	default:
		return s, l.bad("condition", "on, fading or off", condition)
	}
	return s, nil
}

func (d *Decoder) intern(zone string) string {
	if z, ok := d.zones[zone]; ok {
		return z
	}
	d.zones[zone] = zone
	return zone
}

// decode reads an event of an instance; a nil event is one that needs no word.
func (d *Decoder) decode(sch *schema) (decide.Event, error) {
	l := &d.line
	switch string(l.name) {
	case "TARGETS":
		return d.targets()
	case "DEMAND":
		return request(l, sch)
	case "ALREADY_OPEN":
		req, err := request(l, sch)
		if err != nil {
			return nil, err
		}
		server, err := serverOf(l)
		return decide.ConnectionRestored{Request: req, Server: server}, err
	case "FIRST_BYTE":
		return established(l)
	case "HEARTBEAT":
		return note(l)
	case "DONE":
		return ended(l, sch)
	case "ABORTED":
		id, err := l.need("id")
		return decide.ClientDisconnected{ID: decide.RequestID(id)}, err
	case "FIRED":
		token, err := l.number("nonce", 64)
		return decide.TimerFired{Token: token}, err
	case "PROBE_RESULT":
		return probed(l, sch)
	}
	return nil, nil // MEMO: no peer messages are sent, so none is read
}

func (d *Decoder) targets() (decide.Event, error) {
	l := &d.line
	how, err := l.need("how")
	if err != nil {
		return nil, err
	}
	var ev decide.ListReceived
	switch string(how) {
	case "update":
		ev.Kind = decide.ListDelta
	case "replace":
		ev.Kind = decide.ListSnapshot
	case "restored":
		ev.Kind = decide.ListRestored
	case "unavailable":
		ev.Kind = decide.ListFailed
		return ev, nil
	default:
		return nil, l.bad("how", "update, replace, restored or unavailable", how)
	}
	page, err := l.number("page", 32)
	if err != nil {
		return nil, err
	}
	if page >= maxPages || !d.known[page] {
		return nil, fmt.Errorf("TARGETS: page %d has not been sent", page)
	}
	ev.Servers = d.pages[page]
	return ev, nil
}

func serverOf(l *line) (decide.ServerID, error) {
	n, err := l.number("server", 32)
	return decide.ServerID(n), err
}

// Bits of a request's attrs field.
const (
	attrHint      = 1
	attrMidFlow   = 8
	attrReturning = 16
)

func request(l *line, sch *schema) (r decide.RequestArrived, err error) {
	id, err := l.need("id")
	if err != nil {
		return r, err
	}
	service, err := l.need("service")
	if err != nil {
		return r, err
	}
	class, ok := sch.classes[string(service)]
	if !ok {
		return r, l.bad("service", "a class of the settings", service)
	}
	if r.Remaining, err = l.seconds("remaining_s"); err != nil {
		return r, err
	}
	attrs, err := l.optional("attrs", 0)
	if err != nil {
		return r, err
	}
	hint, err := l.optional("size_hint_s", 0)
	if err != nil {
		return r, err
	}
	if bits := int(attrs); bits != 0 {
		if bits&attrHint != 0 {
			r.Load = hint
		}
		r.MidFlow = bits&attrMidFlow != 0
		r.Returning = bits&attrReturning != 0
	}
	r.ID, r.Class = decide.RequestID(id), class
	r.Key, r.Group = l.text("subject"), l.text("team_id")
	return r, nil
}

// attempt reads the fields that name an attempt.
func attempt(l *line) (id decide.RequestID, n int, server decide.ServerID, err error) {
	raw, err := l.need("id")
	if err != nil {
		return "", 0, 0, err
	}
	num, err := l.number("n", 31)
	if err != nil {
		return "", 0, 0, err
	}
	server, err = serverOf(l)
	return decide.RequestID(raw), int(num), server, err
}

func established(l *line) (decide.Event, error) {
	id, n, server, err := attempt(l)
	if err != nil {
		return nil, err
	}
	took, err := l.optional("took_s", 0)
	return decide.Established{ID: id, Attempt: n, Server: server, Elapsed: secondsOf(took)}, err
}

func note(l *line) (decide.Event, error) {
	id, _, server, err := attempt(l)
	if err != nil {
		return nil, err
	}
	what, err := l.number("what", 31)
	if err != nil {
		return nil, err
	}
	amount, err := l.optional("amount", 0)
	if err != nil {
		return nil, err
	}
	switch what {
	case 1:
		return decide.LoadChanged{ID: id, Load: amount / 1e6}, nil
	case 2:
		return decide.MessageDelayReported{ID: id, Server: server, Delay: secondsOf(amount / 1e3)}, nil
	}
	return nil, nil // a kind of note added later
}

func ended(l *line, sch *schema) (decide.Event, error) {
	id, n, server, err := attempt(l)
	if err != nil {
		return nil, err
	}
	ev := decide.AttemptEnded{ID: id, Attempt: n, Server: server}
	if ev.Final, err = l.flag("no_more"); err != nil {
		return nil, err
	}
	ev.Code, ev.Elapsed, ev.Report, err = answer(l, sch)
	return ev, err
}

func probed(l *line, sch *schema) (decide.Event, error) {
	server, err := serverOf(l)
	if err != nil {
		return nil, err
	}
	ev := decide.ProbeCompleted{Server: server}
	ev.Code, ev.Elapsed, ev.Report, err = answer(l, sch)
	return ev, err
}

// answer reads the fields that outcomes and probe results share.
func answer(l *line, sch *schema) (code decide.Code, took time.Duration, rep decide.LoadReport, err error) {
	rc, err := l.number("rc", 31)
	if err != nil {
		return 0, 0, rep, err
	}
	if rc%10 != 0 || rc < 10 || rc > 80 {
		return 0, 0, rep, l.bad("rc", "10, 20 ... 80", strconv.AppendUint(nil, rc, 10))
	}
	code = codes[rc/10-1]
	sec, err := l.optional("took_s", 0)
	if err != nil {
		return 0, 0, rep, err
	}
	rep, err = report(l, sch.columns)
	return code, secondsOf(sec), rep, err
}

var codes = [8]decide.Code{decide.OK, decide.ServerError, decide.Rejected, decide.TimedOut,
	decide.ConnectFailed, decide.Reset, decide.Cancelled, decide.NotSent}

// report picks the columns that the module reads.
func report(l *line, columns []string) (decide.LoadReport, error) {
	rep := decide.NoLoadReport
	rest, ok := l.get("health_info")
	if !ok || len(rest) == 0 || string(rest) == "-" {
		return rep, nil
	}
	for _, column := range columns {
		if len(rest) == 0 {
			break
		}
		var v []byte
		v, rest, _ = bytes.Cut(rest, []byte{','})
		if len(v) == 0 || string(v) == "-" {
			continue
		}
		f, err := parseDecimal(v)
		if err != nil {
			return rep, l.bad("health_info", "numbers apart by commas", v)
		}
		switch column {
		case "x0":
			rep.Load = f
		case "inflight":
			rep.Connections = f
		}
	}
	return rep, nil
}
