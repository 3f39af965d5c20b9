package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

// A close of one side is relayed to the other side as a close, and a reset as a reset.
func TestCloseIsRelayed(t *testing.T) {
	t.Parallel()
	t.Run("server's FIN", func(t *testing.T) {
		t.Parallel()
		c := newTestBalancer(t, newFakeServer(t, "s-1", respond("UP r\r\nLOAD 5000\r\nBYE\r\n"))).newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP r\r\n")
		c.wantLine("LOAD 5000\r\n")
		c.wantLine("BYE\r\n")
		c.wantEOF()
	})
	t.Run("server's RST", func(t *testing.T) {
		t.Parallel()
		c := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
			io.WriteString(conn, "UP r\r\n")
			r.ReadString('\n')
			conn.(*net.TCPConn).SetLinger(0)
		})).newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP r\r\n")
		c.send("x\r\n")
		if _, err := c.r.ReadString('\n'); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("read ended with %v, want a reset", err)
		}
	})
	for name, reset := range map[string]bool{"client's FIN": false, "client's RST": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			readErrors := make(chan error, 1)
			c := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
				io.WriteString(conn, "UP r\r\n")
				_, err := io.Copy(io.Discard, r)
				readErrors <- err
			})).newClient(t)
			c.send(newRequestLine())
			c.wantLine("UP r\r\n")
			if reset {
				c.conn.SetLinger(0)
			}
			c.conn.Close()
			if err := <-readErrors; (err != nil) != reset {
				t.Errorf("the server's read ended with %v", err)
			}
		})
	}
}

// Guards against requests that are sent on after their client has left: a client closes its connection, with a reset,
// while the balancer has much of its data still to read, because the room server does not read. None of what was unread
// then reaches the room server, and the room server gets a reset.
func TestUnreadDataIsDroppedAfterReset(t *testing.T) {
	t.Parallel()
	line := strings.Repeat("x", 1000) + "\r\n"
	newRelay := func(t *testing.T) (m manualReader, server *testClient) {
		b := newTestBalancer(t)
		conn, client := newTCPPair(t)
		upstream, server := newTCPPair(t)
		c := b.frontend.newClientConn(conn)
		c.call = b.engine.Accept(c, core.ConnTraits{})
		b.frontend.descriptors <- struct{}{} // the dial's descriptor, which the close releases
		c.upstream = &upstreamConn{conn: upstream, text: textproto.NewConn(upstream), cancel: func() {}}
		c.established = true
		return manualReader{&manualConn{clientConn: c, t: t, balancer: b, client: client}}, server
	}
	readAll := func(server *testClient) (n int64, err error) { return io.Copy(io.Discard, server.r) }
	t.Run("before it is read", func(t *testing.T) {
		t.Parallel()
		m, server := newRelay(t)
		m.client.send(strings.Repeat(line, 50))
		closeWithReset(m.client)
		waitUntil(t, "the reset", func() bool { return isReset(m.conn) })
		err := m.relayToUpstream(m.upstream)
		if !errors.Is(err, errClientReset) || m.handleClientClosed(err) {
			t.Errorf("the relay ended with %v", err)
		}
		if n, err := readAll(server); n > 0 || err == nil {
			t.Errorf("the room server read %d bytes and then %v, want a reset only", n, err)
		}
	})
	t.Run("while the room server does not read", func(t *testing.T) {
		t.Parallel()
		m, server := newRelay(t)
		ended := make(chan error, 1)
		go func() { ended <- m.relayToUpstream(m.upstream) }()
		m.client.conn.SetWriteDeadline(time.Now().Add(time.Second))
		for { // until the buffers on the way are full
			if _, err := io.WriteString(m.client.conn, line); err != nil {
				break
			}
		}
		closeWithReset(m.client)
		select {
		case err := <-ended:
			if !errors.Is(err, errClientReset) || m.handleClientClosed(err) {
				t.Errorf("the relay ended with %v", err)
			}
		case <-time.After(waitTimeout):
			t.Fatal("the relay goes on")
		}
		if _, err := readAll(server); err == nil {
			t.Error("the room server got a regular end, want a reset")
		}
	})
}

// A room server that closes a connection with a FIN or a RST after the client has closed it has not failed. If this
// counted as a failure, servers would be ejected because their clients disconnect, and clients that all disconnect at
// once would find no server when they reconnect.
func TestClientCloseIsNoServerFault(t *testing.T) {
	t.Parallel()
	reset := func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP receipt-1\r\n")
		io.Copy(io.Discard, r)
		conn.(*net.TCPConn).SetLinger(0)
	}
	for name, handler := range map[string]serverHandler{"FIN": serveEcho, "RST": reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestBalancer(t, newFakeServer(t, "s-1", handler), newFakeServer(t, "s-2", handler))
			for range 6 {
				c := b.newClient(t)
				c.send(newRequestLine())
				c.wantLine("UP receipt-1\r\n")
				c.conn.CloseWrite()
				for _, err := c.r.ReadString('\n'); err == nil; {
					_, err = c.r.ReadString('\n')
				}
			}
			if s := b.engine.CurrentSnapshot(5 * time.Second); s.Ejected != 0 || s.Listed != 2 {
				t.Errorf("%d of %d room servers are ejected, want 0 of 2", s.Ejected, s.Listed)
			}
		})
	}
}

