package platform

import (
	"errors"
	"testing"
	"time"
)

// These tests guard against a request that the balancer reads and whose connection it then closes without an answer,
// because the engine ended the connection as unused before it knew of the request. The crossings are forced: a test
// executes the command while the request line is in a certain place.

// manualReader is a manualConn whose readClient the test starts.
type manualReader struct{ *manualConn }

// newManualReader returns a connection at a balancer with one room server.
func newManualReader(t *testing.T) manualReader {
	t.Helper()
	return manualReader{newTestBalancer(t, newFakeServer(t, "s-1", serveEcho)).newManualConn(t)}
}

// startReader starts readClient, which ends with the connection.
func (m manualReader) startReader() { m.frontend.readers.Go(m.readClient) }

// sendAndWait sends a text and waits until it is in the kernel's receive buffer of the balancer's side.
func (m manualReader) sendAndWait(text string) {
	m.t.Helper()
	m.client.send(text)
	waitUntil(m.t, "the text to arrive", func() bool { return hasUnreadData(m.conn) })
}

// closeUnused executes the engine's command and fails the test if the actor ends at once.
func (m manualReader) closeUnused() {
	m.t.Helper()
	if !m.execute(m.t.Context(), closeUnusedCommand{}) {
		m.t.Fatal("the command ends the actor")
	}
}

// nextEvent returns the next event for the actor.
func (m manualReader) nextEvent() event {
	m.t.Helper()
	select {
	case e := <-m.events:
		return e
	case <-time.After(waitTimeout):
		m.t.Fatal("timed out waiting for an event")
		return nil
	}
}

// wantRequest checks that the request is reported to the actor, which places it, and that the reader still notices what
// the client does afterwards.
func (m manualReader) wantRequest() {
	m.t.Helper()
	e, ok := m.nextEvent().(requestLineEvent)
	if !ok || e.line == "" || !m.handle(e) {
		m.t.Fatalf("the reader reported %#v, want the request line", e)
	}
	m.wantPlacedRequest()
}

// wantPlacedRequest checks that a request which was submitted is placed and that the reader goes on.
func (m manualReader) wantPlacedRequest() {
	m.t.Helper()
	if cmd := <-m.commands; !isCommand[startAttemptCommand](cmd) {
		m.t.Fatalf("the engine sent %T, want a startAttemptCommand", cmd)
	}
	m.client.send("more")
	if e, ok := m.nextEvent().(earlyDataEvent); !ok {
		m.t.Fatalf("the reader reported %#v after more data, want an earlyDataEvent", e)
	}
}

// A connection that is closed as unused serves a request that has arrived, wherever its line is.
func TestCloseUnusedServesArrivedRequest(t *testing.T) {
	t.Parallel()
	const half = 20
	for place, play := range map[string]func(t *testing.T, m manualReader, line string){
		"in the kernel": func(_ *testing.T, m manualReader, line string) {
			m.sendAndWait(line)
			m.closeUnused()
			m.startReader()
			m.wantRequest()
		},
		"read in part, the rest in the kernel": func(t *testing.T, m manualReader, line string) {
			m.sendAndWait(line[:half])
			if _, err := m.text.R.Peek(half); err != nil { // fills the reader's buffer
				t.Fatal(err)
			}
			m.sendAndWait(line[half:])
			m.closeUnused()
			m.startReader()
			m.wantRequest()
		},
		"read, not handled by the actor": func(t *testing.T, m manualReader, line string) {
			m.startReader()
			m.client.send(line)
			waitUntil(t, "the line to be read", func() bool { return m.bytesArrived() == len(line) && !hasUnreadData(m.conn) })
			m.closeUnused()
			m.wantRequest()
		},
		"submitted, not known to the engine": func(t *testing.T, m manualReader, line string) {
			m.startReader()
			m.client.send(line)
			e := m.nextEvent()
			m.CloseUnused() // the engine sends the command before it handles the report of the request
			m.handle(e)
			if !m.execute(t.Context(), <-m.commands) {
				t.Fatal("the command ends the actor")
			}
			m.wantPlacedRequest()
		},
	} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			play(t, newManualReader(t), newRequestLine())
		})
	}
}

// A connection on which no whole line has arrived is closed, and what the client writes after that is not read. Its
// kernel answers by a reset, by which the client can tell that the request was not read.
func TestCloseUnusedReadsNothingMore(t *testing.T) {
	t.Parallel()
	for name, sent := range map[string]string{"silent": "", "half a line": "OPEN 9b1f03"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newManualReader(t)
			m.startReader()
			m.client.send(sent)
			waitUntil(t, "the text to be read", func() bool { return m.bytesArrived() == len(sent) && !hasUnreadData(m.conn) })
			m.closeUnused()
			e, ok := m.nextEvent().(clientClosedEvent)
			if !ok || !errors.Is(e.err, errUnused) {
				t.Fatalf("the reader reported %#v, want errUnused", e)
			}
			// A line that arrives before the actor has closed the connection.
			m.sendAndWait(newRequestLine())
			if m.handle(e) {
				t.Fatal("the actor goes on")
			}
			m.conn.Close()
			waitUntil(t, "the reset", func() bool { return isReset(m.client.conn) })
		})
	}
}

// After the final answer, or once the connection is established, an abort closes in any case.
func TestAbortEndsActor(t *testing.T) {
	t.Parallel()
	m := newManualReader(t)
	m.sendAndWait(newRequestLine())
	if m.execute(t.Context(), abortCommand{}) {
		t.Error("the actor goes on after an abort")
	}
	m.submit(newRequestLine())
	if m.execute(t.Context(), abortCommand{}) {
		t.Error("the actor goes on after an abort of a submitted request")
	}
}
