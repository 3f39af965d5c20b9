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

// goneWithin is the term.
const goneWithin = 100 * time.Millisecond

// ends are the ways in which a client goes.
var ends = map[string]func(*client){
	"fin":    func(c *client) { c.conn.Close() },
	"rst":    func(c *client) { c.conn.SetLinger(0); c.conn.Close() },
	"cancel": func(c *client) { c.conn.CloseWrite() }, // it gives up, and waits for our end
}

// goes ends the client's connection by hand, and waits until our side of it knows.
func (h *hand) goes(end func(*client)) {
	h.t.Helper()
	end(h.client)
	until(h.t, "the client's end", func() bool { left, _ := h.clientState(); return left })
}

// door is a stand-in room server whose connections wait to be accepted until the test looks.
func door(t *testing.T, name string) *answerer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &answerer{name: name, l: l}
}

// visits counts what was dialled at a door by now, but for the test's own.
func (a *answerer) visits(t *testing.T, own ...*client) (n int) {
	t.Helper()
	last := dial(t, a.l.Addr().String())
	defer last.conn.Close()
	for {
		conn, err := a.l.Accept()
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
func TestNothingIsDialledForOneThatHasGone(t *testing.T) {
	t.Parallel()
	begin := func(h *hand, line string) command {
		h.asked = true
		h.begin(strings.TrimRight(line, "\r\n"), time.Now())
		return <-h.commands
	}
	places := map[string]func(t *testing.T, d *answerer) (h *hand, o command){
		"first attempt": func(t *testing.T, d *answerer) (*hand, command) {
			h := newBalancer(t, d).byHand(t)
			return h, begin(h, opening())
		},
		"further attempt": func(t *testing.T, d *answerer) (*hand, command) {
			b := newBalancer(t, newServer(t, "s-1", say("BUSY\r\n"))) // own zone first
			b.module.EndpointsUpdated(d.in("b"))
			h := b.byHand(t)
			h.handle(h.requests())
			h.handle(<-h.news) // BUSY
			return h, <-h.commands
		},
		"after waiting for a room server": func(t *testing.T, d *answerer) (*hand, command) {
			b := newBalancer(t)
			h := b.byHand(t)
			h.asked = true
			h.begin(strings.TrimRight(opening(), "\r\n"), time.Now())
			b.sync()
			b.module.EndpointsUpdated(d.as(decide.Ready))
			return h, <-h.commands
		},
		"opened anew": func(t *testing.T, d *answerer) (*hand, command) {
			b := newBalancer(t)
			h := b.byHand(t)
			h.asked = true
			h.begin(strings.TrimRight(opening(), "\r\n")+",at="+d.name, time.Now())
			b.sync()
			b.module.EndpointsUpdated(d.as(decide.Ready))
			return h, <-h.commands
		},
		"in a stop": func(t *testing.T, d *answerer) (*hand, command) {
			b := newBalancer(t, d)
			h := b.byHand(t)
			b.module.Drain(20*time.Second, nil)
			return h, begin(h, opening())
		},
	}
	for place, prepare := range places {
		for name, end := range ends {
			t.Run(place+"/"+name, func(t *testing.T) {
				t.Parallel()
				d := door(t, "s-9")
				h, o := prepare(t, d)
				if !is[attemptCommand](o) {
					t.Fatalf("the core orders %T, want an attempt", o)
				}
				blamed := h.b.module.CurrentSnapshot(20 * time.Second).Ejected
				h.goes(end)
				h.execute(t.Context(), o)
				if h.handle(<-h.news) {
					t.Error("the actor goes on without its client")
				}
				if n := d.visits(t); n > 0 {
					t.Errorf("%d connections to the room server", n)
				}
				if n := h.b.module.CurrentSnapshot(20 * time.Second).Ejected; n > blamed {
					t.Errorf("%d room servers are left out, %d before", n, blamed)
				}
			})
		}
	}
	for name, end := range ends {
		t.Run("for a descriptor/"+name, func(t *testing.T) {
			t.Parallel()
			d := door(t, "s-9")
			b := budgeted(t, DescriptorBudget{Total: 12, DialReserve: 4}, d)
			until(t, "the accepting side's descriptor", func() bool { return len(b.front.held) == 1 })
			for range cap(b.front.held) - 1 {
				b.front.held <- struct{}{}
			}
			h := b.byHand(t)
			h.execute(t.Context(), begin(h, opening()))
			h.goes(end)
			for range cap(b.front.held) - 1 {
				b.front.free()
			}
			if h.handle(<-h.news) {
				t.Error("the actor goes on without its client")
			}
			if n := d.visits(t); n > 0 || len(b.front.held) > 1 {
				t.Errorf("%d connections to the room server, %d descriptors held", n, len(b.front.held))
			}
		})
	}
	t.Run("more than a line", func(t *testing.T) {
		t.Parallel()
		d := door(t, "s-9")
		h := newBalancer(t, d).byHand(t)
		o := begin(h, opening())
		h.client.send("more")
		end(h.client, false) // its end lies behind what was not read
		until(t, "more", func() bool { _, more := h.clientState(); return more })
		h.execute(t.Context(), o)
		h.handle(<-h.news)
		if o := <-h.commands; !is[failCommand](o) {
			t.Errorf("the core orders %T, want the answer", o)
		}
		if n := d.visits(t); n > 0 {
			t.Errorf("%d connections to the room server", n)
		}
	})
}

// A session's client goes while its state is looked for or travels: wherever the way has come to, nothing more is asked of
// any room server.
func TestNothingIsAskedForASessionThatHasGone(t *testing.T) {
	t.Parallel()
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for turns, over := 0, false; !over; turns++ {
				s := newSite(t, 1, keeps, keeps)
				b := s.balancers[0]
				c, _ := s.begin(b, 0, 3)
				token := s.move(c, 0, 1)
				h := b.byHand(t)
				h.asked = true
				h.begin(strings.TrimRight(resumes(token), "\r\n"), time.Now())
				gone, ordered := false, false // and a dial was ordered since
				next := func() (goesOn, stood bool) {
					select {
					case o := <-h.commands:
						ordered = ordered || gone && (is[attemptCommand](o) || is[holderCommand](o))
						return h.execute(t.Context(), o), is[standCommand](o)
					case n := <-h.news:
						dialled, _ := n.(newsDialled)
						asked, _ := n.(newsHolder)
						if ordered && (dialled.conn != nil || asked.h != nil && asked.h.conn != nil) {
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
				h.goes(end)
				gone = true
				left := 0
				for on, stood := true, false; on && !stood && left < 5; left++ { // once it stands there is nothing left to ask
					on, stood = next()
				}
				if left > 2 { // two: an order, whose work comes back as news
					t.Errorf("gone after %d turns: %d more turns", turns, left)
				}
				h.closeUp(false)
				h.closeHolder()
			}
		})
	}
}

// The client goes while the dial is out, to a room server whose queue is full: what comes up later is none of its.
func TestDialEndsWithItsClient(t *testing.T) {
	t.Parallel()
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := door(t, "s-9")
			raw, err := d.l.(*net.TCPListener).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
			if err != nil {
				t.Fatal(err)
			}
			filled := dial(t, d.l.Addr().String())
			defer filled.conn.Close()
			b := newBalancer(t, d)
			c := b.waiting(t)
			until(t, "the dial", func() bool { return len(b.front.held) == 3 }) // beside the client and the accepting side
			end(c)
			until(t, "the end of both", func() bool {
				return len(b.front.held) == 1 && b.module.CurrentSnapshot(20*time.Second).ClientsLeft == 1
			})
			raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 16) })
			if n := d.visits(t, filled); n > 0 || err != nil {
				t.Errorf("%d connections to the room server, %v", n, err)
			}
		})
	}
}

