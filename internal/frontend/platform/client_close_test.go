package platform

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"

	"golang.org/x/sys/unix"
)

// These tests close a client at each point of its request's way: no room server may get a connection or a line for it
// afterwards. What the kernel has received counts, since on a loaded machine the events of readClient come later.

// A client closes while its server is being dialed. The actor handles the end of the dial first.
func TestClientClosesDuringDial(t *testing.T) {
	t.Parallel()
	for name, closeConn := range fullCloses {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancer(t, s)
			c := b.newManualConn(t)
			dialed := c.submitAndDial()
			c.closeClient(closeConn)
			if c.handle(dialed) {
				t.Error("the actor continues without its client")
			}
			c.closeUpstream(false)
			if n := len(s.receivedLines()); n > 0 {
				t.Errorf("%d requests of a closed client were forwarded", n)
			}
		})
	}
}

// A client closes while its request waits in a running frontend: it is neither forwarded nor retried.
func TestClientClosesWhileWaiting(t *testing.T) {
	t.Parallel()
	for name, closeConn := range fullCloses {
		t.Run("for a room server/"+name, func(t *testing.T) {
			t.Parallel()
			b := newTestBalancer(t)
			closeConn(b.newWaitingClient(t))
			waitForClosedClient(t, b)
			s := newFakeServer(t, "s-1", serveEcho)
			b.engine.EndpointsUpdated(s.deltaWithState(decide.Ready)) // A waiting request would be placed now.
			wantNoEarlierRequest(t, b, s)
		})
		t.Run("for a descriptor/"+name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancerWithBudget(t, DescriptorBudget{Total: 12, DialReserve: 4}, s)
			takeAllDescriptors(t, b)
			closeConn(b.newWaitingClient(t))
			waitForClosedClient(t, b)
			for len(b.frontend.descriptors) > 1 {
				b.frontend.releaseDescriptor()
			}
			wantNoEarlierRequest(t, b, s)
		})
		t.Run("for the response/"+name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			s1 := newFakeServer(t, "s-1", func(conn net.Conn, r *bufio.Reader) { neverRespond(conn, r); close(closed) })
			s2 := newFakeServer(t, "s-2", serveEcho)
			b := newTestBalancer(t, s1)
			c := b.newClient(t)
			c.send(newRequestLine())
			waitUntil(t, "the attempt", func() bool { return len(s1.receivedLines()) == 1 })
			b.engine.EndpointsUpdated(s2.deltaWithState(decide.Ready))
			closeConn(c)
			<-closed
			waitForClosedClient(t, b)
			b.engine.EndpointsUpdated(s1.deltaWithState(decide.Draining)) // For the client that comes next.
			wantNoEarlierRequest(t, b, s2)
		})
		t.Run("to be read/"+name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancer(t, s)
			closeConn(b.newBacklogClient(t))
			b.pause.Resume()
			waitUntil(t, "the client's close", func() bool {
				return b.snapshot().Clients == 0 && len(b.frontend.descriptors) == 1
			})
			wantNoEarlierRequest(t, b, s)
		})
		for form, text := range map[string]string{
			"half a line":      strings.TrimRight(newRequestLine(), "\r\n"),
			"more than a line": newRequestLine() + "x",
		} {
			t.Run(form+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newFakeServer(t, "s-1", serveEcho)
				b := newTestBalancer(t, s)
				c := b.newClient(t)
				c.send(text)
				closeConn(c)
				wantNoEarlierRequest(t, b, s)
			})
		}
	}
}

// waitForClosedClient waits until the engine was told that a client has closed.
func waitForClosedClient(t *testing.T, b *testBalancer) {
	t.Helper()
	waitUntil(t, "the client's close", func() bool { return b.snapshot().ClientsLeft == 1 })
}

// takeAllDescriptors takes all descriptors of a balancer but the one with which it accepts the next client.
func takeAllDescriptors(t *testing.T, b *testBalancer) {
	t.Helper()
	waitUntil(t, "the accept loop's descriptor", func() bool { return len(b.frontend.descriptors) == 1 })
	for range cap(b.frontend.descriptors) - 1 {
		b.frontend.descriptors <- struct{}{}
	}
}

