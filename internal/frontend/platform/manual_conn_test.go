package platform

import (
	"net"
	"strings"
	"testing"
	"time"

	"cottonplank/internal/core"

	"golang.org/x/sys/unix"
)

// manualConn is a clientConn on real sockets whose actor does not run. The test receives the engine's commands and
// the readers' events and applies them one by one. This determines the order of commands and events that are
// concurrent otherwise.
type manualConn struct {
	*clientConn
	t        *testing.T
	balancer *testBalancer
	client   *testClient
}

// newManualConn accepts a client connection at a balancer without starting its actor.
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

// submit submits a request line to the engine, as the actor does.
func (m *manualConn) submit(line string) {
	m.requestSubmitted = true
	m.submitRequest(strings.TrimRight(line, "\r\n"), time.Now())
}

// submitAndDial submits a request, starts the first attempt and returns the event at the end of its dial, which is
// not handled yet.
func (m *manualConn) submitAndDial() dialedEvent {
	m.t.Helper()
	m.submit(newRequestLine())
	return m.startNextAttempt()
}

// startNextAttempt executes the engine's next command, which must start an attempt, and returns the event at the end
// of its dial.
func (m *manualConn) startNextAttempt() dialedEvent {
	m.t.Helper()
	cmd := <-m.commands
	if !isCommand[startAttemptCommand](cmd) {
		m.t.Fatalf("the engine sent %T, want a startAttemptCommand", cmd)
	}
	m.execute(m.t.Context(), cmd)
	dialed, ok := (<-m.events).(dialedEvent)
	if !ok || dialed.err != nil {
		m.t.Fatalf("the event of the dial is %+v, want a connection", dialed)
	}
	return dialed
}

// pendingCommand waits until the engine has handled all earlier reports, and returns its next command, if there is
// one.
func (m *manualConn) pendingCommand() (cmd command, ok bool) {
	m.balancer.waitForEngine()
	select {
	case cmd = <-m.commands:
		return cmd, true
	default:
		return nil, false
	}
}

// closeClient closes the client's connection and waits until the balancer's side has received the close.
func (m *manualConn) closeClient(closeConn func(*testClient)) {
	m.t.Helper()
	closeConn(m.client)
	waitUntil(m.t, "the client's close to arrive", func() bool { closed, _ := m.clientState(); return closed })
}

// isCommand reports whether cmd has type T.
func isCommand[T command](cmd command) bool {
	_, ok := cmd.(T)
	return ok
}

// bytesArrived returns how many bytes the kernel has received from the client.
func (m *manualConn) bytesArrived() int {
	m.t.Helper()
	return int(tcpInfo(m.t, m.conn).Bytes_received)
}

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(t testing.TB, conn *net.TCPConn) *unix.TCPInfo {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		t.Fatal(err, infoErr)
	}
	return info
}
