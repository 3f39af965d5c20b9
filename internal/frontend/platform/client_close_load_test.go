package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/operations/hotrestart"
)

// settleTime is the time after a client's close in which an attempt for it may still start, because the engine is
// busy.
const settleTime = 100 * time.Millisecond

// closesPerKind is the number of clients that close in each of the ways of clientCloses.
const closesPerKind = 10

// In a balancer whose engine is busy with many requests and established connections, no attempt may start later than
// settleTime for a client that has closed before it was accepted or while it waited for its room server.
func TestClientsCloseUnderLoad(t *testing.T) {
	t.Parallel()
	budget := DescriptorBudget{Total: 600, DialReserve: 200}
	s1, s2 := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho)
	restored := newBacklogServer(t, "s-9")
	b := newTestBalancerWithSettings(t, budget, func(*decide.Settings) {}, s1, s2)
	stopLoad := startLoad(t, b.addr)

	// The clients of this listener close while they are in its backlog. A second frontend accepts them afterwards.
	listener, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := closedRequests{}
	closed.closeInBacklog(t, listener.Addr().String())
	closed.closeWhileWaiting(t, b)
	time.Sleep(settleTime)

	// Within the drain grace period of the room server s-9, it is dialed only to restore connections that were open
	// there.
	b.engine.EndpointsUpdated(restored.deltaWithState(decide.Draining))
	serveListener(t, New(b.engine, testNames, budget, b.frontend.log), listener)
	time.Sleep(restoreRetryWait)
	stopLoad()

	for _, s := range []*fakeServer{s1, s2} {
		closed.wantNoneForwarded(t, s)
	}
	if n := restored.countDials(t); n > 0 {
		t.Errorf("%d connections to the draining room server, want none", n)
	}
}

// startLoad runs clients that connect repeatedly until stop is called. They end with the test in any case.
func startLoad(t *testing.T, addr string) (stop func()) {
	t.Helper()
	const players = 20
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(stop) // Runs before the balancer is stopped.
	for range players {
		running.Go(func() {
			for ctx.Err() == nil {
				if err := runShortSession(addr); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	return stop
}

// serveListener serves a listener until the test ends, and waits until all connections in its backlog are accepted
// and closed.
func serveListener(t *testing.T, frontend *Frontend, listener *net.TCPListener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { frontend.Serve(ctx, listener, hotrestart.NewPauser(listener.SetDeadline)) })
	t.Cleanup(func() { cancel(); running.Wait() })
	last := dialClient(t, listener.Addr().String()) // It is accepted after all other clients.
	last.send("PING\r\n")
	last.wantLine("PONG\r\n")
	last.conn.Close()
	waitUntil(t, "the end of all connections", func() bool { return len(frontend.descriptors) == 1 })
}

// closedRequests holds the requests whose clients have closed. Each key is the beginning of a request's line, up to
// requestIDEnd.
type closedRequests map[string]bool

// send dials a client and sends a request with additional fields.
func (r closedRequests) send(t *testing.T, addr, fields string) *testClient {
	t.Helper()
	c := dialClient(t, addr)
	t.Cleanup(func() { c.conn.Close() })
	line := newRequestLine()
	r[line[:requestIDEnd]] = true
	c.send(strings.TrimRight(line, "\r\n") + fields + "\r\n")
	return c
}

// closeInBacklog sends requests to a listener and closes their clients before they are accepted.
func (r closedRequests) closeInBacklog(t *testing.T, addr string) {
	t.Helper()
	for _, closeConn := range clientCloses {
		for range closesPerKind {
			closeConn(r.send(t, addr, ""))
		}
	}
}

// closeWhileWaiting sends requests for a room server that is not listed, and closes their clients while they wait for
// it.
func (r closedRequests) closeWhileWaiting(t *testing.T, b *testBalancer) {
	t.Helper()
	clients := map[*testClient]func(*testClient){}
	for _, closeConn := range clientCloses {
		for range closesPerKind {
			clients[r.send(t, b.addr, ",at=s-9")] = closeConn
		}
	}
	waitUntil(t, "the requests to reach the engine", func() bool { return b.snapshot().Waiting >= len(clients) })
	for c, closeConn := range clients {
		closeConn(c)
	}
}

// wantNoneForwarded checks that a room server has received no request line for a closed client, and no connection
// without a request line.
func (r closedRequests) wantNoneForwarded(t *testing.T, s *fakeServer) {
	t.Helper()
	last := dialClient(t, s.listener.Addr().String()) // It is accepted after all other connections.
	last.send("last\r\n")
	last.wantLine("UP receipt-1\r\n")
	last.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.requestLines {
		if r[line[:min(len(line), requestIDEnd)]] {
			t.Errorf("forwarded %q for a closed client", line)
		}
	}
	if s.accepted > len(s.requestLines) {
		t.Errorf("%s: %d connections, but only %d request lines", s.name, s.accepted, len(s.requestLines))
	}
	t.Logf("%s: %d requests received; %d clients have closed", s.name, len(s.requestLines), len(r))
}

// runShortSession connects, exchanges a few lines and closes.
func runShortSession(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	buffer := make([]byte, 64)
	for i := range 10 {
		text, want := "x\r\n", "re x\r\n"
		if i == 0 {
			text, want = newRequestLine(), "UP receipt-1\r\n"
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		if n, err := io.ReadFull(conn, buffer[:len(want)]); err != nil || string(buffer[:n]) != want {
			return fmt.Errorf("read %q, %w", buffer[:n], err)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}