// wantNoEarlierRequest checks that a room server has received no request but the one of a client that comes now.
func wantNoEarlierRequest(t *testing.T, b *testBalancer, s *fakeServer) {
	t.Helper()
	c := b.newClient(t)
	line := newRequestLine()
	c.send(line)
	c.wantLine("UP receipt-1\r\n")
	for _, got := range s.receivedLines() {
		if !strings.HasPrefix(got, line[:requestIDEnd]) {
			t.Errorf("forwarded: %q", got)
		}
	}
}

// commandSetups bring a request to the point where the engine has commanded an attempt at a server, and return that
// command, which is not executed yet.
var commandSetups = map[string]func(t *testing.T, s *fakeServer) (*manualConn, command){
	"first attempt": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		c := newTestBalancer(t, s).newManualConn(t)
		c.submit(newRequestLine())
		return c, <-c.commands
	},
	"retry": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		b := newTestBalancer(t, newFakeServer(t, "s-1", respond("BUSY\r\n"))) // In the own zone, so it is first.
		b.engine.EndpointsUpdated(s.deltaInZone("b"))
		c := b.newManualConn(t)
		c.handle(c.submitAndDial())
		c.handle(<-c.events) // BUSY
		return c, <-c.commands
	},
	"after waiting for a room server": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		b := newTestBalancer(t)
		c := b.newManualConn(t)
		c.submit(newRequestLine())
		b.waitForEngine()
		b.engine.EndpointsUpdated(s.deltaWithState(decide.Ready))
		return c, <-c.commands
	},
	"restored": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		b := newTestBalancer(t)
		c := b.newManualConn(t)
		c.submit(strings.TrimRight(newRequestLine(), "\r\n") + ",at=" + s.name)
		b.waitForEngine()
		b.engine.EndpointsUpdated(s.deltaWithState(decide.Ready))
		return c, <-c.commands
	},
	"in a drain": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		b := newTestBalancer(t, s)
		c := b.newManualConn(t)
		b.engine.Drain(20*time.Second, nil)
		c.submit(newRequestLine())
		return c, <-c.commands
	},
}

// A client closes while the command for an attempt lies in the actor's mailbox, and no event has told the actor: the
// dial is not made, no room server is ejected for it, and the actor ends.
func TestNoDialAfterClientCloses(t *testing.T) {
	t.Parallel()
	for setup, prepare := range commandSetups {
		for name, closeConn := range clientCloses {
			t.Run(setup+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newBacklogServer(t, "s-9")
				c, cmd := prepare(t, s)
				if !isCommand[startAttemptCommand](cmd) {
					t.Fatalf("the engine commands %T, want an attempt", cmd)
				}
				ejectedBefore := c.balancer.snapshot().Ejected
				c.closeClient(closeConn)
				c.execute(t.Context(), cmd)
				if c.handle(<-c.events) {
					t.Error("the actor continues without its client")
				}
				if n := s.countDials(t); n > 0 {
					t.Errorf("%d connections to the room server", n)
				}
				if n := c.balancer.snapshot().Ejected; n > ejectedBefore {
					t.Errorf("%d room servers are ejected, %d before", n, ejectedBefore)
				}
			})
		}
	}
	for name, closeConn := range clientCloses {
		t.Run("waits for a descriptor/"+name, func(t *testing.T) {
			t.Parallel()
			s := newBacklogServer(t, "s-9")
			b := newTestBalancerWithBudget(t, DescriptorBudget{Total: 12, DialReserve: 4}, s)
			takeAllDescriptors(t, b)
			c := b.newManualConn(t)
			c.submit(newRequestLine())
			c.execute(t.Context(), <-c.commands)
			c.closeClient(closeConn)
			for range cap(b.frontend.descriptors) - 1 {
				b.frontend.releaseDescriptor()
			}
			if c.handle(<-c.events) {
				t.Error("the actor continues without its client")
			}
			if n := s.countDials(t); n > 0 || len(b.frontend.descriptors) > 1 {
				t.Errorf("%d connections to the room server, %d descriptors in use", n, len(b.frontend.descriptors))
			}
		})
	}
	t.Run("more than a line", func(t *testing.T) {
		t.Parallel()
		s := newBacklogServer(t, "s-9")
		c := newTestBalancer(t, s).newManualConn(t)
		c.submit(newRequestLine())
		cmd := <-c.commands
		c.client.send("more")
		closeWithFIN(c.client) // The FIN follows the unread data.
		waitUntil(t, "more", func() bool { _, sentMore := c.clientState(); return sentMore })
		c.execute(t.Context(), cmd)
		c.handle(<-c.events)
		if cmd := <-c.commands; !isCommand[failCommand](cmd) {
			t.Errorf("the engine commands %T, want the final answer", cmd)
		}
		if n := s.countDials(t); n > 0 {
			t.Errorf("%d connections to the room server", n)
		}
	})
}

