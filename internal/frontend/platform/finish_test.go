package platform

import (
	"context"
	"testing"
	"time"

	"cottonplank/internal/core"
)

// Guards against a request that has arrived when the frontend stops, wherever its line is, and whose connection is
// closed without an answer. The engine answers it: a stop that is over rejects what is new.
func TestArrivedRequestIsAnsweredAtStop(t *testing.T) {
	t.Parallel()
	const half = 20
	for place, prepare := range map[string]func(t *testing.T, m manualReader, line string){
		"in the kernel": func(_ *testing.T, m manualReader, line string) { m.sendAndWait(line) },
		"read in part, the rest in the kernel": func(t *testing.T, m manualReader, line string) {
			m.sendAndWait(line[:half])
			if _, err := m.text.R.Peek(half); err != nil { // fills the reader's buffer
				t.Fatal(err)
			}
			m.sendAndWait(line[half:])
		},
		"read": func(t *testing.T, m manualReader, line string) {
			m.sendAndWait(line)
			if _, err := m.text.R.Peek(len(line)); err != nil {
				t.Fatal(err)
			}
		},
		"submitted": func(_ *testing.T, m manualReader, line string) { m.submit(line) },
	} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			m := newStoppedReader(t)
			prepare(t, m, newRequestLine())
			m.finishActor()
			m.client.wantLine("BUSY 1000\r\n")
			m.client.wantEOF()
		})
	}
	t.Run("to be restored", func(t *testing.T) {
		t.Parallel()
		m := newStoppedReader(t)
		line := newRequestLine()
		m.sendAndWait(line[:len(line)-len("\r\n")] + ",at=s-1\r\n")
		m.finishActor()
		m.client.wantLine("ERR\r\n")
		m.client.wantEOF()
	})
}

// A stop does not wait for clients that have sent nothing, or a part of a line.
func TestStopClosesUnusedConnections(t *testing.T) {
	t.Parallel()
	for name, sent := range map[string]string{"silent": "", "half a line": "OPEN 9b1f03"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newStoppedReader(t)
			m.client.send(sent)
			m.finishActor()
			m.client.conn.SetDeadline(time.Now().Add(waitTimeout))
			if line, err := m.client.r.ReadString('\n'); err == nil {
				t.Errorf("read %q, want the end of the connection", line)
			}
		})
	}
}

// newStoppedReader returns a connection at a balancer whose planned stop is over.
func newStoppedReader(t *testing.T) manualReader {
	t.Helper()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	<-b.engine.Drain(10*time.Millisecond, nil)
	conn, client := newTCPPair(t)
	c := b.frontend.newClientConn(conn)
	c.call = b.engine.Accept(c, core.ConnTraits{Descriptor: true})
	return manualReader{&manualConn{clientConn: c, t: t, balancer: b, client: client}}
}

// finishActor starts the actor with a context that has ended, as the frontend does for a client that it accepts while
// it stops, and waits for its end.
func (m manualReader) finishActor() {
	m.t.Helper()
	ctx, cancel := context.WithCancel(m.t.Context())
	cancel()
	m.frontend.descriptors <- struct{}{} // which the actor releases
	ended := make(chan struct{})
	m.frontend.actors.Go(func() { m.run(ctx); close(ended) })
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		m.t.Fatal("the actor does not end")
	}
}
