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

	"golang.org/x/sys/unix"
)

// A client that has gone begins nothing any more: no room server gets a line of it, nor a connection. What the kernel knows
// counts, not what the channel's reader has told: on a loaded instance that may come later than the term.

// settleTime is the term.
const settleTime = 100 * time.Millisecond

// clientCloses are the ways in which a client goes.
var clientCloses = map[string]func(*testClient){
	"fin":    func(c *testClient) { c.conn.Close() },
	"rst":    func(c *testClient) { c.conn.SetLinger(0); c.conn.Close() },
	"cancel": func(c *testClient) { c.conn.CloseWrite() }, // it gives up, and waits for our end
}

// closeClientWith ends the client's connection by hand, and waits until our side of it knows.
func (h *manualConn) closeClientWith(end func(*testClient)) {
	h.t.Helper()
	end(h.client)
	waitUntil(h.t, "the client's end", func() bool { left, _ := h.clientState(); return left })
}

// newBacklogServer is a stand-in room server whose connections wait to be accepted until the test looks.
func newBacklogServer(t *testing.T, name string) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &fakeServer{name: name, listener: l}
}

// countDials counts what was dialled at a door by now, but for the test's own.
func (a *fakeServer) countDials(t *testing.T, own ...*testClient) (n int) {
	t.Helper()
	last := dialClient(t, a.listener.Addr().String())
	defer last.conn.Close()
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if from := conn.RemoteAddr().String(); from == last.conn.LocalAddr().String() {
			return n
		} else if n++; len(own) > 0 && from == own[0].conn.LocalAddr().String() {
			n, own = n-1, own[1:]
		}
	}
}

// The client goes as the order for an attempt lies in the actor's mailbox, or the dial waits, and nobody has told the actor:
// the dial is not made, no room server is blamed, and the actor ends.
func TestNoDialAfterClientCloses(t *testing.T) {
	t.Parallel()
	begin := func(h *manualConn, line string) command {
		h.requestSubmitted = true
		h.submitRequest(strings.TrimRight(line, "\r\n"), time.Now())
		return <-h.commands
	}
	places := map[string]func(t *testing.T, d *fakeServer) (h *manualConn, o command){
		"first attempt": func(t *testing.T, d *fakeServer) (*manualConn, command) {
			h := newTestBalancer(t, d).newManualConn(t)
			return h, begin(h, newRequestLine())
		},
		"further attempt": func(t *testing.T, d *fakeServer) (*manualConn, command) {
			b := newTestBalancer(t, newFakeServer(t, "s-1", respond("BUSY\r\n"))) // own zone first
			b.engine.EndpointsUpdated(d.deltaInZone("b"))
			h := b.newManualConn(t)
			h.handle(h.submitAndDial())
			h.handle(<-h.events) // BUSY
			return h, <-h.commands
		},
		"after waiting for a room server": func(t *testing.T, d *fakeServer) (*manualConn, command) {
			b := newTestBalancer(t)
			h := b.newManualConn(t)
			h.requestSubmitted = true
			h.submitRequest(strings.TrimRight(newRequestLine(), "\r\n"), time.Now())
			b.waitForEngine()
			b.engine.EndpointsUpdated(d.deltaWithState(decide.Ready))
			return h, <-h.commands
		},
		"opened anew": func(t *testing.T, d *fakeServer) (*manualConn, command) {
			b := newTestBalancer(t)
			h := b.newManualConn(t)
			h.requestSubmitted = true
			h.submitRequest(strings.TrimRight(newRequestLine(), "\r\n")+",at="+d.name, time.Now())
			b.waitForEngine()
			b.engine.EndpointsUpdated(d.deltaWithState(decide.Ready))
			return h, <-h.commands
		},
		"in a stop": func(t *testing.T, d *fakeServer) (*manualConn, command) {
			b := newTestBalancer(t, d)
			h := b.newManualConn(t)
			b.engine.Drain(20*time.Second, nil)
			return h, begin(h, newRequestLine())
		},
	}
	for place, prepare := range places {
		for name, end := range clientCloses {
			t.Run(place+"/"+name, func(t *testing.T) {
				t.Parallel()
				d := newBacklogServer(t, "s-9")
				h, o := prepare(t, d)
				if !isCommand[startAttemptCommand](o) {
					t.Fatalf("the core orders %T, want an attempt", o)
				}
				blamed := h.balancer.engine.CurrentSnapshot(20 * time.Second).Ejected
				h.closeClientWith(end)
				h.execute(t.Context(), o)
				if h.handle(<-h.events) {
					t.Error("the actor goes on without its client")
				}
				if n := d.countDials(t); n > 0 {
					t.Errorf("%d connections to the room server", n)
				}
				if n := h.balancer.engine.CurrentSnapshot(20 * time.Second).Ejected; n > blamed {
					t.Errorf("%d room servers are left out, %d before", n, blamed)
				}
			})
		}
	}
	for name, end := range clientCloses {
		t.Run("for a descriptor/"+name, func(t *testing.T) {
			t.Parallel()
			d := newBacklogServer(t, "s-9")
			b := newTestBalancerWithBudget(t, DescriptorBudget{Total: 12, DialReserve: 4}, d)
			waitUntil(t, "the accepting side's descriptor", func() bool { return len(b.frontend.descriptors) == 1 })
			for range cap(b.frontend.descriptors) - 1 {
				b.frontend.descriptors <- struct{}{}
			}
			h := b.newManualConn(t)
			h.execute(t.Context(), begin(h, newRequestLine()))
			h.closeClientWith(end)
			for range cap(b.frontend.descriptors) - 1 {
				b.frontend.releaseDescriptor()
			}
			if h.handle(<-h.events) {
				t.Error("the actor goes on without its client")
			}
			if n := d.countDials(t); n > 0 || len(b.frontend.descriptors) > 1 {
				t.Errorf("%d connections to the room server, %d descriptors held", n, len(b.frontend.descriptors))
			}
		})
	}
	t.Run("more than a line", func(t *testing.T) {
		t.Parallel()
		d := newBacklogServer(t, "s-9")
		h := newTestBalancer(t, d).newManualConn(t)
		o := begin(h, newRequestLine())
		h.client.send("more")
		closeClientConn(h.client, false) // its end lies behind what was not read
		waitUntil(t, "more", func() bool { _, more := h.clientState(); return more })
		h.execute(t.Context(), o)
		h.handle(<-h.events)
		if o := <-h.commands; !isCommand[failCommand](o) {
			t.Errorf("the core orders %T, want the answer", o)
		}
		if n := d.countDials(t); n > 0 {
			t.Errorf("%d connections to the room server", n)
		}
	})
}

