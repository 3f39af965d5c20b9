package main

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// One process replaces another, twice in a row, while clients keep coming: each client is served, established
// connections are migrated, and a connection that was accepted before the shutdown is served though its request comes
// after it. Guards against listeners that close with connections in their backlog, and against a shutdown that drops
// what it has accepted.
func TestHotRestartTwice(t *testing.T) {
	d := newDeployment(t)
	discovery := d.startDiscovery(false)
	running := d.start(discovery).waitReady()
	for range 2 {
		established, slow := d.open(), d.dial()
		d.exchange(slow, "PING", "PONG") // accepted by the previous process
		next := d.start(discovery).waitReady()
		d.exchange(established, "still here", "still here")
		next.signal(syscall.SIGHUP)
		running.signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		d.sendOpen(slow)
		for range 50 {
			d.exchange(d.open(), "x", "x")
		}
		d.expectMigrate(established)
		d.expectMigrate(slow)
		running.waitExit()
		if n := strings.Count(next.call("INFO"), "fulfilled.solo-play=50"); n != 1 {
			t.Errorf("the replacement did not serve the 50 clients: %q", next.call("INFO"))
		}
		running = next
	}
	running.signal(syscall.SIGTERM)
	running.waitExit()
}

// A replacement process that dies, before it is ready or after, leaves the previous one serving, and the next
// replacement still takes over. One that discovery does not answer gets ready all the same.
func TestReplacementProcessDies(t *testing.T) {
	d := newDeployment(t)
	unresponsive, responsive := d.startDiscovery(true), d.startDiscovery(false)
	previous := d.start(responsive).waitReady()
	established := d.open()
	for _, afterReady := range []bool{false, true} {
		next := d.start(unresponsive)
		if afterReady {
			next.waitReady()
		} else {
			waitStarting(t, next)
		}
		next.signal(syscall.SIGKILL)
		next.command.Wait()
		for range 5 {
			d.exchange(d.open(), "x", "x")
		}
		d.exchange(established, "x", "x")
	}
	last := d.start(responsive).waitReady()
	previous.signal(syscall.SIGTERM)
	d.expectMigrate(established)
	previous.waitExit()
	d.exchange(d.open(), "x", "x")
	last.signal(syscall.SIGTERM)
	last.waitExit()
}

func waitStarting(t *testing.T, p *process) {
	t.Helper()
	for end := time.Now().Add(testTimeout); p.call("PING") != "400 starting\r\n"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is not seen starting")
		}
	}
}

// A process opens the client address itself and serves if the previous one hangs or was killed.
func TestPreviousProcessHangsOrWasKilled(t *testing.T) {
	d := newDeployment(t)
	discovery := d.startDiscovery(false)
	previous := d.start(discovery).waitReady()
	previous.signal(syscall.SIGSTOP)
	d.start(discovery).waitReady()
	previous.signal(syscall.SIGKILL)
	previous.command.Wait()
	var dials sync.WaitGroup
	for range 3 {
		dials.Go(func() {
			if conn, err := net.Dial("tcp", d.listen); err != nil {
				t.Error(err)
			} else {
				conn.Close()
			}
		})
	}
	dials.Wait()
	d.exchange(d.open(), "x", "x")
}
