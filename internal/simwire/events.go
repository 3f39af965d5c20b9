package simwire

import (
	"bytes"
	"strconv"
	"time"

	"cottonplank/decide"
)

// Bits of a request's attrs field.
const (
	attrLoadHint  = 1
	attrMidFlow   = 8
	attrReturning = 16
)

// Values of the what field of a HEARTBEAT message, with the units of its amount field.
const (
	heartbeatLoad         = 1 // microseconds of work per second
	heartbeatMessageDelay = 2 // milliseconds
)

// outcomeCodes are the outcome codes for the values 10, 20, ... 80 of the rc field, in this order.
var outcomeCodes = [8]decide.Code{decide.OK, decide.ServerError, decide.Rejected, decide.TimedOut,
	decide.ConnectFailed, decide.Reset, decide.Cancelled, decide.NotSent}

// event converts a message to an instance into an event. It returns nil for a message that is ignored.
func (d *Decoder) event(schema *schema) (decide.Event, error) {
	l := &d.line
	switch string(l.name) {
	case "TARGETS":
		return d.targets()
	case "DEMAND":
		return request(l, schema)
	case "ALREADY_OPEN":
		return restored(l, schema)
	case "FIRST_BYTE":
		return established(l)
	case "HEARTBEAT":
		return heartbeat(l)
	case "DONE":
		return attemptEnded(l, schema)
	case "ABORTED":
		id, err := l.required("id")
		return decide.ClientDisconnected{ID: decide.RequestID(id)}, err
	case "FIRED":
		token, err := l.number("nonce", 64)
		return decide.TimerFired{Token: token}, err
	case "PROBE_RESULT":
		return probeCompleted(l, schema)
	}
	return nil, nil // MEMO is a message from another balancer. Balancers don't use such messages.
}

func restored(l *line, schema *schema) (decide.Event, error) {
	request, err := request(l, schema)
	if err != nil {
		return nil, err
	}
	server, err := serverID(l)
	return decide.ConnectionRestored{Request: request, Server: server}, err
}

func request(l *line, schema *schema) (r decide.RequestArrived, err error) {
	id, err := l.required("id")
	if err != nil {
		return r, err
	}
	service, err := l.required("service")
	if err != nil {
		return r, err
	}
	class, ok := schema.classes[string(service)]
	if !ok {
		return r, l.invalid("service", "the name of a class in the settings", service)
	}
	if r.Remaining, err = l.seconds("remaining_s"); err != nil {
		return r, err
	}
	attrs, err := l.optionalDecimal("attrs")
	if err != nil {
		return r, err
	}
	loadHint, err := l.optionalDecimal("size_hint_s")
	if err != nil {
		return r, err
	}
	bits := int(attrs)
	if bits&attrLoadHint != 0 {
		r.Load = loadHint
	}
	r.MidFlow = bits&attrMidFlow != 0
	r.Returning = bits&attrReturning != 0
	r.ID, r.Class = decide.RequestID(id), class
	r.Key, r.Group = l.text("subject"), l.text("team_id")
	return r, nil
}

// attemptRef identifies an attempt and its server.
type attemptRef struct {
	id      decide.RequestID
	attempt int
	server  decide.ServerID
}

func attempt(l *line) (ref attemptRef, err error) {
	id, err := l.required("id")
	if err != nil {
		return ref, err
	}
	number, err := l.number("n", countBits)
	if err != nil {
		return ref, err
	}
	server, err := serverID(l)
	return attemptRef{decide.RequestID(id), int(number), server}, err
}

func established(l *line) (decide.Event, error) {
	ref, err := attempt(l)
	if err != nil {
		return nil, err
	}
	elapsed, err := l.optionalDecimal("took_s")
	event := decide.Established{ID: ref.id, Attempt: ref.attempt, Server: ref.server}
	event.Elapsed = secondsToDuration(elapsed)
	return event, err
}

// heartbeat reads a HEARTBEAT message, which reports the load or the message delay of a connection. Other kinds are
// ignored.
func heartbeat(l *line) (decide.Event, error) {
	ref, err := attempt(l)
	if err != nil {
		return nil, err
	}
	kind, err := l.number("what", countBits)
	if err != nil {
		return nil, err
	}
	amount, err := l.optionalDecimal("amount")
	if err != nil {
		return nil, err
	}
	switch kind {
	case heartbeatLoad:
		return decide.LoadChanged{ID: ref.id, Load: amount / 1e6}, nil
	case heartbeatMessageDelay:
		delay := secondsToDuration(amount / 1e3)
		return decide.MessageDelayReported{ID: ref.id, Server: ref.server, Delay: delay}, nil
	}
	return nil, nil
}

func attemptEnded(l *line, schema *schema) (decide.Event, error) {
	ref, err := attempt(l)
	if err != nil {
		return nil, err
	}
	event := decide.AttemptEnded{ID: ref.id, Attempt: ref.attempt, Server: ref.server}
	if event.Final, err = l.flag("no_more"); err != nil {
		return nil, err
	}
	outcome, err := readOutcome(l, schema)
	event.Code, event.Elapsed, event.Report = outcome.code, outcome.elapsed, outcome.report
	return event, err
}

func probeCompleted(l *line, schema *schema) (decide.Event, error) {
	server, err := serverID(l)
	if err != nil {
		return nil, err
	}
	outcome, err := readOutcome(l, schema)
	event := decide.ProbeCompleted{Server: server}
	event.Code, event.Elapsed, event.Report = outcome.code, outcome.elapsed, outcome.report
	return event, err
}

// outcome holds the fields that the messages about ended attempts and about probes have in common.
type outcome struct {
	code    decide.Code
	elapsed time.Duration
	report  decide.LoadReport
}

func readOutcome(l *line, schema *schema) (o outcome, err error) {
	code, err := l.number("rc", countBits)
	if err != nil {
		return o, err
	}
	if code%10 != 0 || code < 10 || code > 80 {
		return o, l.invalid("rc", "10, 20 ... 80", strconv.AppendUint(nil, code, 10))
	}
	o.code = outcomeCodes[code/10-1]
	elapsed, err := l.optionalDecimal("took_s")
	if err != nil {
		return o, err
	}
	o.elapsed = secondsToDuration(elapsed)
	o.report, err = loadReport(l, schema.reportColumns)
	return o, err
}

// loadReport reads a load report. The simulator's column x0 is the load, and inflight is the number of connections.
// Other columns are ignored.
func loadReport(l *line, columns []string) (decide.LoadReport, error) {
	report := decide.NoLoadReport
	rest, ok := l.get("health_info")
	if !ok || isAbsent(rest) {
		return report, nil
	}
	for _, column := range columns {
		if len(rest) == 0 {
			break
		}
		var value []byte
		value, rest, _ = bytes.Cut(rest, []byte{','})
		if isAbsent(value) {
			continue
		}
		number, err := parseDecimal(value)
		if err != nil {
			return report, l.invalid("health_info", "comma-separated numbers", value)
		}
		switch column {
		case "x0":
			report.Load = number
		case "inflight":
			report.Connections = number
		}
	}
	return report, nil
}

func isAbsent(value []byte) bool { return len(value) == 0 || string(value) == "-" }