// A client closes while its session's state is being looked for or transferred: whichever step the migration has
// reached, nothing more is sent to any room server.
func TestNoSessionCallAfterClientCloses(t *testing.T) {
	t.Parallel()
	const minimumSteps = 5
	for name, closeConn := range clientCloses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := 0
			for !closeClientAfterSteps(t, steps, closeConn) {
				steps++
			}
			if steps < minimumSteps {
				t.Errorf("the migration has %d steps, want at least %d", steps, minimumSteps)
			}
		})
	}
}

// closeClientAfterSteps runs a number of the steps of a session's migration, closes the client and checks the steps
// that follow. It returns true without closing the client if the migration was over before.
func closeClientAfterSteps(t *testing.T, steps int, closeConn func(*testClient)) (over bool) {
	t.Helper()
	// A command that is executed once more, and the event that it brings.
	const maxFurtherSteps = 2
	s := newSessionFixture(t, 1, sessionServer, sessionServer)
	client, _ := s.startSession(s.balancers[0], 0, 3)
	token := s.drainAndMove(client, 0, 1)
	c := s.balancers[0].newManualConn(t)
	c.submit(requestLineWithToken(token))
	stepper := migrationStepper{manualConn: c}
	for range steps {
		if keepRunning, established := stepper.step(); !keepRunning || established {
			return true
		}
	}
	c.closeClient(closeConn)
	stepper.clientClosed = true
	further := 0
	// Once the connection is established there is nothing left to send.
	for keepRunning, established := true, false; keepRunning && !established && further < 5; further++ {
		keepRunning, established = stepper.step()
	}
	if further > maxFurtherSteps {
		t.Errorf("closed after %d steps: %d more steps", steps, further)
	}
	c.closeUpstream(false)
	c.closeHolder()
	return false
}

// migrationStepper applies the commands and events of a session's migration one by one.
type migrationStepper struct {
	*manualConn
	// clientClosed reports whether the client has closed.
	clientClosed bool
	// dialCommanded reports whether a command that dials was executed after the client closed.
	dialCommanded bool
}

// step applies the next command or event. It fails the test if that shows a dial for a closed client.
func (m *migrationStepper) step() (keepRunning, established bool) {
	select {
	case cmd := <-m.commands:
		dials := isCommand[startAttemptCommand](cmd) || isCommand[holderLocatedCommand](cmd)
		m.dialCommanded = m.dialCommanded || m.clientClosed && dials
		return m.execute(m.t.Context(), cmd), isCommand[establishCommand](cmd)
	case e := <-m.events:
		dialed, _ := e.(dialedEvent)
		exported, _ := e.(exportAnsweredEvent)
		connected := dialed.conn != nil || exported.holder != nil && exported.holder.conn != nil
		if m.dialCommanded && connected {
			m.t.Errorf("closed before %T: it was dialed", e)
		}
		return m.handle(e), false
	}
}

// The client closes during a dial to a room server whose backlog is full: the dial is cancelled.
func TestDialCancelledWhenClientCloses(t *testing.T) {
	t.Parallel()
	for name, closeConn := range clientCloses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newBacklogServer(t, "s-9")
			raw, err := s.listener.(*net.TCPListener).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
			if err != nil {
				t.Fatal(err)
			}
			filler := dialClient(t, s.listener.Addr().String())
			defer filler.conn.Close()
			b := newTestBalancer(t, s)
			c := b.newWaitingClient(t)
			// One descriptor is the client's, one the accept loop's, one the dial's.
			waitUntil(t, "the dial", func() bool { return len(b.frontend.descriptors) == 3 })
			closeConn(c)
			waitUntil(t, "the end of both", func() bool {
				return len(b.frontend.descriptors) == 1 && b.snapshot().ClientsLeft == 1
			})
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 16) })
			if n := s.countDials(t, filler); n > 0 || err != nil {
				t.Errorf("%d connections to the room server, %v", n, err)
			}
		})
	}
}
