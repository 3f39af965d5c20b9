package platform

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
)

// A request whose room server responds in one of these ways, or not at all, is retried at another server.
func TestRetryAfterBadResponse(t *testing.T) {
	t.Parallel()
	for name, handler := range map[string]serverHandler{
		"busy":               respond("BUSY inflight=7\r\n"),
		"error":              respond("ERR\r\n"),
		"closes":             respond(""),
		"half a line":        respond("UP rec"),
		"hangs":              neverRespond,
		"unknown response":   respond("WHAT\r\n"),
		"too long":           respond(strings.Repeat("x", 2*4096)),
		"up without receipt": respond("UP\r\n"),
		"not printable":      respond("\x00\xff\x80UP receipt-9\r\n"),
		"two responses":      respond("ERR\r\nUP receipt-9\r\n"),
		"bare line feed":     respond("UP receipt-9\nUP receipt-9\r\n"),
		"malformed report":   respond("BUSY inflight=1e999,x0=-,=,,x0\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad, good := newFakeServer(t, "s-1", handler), newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancer(t, bad, good)
			for range 3 {
				c := b.newClient(t)
				c.send(newRequestLine())
				c.wantLine("UP receipt-1\r\n")
			}
			if n := len(bad.receivedLines()); n == 0 {
				t.Error("no request was sent to the bad server")
			}
		})
	}
}

// A request that no server accepts is rejected at once, long before its deadline. Known gap: the test does not measure
// the time until the answer.
func TestRejectedWithoutWaiting(t *testing.T) {
	t.Parallel()
	s1, s2 := newFakeServer(t, "s-1", respond("BUSY\r\n")), newFakeServer(t, "s-2", respond("BUSY\r\n"))
	b := newTestBalancer(t, s1, s2)
	c := b.newClient(t)
	c.send(strings.Replace(newRequestLine(), "d=2000", "d=1900", 1))
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "BUSY") {
		t.Fatalf("read %q, %v", line, err)
	}
	c.wantEOF()
}

// The first words of the answers to a client.
const (
	answerUp   = "UP"
	answerBusy = "BUSY"
	answerErr  = "ERR"
)

// idempotencyCase is a setting of the request class, with the expected answers to requests whose first attempt
// failed.
type idempotencyCase struct {
	change func(*decide.Settings)
	// mayHaveExecuted is the answer if the first attempt may have been executed and did not time out.
	mayHaveExecuted string
	// timedOut is the answer if the first attempt may have been executed and timed out.
	timedOut string
}

// setIdempotentByKey returns a change of the settings that makes the requests of the class idempotent by key.
func setIdempotentByKey(scope decide.KeyScope, window time.Duration) func(*decide.Settings) {
	return func(settings *decide.Settings) {
		class := &settings.Classes[0]
		class.Idempotency, class.KeyScope, class.DedupWindow = decide.IdempotentByKey, scope, window
	}
}

// idempotencyCases returns the cases by name.
func idempotencyCases() map[string]idempotencyCase {
	// A retry is sent at the end of its dial, by which time the deduplication window may be over.
	windowEqualsDialTimeout := func(settings *decide.Settings) {
		setIdempotentByKey(decide.ScopeAll, time.Second)(settings)
		settings.ConnectTimeout = time.Second
	}
	return map[string]idempotencyCase{
		"idempotent":                   {func(*decide.Settings) {}, answerUp, answerUp},
		"not idempotent":               {setNotIdempotent, answerErr, answerErr},
		"by key everywhere":            {setIdempotentByKey(decide.ScopeAll, 5*time.Second), answerUp, answerBusy},
		"by key in the zone":           {setIdempotentByKey(decide.ScopeZone, 5*time.Second), answerErr, answerErr},
		"by key in the cell":           {setIdempotentByKey(decide.ScopeCell, 5*time.Second), answerErr, answerErr},
		"by key, window over":          {setIdempotentByKey(decide.ScopeAll, time.Nanosecond), answerBusy, answerBusy},
		"by key, window over in dials": {windowEqualsDialTimeout, answerBusy, answerBusy},
	}
}

