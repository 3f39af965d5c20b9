package platform

import (
	"strings"
	"testing"
	"time"

	"cottonplank/internal/core"
)

// manualConn is a clientConn on real sockets whose actor does not run: the test takes the engine's commands and the
// readers' events one by one and applies them. It forces two things that happen at the same time into an order.
type manualConn struct {
	*clientConn
	t        *testing.T
	balancer *testBalancer
	client   *testClient
}

// newManualConn accepts a client's connection at a balancer.
func (b *testBalancer) newManualConn(t *testing.T) *manualConn {
	t.Helper()
	conn, client := newTCPPair(t)
	c := b.frontend.newClientConn(conn)
	c.call = b.engine.Accept(c, core.ConnTraits{Descriptor: true})
	t.Cleanup(func() { // Runs before the balancer is stopped.
		c.closeUpstream(false)
		close(c.done)
		b.engine.ClientClosed(c.call)
	})
	return &manualConn{clientConn: c, t: t, balancer: b, client: client}
}

// submit submits a request line to the engine.
func (m *manualConn) submit(line string) {
	m.requestSubmitted = true
	m.submitRequest(strings.TrimRight(line, "\r\n"), time.Now())
}

// submitAndDial submits a request, starts the first attempt and returns the end of its dial, which is not handled yet.
func (m *manualConn) submitAndDial() dialedEvent {
	m.t.Helper()
	m.submit(newRequestLine())
	return m.startNextAttempt()
}

// startNextAttempt executes the engine's next command, which must start an attempt, and returns the end of its dial.
func (m *manualConn) startNextAttempt() dialedEvent {
	m.t.Helper()
	cmd := <-m.commands
	if !isCommand[startAttemptCommand](cmd) {
		m.t.Fatalf("the engine commands %T, want an attempt", cmd)
	}
	m.execute(m.t.Context(), cmd)
	dialed, ok := (<-m.events).(dialedEvent)
	if !ok || dialed.err != nil {
		m.t.Fatalf("the dial brings %+v", dialed)
	}
	return dialed
}

// pendingCommand returns the command that the engine has given by now, if any.
func (m *manualConn) pendingCommand() (cmd command, ok bool) {
	m.balancer.waitForEngine()
	select {
	case cmd = <-m.commands:
		return cmd, true
	default:
		return nil, false
	}
}

// closeClient closes the client's connection and waits until the kernel has received that.
func (m *manualConn) closeClient(closeConn func(*testClient)) {
	m.t.Helper()
	closeConn(m.client)
	waitUntil(m.t, "the client's close", func() bool { closed, _ := m.clientState(); return closed })
}

// isCommand reports whether a command is of a type.
func isCommand[T command](cmd command) bool {
	_, ok := cmd.(T)
	return ok
}