// A session's client goes while its state is looked for or travels: wherever the way has come to, nothing more is asked of
// any room server.
func TestNoSessionCallAfterClientCloses(t *testing.T) {
	t.Parallel()
	for name, end := range clientCloses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for turns, over := 0, false; !over; turns++ {
				s := newSessionFixture(t, 1, sessionServer, sessionServer)
				b := s.balancers[0]
				c, _ := s.startSession(b, 0, 3)
				token := s.drainAndMove(c, 0, 1)
				h := b.newManualConn(t)
				h.requestSubmitted = true
				h.submitRequest(strings.TrimRight(requestLineWithToken(token), "\r\n"), time.Now())
				gone, ordered := false, false // and a dial was ordered since
				next := func() (goesOn, stood bool) {
					select {
					case o := <-h.commands:
						ordered = ordered || gone && (isCommand[startAttemptCommand](o) || isCommand[holderLocatedCommand](o))
						return h.execute(t.Context(), o), isCommand[establishCommand](o)
					case n := <-h.events:
						dialled, _ := n.(dialedEvent)
						asked, _ := n.(stateExportedEvent)
						if ordered && (dialled.conn != nil || asked.holder != nil && asked.holder.conn != nil) {
							t.Errorf("gone before %T: it was dialled", n)
						}
						return h.handle(n), false
					}
				}
				for range turns {
					if on, stood := next(); !on || stood {
						over = true // all turns of the way were tried
						break
					}
				}
				if over {
					if turns < 5 {
						t.Errorf("the way has %d turns", turns)
					}
					break
				}
				h.closeClientWith(end)
				gone = true
				left := 0
				for on, stood := true, false; on && !stood && left < 5; left++ { // once it stands there is nothing left to ask
					on, stood = next()
				}
				if left > 2 { // two: an order, whose work comes back as news
					t.Errorf("gone after %d turns: %d more turns", turns, left)
				}
				h.closeUpstream(false)
				h.closeHolder()
			}
		})
	}
}

// The client goes while the dial is out, to a room server whose queue is full: what comes up later is none of its.
func TestDialCancelledWhenClientCloses(t *testing.T) {
	t.Parallel()
	for name, end := range clientCloses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newBacklogServer(t, "s-9")
			raw, err := d.listener.(*net.TCPListener).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
			if err != nil {
				t.Fatal(err)
			}
			filled := dialClient(t, d.listener.Addr().String())
			defer filled.conn.Close()
			b := newTestBalancer(t, d)
			c := b.newWaitingClient(t)
			waitUntil(t, "the dial", func() bool { return len(b.frontend.descriptors) == 3 }) // beside the client and the accepting side
			end(c)
			waitUntil(t, "the end of both", func() bool {
				return len(b.frontend.descriptors) == 1 && b.engine.CurrentSnapshot(20*time.Second).ClientsLeft == 1
			})
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 16) })
			if n := d.countDials(t, filled); n > 0 || err != nil {
				t.Errorf("%d connections to the room server, %v", n, err)
			}
		})
	}
}

