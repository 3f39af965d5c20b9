package main

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a hot restart that loses clients: by closing a listener with connections in its backlog, or by a
// shutdown that drops accepted connections. One process replaces another, twice, while clients connect. Each client is
// served, established connections are migrated, and a connection that was accepted before the shutdown is served
// although its request arrives after the signal.
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

// Guards against an outage when a replacement process crashes, before or after it is ready: the previous process has
// to continue to serve, and the next replacement process has to take over. A replacement process becomes ready even
// if discovery does not answer.
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
			t.Fatal("the process does not report the state starting")
		}
	}
}

// Guards against a process that cannot start because the previous one hangs: it then opens the client address itself
// and serves. After the previous process is killed, all clients reach the new one.
func TestPreviousProcessHangsAndIsKilled(t *testing.T) {
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