// The engine's command to migrate a client is executed after the room server has closed the connection. The client
// gets a regular close, and no MOVE after it.
func TestMigrateCrossesServerClose(t *testing.T) {
	b := newTestBalancer(t)
	frontend := New(b.engine, testNames, largeBudget, logrus.New()) // Serve is not called.
	for name, code := range map[string]decide.Code{"after BYE": decide.OK, "after MOVE": decide.Cancelled} {
		t.Run(name, func(t *testing.T) {
			conn, client := newTCPPair(t)
			server, _ := newTCPPair(t)
			c := frontend.newClientConn(conn)
			c.call = b.engine.Accept(c, core.ConnTraits{})
			frontend.descriptors <- struct{}{} // The dial's descriptor, which the close releases.
			c.upstream = &upstreamConn{conn: server, text: textproto.NewConn(server), cancel: func() {}}
			c.established = true
			if !c.handleUpstreamClosed(upstreamClosedEvent{code, io.EOF}) {
				t.Fatal("the actor ended before its client did")
			}
			if !c.execute(context.Background(), migrateCommand{}) {
				t.Fatal("the migrate command ended the actor")
			}
			client.wantEOF()
			if n := len(frontend.descriptors); n != 0 {
				t.Fatalf("%d descriptors are in use after the close, want 0", n)
			}
		})
	}
}

// newInterruptedRelay returns an established connection whose server has sent buffered, which the relay has not read
// yet, and executes a migrate command on it. The caller starts the relay.
func newInterruptedRelay(t *testing.T, f *Frontend, buffered string) (c *clientConn, client, server *testClient) {
	t.Helper()
	conn, client := newTCPPair(t)
	upstream, server := newTCPPair(t)
	c = f.newClientConn(conn)
	c.call = f.engine.Accept(c, core.ConnTraits{})
	f.descriptors <- struct{}{} // The dial's descriptor, which the close releases.
	c.upstream = &upstreamConn{conn: upstream, text: textproto.NewConn(upstream), cancel: func() {}}
	c.established = true
	server.send(buffered)
	c.upstream.text.R.Peek(len(buffered))
	c.execute(t.Context(), migrateCommand{})
	return c, client, server
}

// If a line was read in part when a migration starts, the complete line is relayed before MOVE. After the room
// server's own BYE or MOVE, no further MOVE follows. All writes have to end within migrateWriteTimeout, so this test
// may fail if a goroutine is delayed by more than half a second.
func TestMigrateBetweenLines(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t)
	frontend := New(b.engine, testNames, largeBudget, b.frontend.log) // Serve is not called.
	for name, lines := range map[string]struct{ before, after, want string }{
		"half a line, then its rest": {"re he", "llo\r\n", "re hello\r\nMOVE\r\n"},
		"half a line, no rest":       {"re he", "", "MOVE\r\n"},
		"complete line":              {"re hello\r\n", "", "re hello\r\nMOVE\r\n"},
		"server says BYE":            {"BYE\r\n", "", "BYE\r\n"},
		"server says MOVE":           {"MOVE\r\n", "", "MOVE\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c, client, server := newInterruptedRelay(t, frontend, lines.before)
			server.send(lines.after)
			up := c.upstream
			frontend.readers.Go(func() { c.relayToClient(up) })
			if !c.handle(<-c.events) {
				t.Error("the actor ended before its client did")
			}
			if got, err := io.ReadAll(client.r); err != nil || string(got) != lines.want {
				t.Errorf("the client reads %q, %v, want %q", got, err, lines.want)
			}
		})
	}
}

// If the room server of an established connection stops responding, the client is migrated well within 7 s.
func TestUnresponsiveServerMigratesClient(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) {
		io.WriteString(conn, "UP r\r\n")
		io.Copy(io.Discard, r)
	}))
	c := b.newClient(t)
	c.send(newRequestLine())
	c.wantLine("UP r\r\n")
	start := time.Now()
	c.send("anyone?\r\n")
	c.wantLine("MOVE\r\n")
	c.wantEOF()
	if d := time.Since(start); d > 7*time.Second {
		t.Errorf("migrated only after %v", d)
	}
}

// A client that does not read slows down its room server. It affects no other client and does not delay a drain.
func TestBackpressure(t *testing.T) {
	t.Parallel()
	written := make(chan int, 1)
	b := newTestBalancer(t, newFakeServer(t, "s-1", func(conn net.Conn, _ *bufio.Reader) {
		io.WriteString(conn, "UP r\r\n")
		n := 0
		for conn.SetWriteDeadline(time.Now().Add(time.Second)); ; n++ {
			if _, err := io.WriteString(conn, strings.Repeat("x", 1022)+"\r\n"); err != nil {
				break
			}
		}
		written <- n
	}))
	slow := b.newClient(t)
	slow.send(newRequestLine())
	slow.wantLine("UP r\r\n")
	if n := <-written; n > 64<<10 {
		t.Errorf("the balancer accepted %d KiB for a client that does not read", n)
	}
	other := b.newClient(t)
	other.send(newRequestLine())
	other.wantLine("UP r\r\n")
	// The drain ends, and so do all actors.
	select {
	case <-b.engine.Drain(3*time.Second, nil):
	case <-time.After(20 * time.Second):
		t.Fatal("timed out waiting for the end of the drain")
	}
	b.stop()
}