// An instance with requests, standing connections and a busy mailbox: clients that went before they were accepted, or while
// their room server was awaited, begin nothing later than the term.
func TestClientsCloseUnderLoad(t *testing.T) {
	t.Parallel()
	const players, each = 20, 10 // of each way to go
	s1, s2, d := newFakeServer(t, "s-1", serveEcho), newFakeServer(t, "s-2", serveEcho), newBacklogServer(t, "s-9")
	b := newTestBalancerWithSettings(t, DescriptorBudget{Total: 600, DialReserve: 200}, func(*decide.Settings) {}, s1, s2)

	ctx, enough := context.WithCancel(t.Context())
	var load sync.WaitGroup
	stop := sync.OnceFunc(func() { enough(); load.Wait() })
	t.Cleanup(stop) // before the balancer's own end
	for range players {
		load.Go(func() {
			for ctx.Err() == nil {
				if err := runShortSession(b.addr); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}

	// These lie in a backlog, with their lines, as they go; a front of the same module accepts them later.
	l, err := (&hotrestart.Sockets{}).ListenTCP("clients", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone, all := map[string]bool{}, []*testClient{}
	goes := func(addr, more string) {
		var here []*testClient
		for _, end := range clientCloses {
			for range each {
				c := dialClient(t, addr)
				t.Cleanup(func() { c.conn.Close() })
				line := newRequestLine()
				gone[line[:21]] = true
				c.send(strings.TrimRight(line, "\r\n") + more + "\r\n")
				here = append(here, c)
				if more == "" {
					end(c)
				}
			}
		}
		if more != "" {
			waitUntil(t, "the requests", func() bool { return b.engine.CurrentSnapshot(20*time.Second).Waiting >= len(here) })
			for i, c := range here {
				[]func(*testClient){clientCloses["fin"], clientCloses["rst"], clientCloses["cancel"]}[i%len(clientCloses)](c)
			}
		}
		all = append(all, here...)
	}
	goes(l.Addr().String(), "")
	goes(b.addr, ",at=s-9")
	time.Sleep(settleTime)

	b.engine.EndpointsUpdated(d.deltaWithState(decide.Draining)) // within its grace, for those that were open there alone
	front := New(b.engine, testNames, DescriptorBudget{Total: 600, DialReserve: 200}, b.frontend.log)
	serving, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { front.Serve(serving, l, hotrestart.NewPauser(l.SetDeadline)) })
	t.Cleanup(func() { end(); running.Wait() })
	last := dialClient(t, l.Addr().String()) // accepted after all others
	last.send("PING\r\n")
	last.wantLine("PONG\r\n")
	last.conn.Close()
	waitUntil(t, "the end of all", func() bool { return len(front.descriptors) == 1 })
	time.Sleep(beyondRestoreRetry)
	stop()

	for _, s := range []*fakeServer{s1, s2} {
		last := dialClient(t, s.listener.Addr().String()) // accepted after all others
		last.send("last\r\n")
		last.wantLine("UP receipt-1\r\n")
		last.conn.Close()
		s.mu.Lock()
		for _, line := range s.requestLines {
			if gone[line[:min(len(line), 21)]] {
				t.Errorf("sent on: %q", line)
			}
		}
		if s.accepted > len(s.requestLines) {
			t.Errorf("%s: %d connections, %d lines", s.name, s.accepted, len(s.requestLines))
		}
		t.Logf("%s: %d requests beside %d clients that went", s.name, len(s.requestLines), len(all))
		s.mu.Unlock()
	}
	if n := d.countDials(t); n > 0 {
		t.Errorf("%d connections to the room server that came back", n)
	}
}

// runShortSession is a short stay at a room server.
func runShortSession(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	buf := make([]byte, 64)
	for i := range 10 {
		text, want := "x\r\n", "re x\r\n"
		if i == 0 {
			text, want = newRequestLine(), "UP receipt-1\r\n"
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
		if n, err := io.ReadFull(conn, buf[:len(want)]); err != nil || string(buf[:n]) != want {
			return fmt.Errorf("read %q, %w", buf[:n], err)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}