// An instance with requests, standing connections and a busy mailbox: clients that went before they were accepted, or while
// their room server was awaited, begin nothing later than the term.
func TestGoneOnALoadedInstance(t *testing.T) {
	t.Parallel()
	const players, each = 20, 10 // of each way to go
	s1, s2, d := newServer(t, "s-1", echo), newServer(t, "s-2", echo), door(t, "s-9")
	b := with(t, DescriptorBudget{Total: 600, DialReserve: 200}, func(*decide.Settings) {}, s1, s2)

	ctx, enough := context.WithCancel(t.Context())
	var load sync.WaitGroup
	stop := sync.OnceFunc(func() { enough(); load.Wait() })
	t.Cleanup(stop) // before the balancer's own end
	for range players {
		load.Go(func() {
			for ctx.Err() == nil {
				if err := plays(b.addr); err != nil {
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
	gone, all := map[string]bool{}, []*client{}
	goes := func(addr, more string) {
		var here []*client
		for _, end := range ends {
			for range each {
				c := dial(t, addr)
				t.Cleanup(func() { c.conn.Close() })
				line := opening()
				gone[line[:21]] = true
				c.send(strings.TrimRight(line, "\r\n") + more + "\r\n")
				here = append(here, c)
				if more == "" {
					end(c)
				}
			}
		}
		if more != "" {
			until(t, "the requests", func() bool { return b.module.CurrentSnapshot(20*time.Second).Waiting >= len(here) })
			for i, c := range here {
				[]func(*client){ends["fin"], ends["rst"], ends["cancel"]}[i%len(ends)](c)
			}
		}
		all = append(all, here...)
	}
	goes(l.Addr().String(), "")
	goes(b.addr, ",at=s-9")
	time.Sleep(goneWithin)

	b.module.EndpointsUpdated(d.as(decide.Draining)) // within its grace, for those that were open there alone
	front := New(b.module, testNames, DescriptorBudget{Total: 600, DialReserve: 200}, b.front.log)
	serving, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { front.Serve(serving, l, hotrestart.NewPauser(l.SetDeadline)) })
	t.Cleanup(func() { end(); running.Wait() })
	last := dial(t, l.Addr().String()) // accepted after all others
	last.send("PING\r\n")
	last.want("PONG\r\n")
	last.conn.Close()
	until(t, "the end of all", func() bool { return len(front.held) == 1 })
	time.Sleep(reopenAgain)
	stop()

	for _, s := range []*answerer{s1, s2} {
		last := dial(t, s.l.Addr().String()) // accepted after all others
		last.send("last\r\n")
		last.want("UP receipt-1\r\n")
		last.conn.Close()
		s.mu.Lock()
		for _, line := range s.got {
			if gone[line[:min(len(line), 21)]] {
				t.Errorf("sent on: %q", line)
			}
		}
		if s.came > len(s.got) {
			t.Errorf("%s: %d connections, %d lines", s.name, s.came, len(s.got))
		}
		t.Logf("%s: %d requests beside %d clients that went", s.name, len(s.got), len(all))
		s.mu.Unlock()
	}
	if n := d.visits(t); n > 0 {
		t.Errorf("%d connections to the room server that came back", n)
	}
}

// plays is a short stay at a room server.
func plays(addr string) error {
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
			text, want = opening(), "UP receipt-1\r\n"
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
