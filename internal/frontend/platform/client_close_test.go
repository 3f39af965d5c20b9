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

// These tests close a client at each stage of its request: afterwards no room server may receive a connection or a line
// for it. The close counts from when the kernel has received it, because on a busy machine the events of readClient
// follow only later.

// A client closes during the dial to its room server. The actor handles the end of the dial before the close.
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
				t.Error("the actor continues after its client has closed")
			}
			c.closeUpstream(false)
			if n := len(s.receivedLines()); n > 0 {
				t.Errorf("%d requests of a closed client were forwarded", n)
			}
		})
	}
}

// A client closes while its request waits in a running frontend. The request is neither forwarded nor retried.
func TestClientClosesWhileWaiting(t *testing.T) {
	t.Parallel()
	for name, closeConn := range fullCloses {
		t.Run("for a room server/"+name, func(t *testing.T) {
			t.Parallel()
			b := newTestBalancer(t)
			closeConn(b.newWaitingClient(t))
			waitForClosedClient(t, b)
			s := newFakeServer(t, "s-1", serveEcho)
			b.engine.EndpointsUpdated(s.deltaWithState(decide.Ready)) // A request that still waits would be placed now.
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
			waitUntil(t, "the attempt's request line", func() bool { return len(s1.receivedLines()) == 1 })
			b.engine.EndpointsUpdated(s2.deltaWithState(decide.Ready))
			closeConn(c)
			<-closed
			waitForClosedClient(t, b)
			b.engine.EndpointsUpdated(s1.deltaWithState(decide.Draining)) // So the next client is placed at s2.
			wantNoEarlierRequest(t, b, s2)
		})
		t.Run("to be read/"+name, func(t *testing.T) {
			t.Parallel()
			s := newFakeServer(t, "s-1", serveEcho)
			b := newTestBalancer(t, s)
			closeConn(b.newBacklogClient(t))
			b.pause.Resume()
			waitUntil(t, "the client's close to be handled", func() bool {
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

// waitForClosedClient waits until the engine knows that a client has closed.
func waitForClosedClient(t *testing.T, b *testBalancer) {
	t.Helper()
	waitUntil(t, "the client's close to be handled", func() bool { return b.snapshot().ClientsLeft == 1 })
}

// takeAllDescriptors acquires all descriptors of a balancer except the one for the next client to accept.
func takeAllDescriptors(t *testing.T, b *testBalancer) {
	t.Helper()
	waitUntil(t, "the accept loop's descriptor", func() bool { return len(b.frontend.descriptors) == 1 })
	for range cap(b.frontend.descriptors) - 1 {
		b.frontend.descriptors <- struct{}{}
	}
}

// wantNoEarlierRequest sends a request and checks that the room server has received no other request before it.
func wantNoEarlierRequest(t *testing.T, b *testBalancer, s *fakeServer) {
	t.Helper()
	c := b.newClient(t)
	line := newRequestLine()
	c.send(line)
	c.wantLine("UP receipt-1\r\n")
	for _, got := range s.receivedLines() {
		if !strings.HasPrefix(got, line[:requestIDEnd]) {
			t.Errorf("forwarded %q, want only the last request", got)
		}
	}
}

// commandSetups prepare requests of different kinds for which the engine has issued the command to start an attempt
// at a server. They return that command, which is not executed yet.
var commandSetups = map[string]func(t *testing.T, s *fakeServer) (*manualConn, command){
	"first attempt": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		c := newTestBalancer(t, s).newManualConn(t)
		c.submit(newRequestLine())
		return c, <-c.commands
	},
	"retry": func(t *testing.T, s *fakeServer) (*manualConn, command) {
		b := newTestBalancer(t, newFakeServer(t, "s-1", respond("BUSY\r\n"))) // In the own zone, so it is tried first.
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

// A client closes while the command to start an attempt is in the actor's mailbox, and before the actor receives an
// event about the close. No dial is made, no room server is ejected for it, and the actor ends.
func TestNoDialAfterClientCloses(t *testing.T) {
	t.Parallel()
	for setup, prepare := range commandSetups {
		for name, closeConn := range clientCloses {
			t.Run(setup+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := newBacklogServer(t, "s-9")
				c, cmd := prepare(t, s)
				if !isCommand[startAttemptCommand](cmd) {
					t.Fatalf("the engine sent %T, want a startAttemptCommand", cmd)
				}
				ejectedBefore := c.balancer.snapshot().Ejected
				c.closeClient(closeConn)
				c.execute(t.Context(), cmd)
				if c.handle(<-c.events) {
					t.Error("the actor continues after its client has closed")
				}
				if n := s.countDials(t); n > 0 {
					t.Errorf("%d connections to the room server, want none", n)
				}
				if n := c.balancer.snapshot().Ejected; n > ejectedBefore {
					t.Errorf("%d room servers are ejected, want %d as before", n, ejectedBefore)
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
				t.Error("the actor continues after its client has closed")
			}
			if n := s.countDials(t); n > 0 || len(b.frontend.descriptors) > 1 {
				t.Errorf("%d connections to the room server, want 0; %d descriptors in use, want 1", n, len(b.frontend.descriptors))
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
		waitUntil(t, "the additional data", func() bool { _, sentMore := c.clientState(); return sentMore })
		c.execute(t.Context(), cmd)
		c.handle(<-c.events)
		if cmd := <-c.commands; !isCommand[failCommand](cmd) {
			t.Errorf("the engine sent %T, want a failCommand", cmd)
		}
		if n := s.countDials(t); n > 0 {
			t.Errorf("%d connections to the room server, want none", n)
		}
	})
}

// A client closes while the state of its session is located or transferred. Whichever step the migration has reached,
// no room server is dialed after that, and the actor ends within two further steps.
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

// closeClientAfterSteps executes a number of steps of a session's migration, closes the client and checks the steps
// that follow. If the migration ends before, it returns true without closing the client.
func closeClientAfterSteps(t *testing.T, steps int, closeConn func(*testClient)) (over bool) {
	t.Helper()
	// One command that was issued before, and the event that it causes.
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
	// Once the connection is established, nothing is left to send.
	for keepRunning, established := true, false; keepRunning && !established && further < 5; further++ {
		keepRunning, established = stepper.step()
	}
	if further > maxFurtherSteps {
		t.Errorf("the client closed after %d steps, and %d more steps follow", steps, further)
	}
	c.closeUpstream(false)
	c.closeHolder()
	return false
}

// migrationStepper executes the commands and handles the events of a session's migration one by one.
type migrationStepper struct {
	*manualConn
	// clientClosed reports whether the client has closed its connection.
	clientClosed bool
	// dialCommanded reports whether a command that dials was executed after clientClosed was set.
	dialCommanded bool
}

// step executes the next command or handles the next event. If the event shows that a dial was made for a closed
// client, the test fails.
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
			m.t.Errorf("a room server was dialed for a closed client, as %T shows", e)
		}
		return m.handle(e), false
	}
}

// A client closes while a dial hangs because the room server's backlog is full. The dial is cancelled.
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
			// The client, the accept loop and the dial use one descriptor each.
			waitUntil(t, "the dial", func() bool { return len(b.frontend.descriptors) == 3 })
			closeConn(c)
			waitUntil(t, "the end of the dial and of the request", func() bool {
				return len(b.frontend.descriptors) == 1 && b.snapshot().ClientsLeft == 1
			})
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 16) })
			if n := s.countDials(t, filler); n > 0 || err != nil {
				t.Errorf("%d connections to the room server, want none; listen error: %v", n, err)
			}
		})
	}
}