// The idempotency of the class determines whether a failed attempt is retried. No request is executed twice unless
// that is allowed, and the client gets BUSY, which permits a retry, only if a retry is harmless.
func TestRetriesByIdempotency(t *testing.T) {
	t.Parallel()
	reset := func(conn net.Conn, _ *bufio.Reader) { conn.(*net.TCPConn).SetLinger(0) }
	for idempotency, class := range idempotencyCases() {
		for fault, first := range map[string]struct {
			handler serverHandler // nil: the server refuses connections
			want    string
		}{
			"busy":             {respond("BUSY inflight=3\r\n"), answerUp},
			"refused":          {nil, answerUp},
			"reset":            {reset, class.mayHaveExecuted},
			"closes":           {respond(""), class.mayHaveExecuted},
			"error":            {respond("ERR\r\n"), class.mayHaveExecuted},
			"half a response":  {respond("UP rec"), class.mayHaveExecuted},
			"moves":            {respond("MOVE\r\n"), class.mayHaveExecuted},
			"unknown response": {respond("WHAT\r\n"), class.mayHaveExecuted},
			"corrupted":        {respond("BUSY \x00\xff\r\n"), class.mayHaveExecuted},
			"two responses":    {respond("ERR\r\nBUSY\r\n"), class.mayHaveExecuted},
			"hangs":            {neverRespond, class.timedOut},
		} {
			t.Run(idempotency+"/"+fault, func(t *testing.T) {
				t.Parallel()
				// The balancer prefers its own zone, so the first attempt fails, and a retry is sent to the other
				// zone.
				bad, good := newFakeServer(t, "s-1", first.handler), newFakeServer(t, "s-2", serveEcho)
				if first.handler == nil {
					bad.listener.Close()
				}
				b := newTestBalancerWithSettings(t, largeBudget, class.change, bad)
				b.engine.EndpointsUpdated(good.deltaInZone("b"))
				b.waitForEngine()
				c := b.newClient(t)
				c.send(newRequestLine())
				line, _ := c.r.ReadString('\n')
				if got, _, _ := strings.Cut(strings.TrimSpace(line), " "); got != first.want {
					t.Errorf("answered %q, want %s", line, first.want)
				}
				if n := len(good.receivedLines()); (n == 1) != (first.want == answerUp) {
					t.Errorf("%d lines reached the next server", n)
				}
			})
		}
	}
}

// In a drain, a request whose room server hangs is answered before the drain ends. The answer is BUSY, which permits a
// retry, only if a retry is harmless. It says when to retry only if the settings allow that.
func TestDrainAnswersByIdempotency(t *testing.T) {
	t.Parallel()
	oneAttempt := func(settings *decide.Settings) {
		setNotIdempotent(settings)
		settings.MaxAttempts = 1
	}
	noRetryAfter := func(settings *decide.Settings) { settings.MaxRetryAfter, settings.MaxAttempts = 0, 1 }
	for name, answers := range map[string]struct {
		change                       func(*decide.Settings)
		duringAttempt, afterLastStep string
	}{
		"not idempotent": {oneAttempt, "ERR\r\n", "BUSY 1000\r\n"},
		"no retry after": {noRetryAfter, "BUSY\r\n", "BUSY\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, "s-1", neverRespond)
			b := newTestBalancerWithSettings(t, largeBudget, answers.change, s)
			c := b.newClient(t)
			c.send(newRequestLine())
			waitUntil(t, "the attempt's request line", func() bool { return len(s.receivedLines()) == 1 })
			b.engine.Drain(time.Second, nil)
			c.wantLine(answers.duringAttempt)
			// The last step of the drain has answered the pending request. Later requests are not forwarded.
			late := b.newClient(t)
			late.send(newRequestLine())
			late.wantLine(answers.afterLastStep)
		})
	}
}
