package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/invariants"

	"golang.org/x/sys/unix"
)

// maxListDelay is how long a balancer may take to apply a change of the endpoint list, counted from when discovery has
// the change and is reachable.
const maxListDelay = 6 * time.Second

const (
	// clientGiveUp is the client's timeout, in the processes' settings and in the requests.
	clientGiveUp = 2 * time.Second
	// minShedAge is the minimum time for which the process keeps a connection open that has sent nothing, even while
	// idle clients use up its file descriptors.
	minShedAge = 10 * time.Millisecond
)

// newDeploymentWithFaultyDiscovery returns a deployment with a discovery service that can simulate outages.
func newDeploymentWithFaultyDiscovery(t *testing.T) (*deployment, *emulator.Discovery, *emulator.FaultyListener) {
	t.Helper()
	d, discovery := newDeployment(t), emulator.NewDiscovery(invariants.NewRecorder(invariants.Limits{}))
	d.listen = reservedAddress(t)
	discovery.PutServer("s-1", d.server, "a", "active")
	listener, err := emulator.NewFaultyListener(discovery.Handler("any"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	return d, discovery, listener
}

// startLimited starts one process of a fleet of 300. The limit on its file descriptors is in its configuration, and is
// also set in the kernel right after the process starts.
func (d *deployment) startLimited(discovery *emulator.FaultyListener, name, listen, mode string,
	descriptors uint64) *process {
	d.t.Helper()
	dir := filepath.Join(d.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	seed := fmt.Sprintf("%x", len(name)*1000+int(name[len(name)-1]))
	replaceFile(d.t, path, fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":%q,"limits":{"sockets":%d},
"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"a","lifecycle":"active"}]},
"settings":{"zone":"a","membership_mode":%q,"balancers":300,"rules":{"must_ask_in_s":10,"drain_grace_s":0.5},
"profiles":[{"name":"solo-play","aim_s":0.3,"give_up_s":2,"repeat":"idempotent"}]}}`,
		name, listen, discovery.Address(), seed, descriptors, d.server, mode))
	p := startProcess(d.t, reservedAddress(d.t), serveEnvironment+"=1", "PROXY_CONFIG="+path, "TMPDIR="+dir)
	limit := &unix.Rlimit{Cur: descriptors, Max: descriptors}
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		d.t.Fatal(err)
	}
	return p
}

func setOutage(t *testing.T, discovery *emulator.FaultyListener, outage emulator.Outage) {
	t.Helper()
	if err := discovery.SetOutage(outage); err != nil {
		t.Fatal(err)
	}
}

// Guards against balancers that notice the end of a discovery outage only at their next scheduled call, whose delay
// grows with each failed call. Twelve processes of a fleet of 300 watch discovery, which then resets all connections
// for 12 s. A change made in this time must reach each of them within maxListDelay of the end of the outage.
func TestListAfterDiscoveryOutage(t *testing.T) {
	t.Parallel()
	d, discovery, listener := newDeploymentWithFaultyDiscovery(t)
	var processes []*process
	for i := range 12 {
		processes = append(processes, d.startLimited(listener, fmt.Sprint("n", i), reservedAddress(t), "subscribe", 1024))
	}
	for _, p := range processes {
		p.waitReady()
		p.waitListed(1)
	}
	waitForCalls(t, listener, 12)
	setOutage(t, listener, emulator.ResetConnections)
	discovery.PutServer("s-2", "127.0.0.1:9", "a", "active")
	time.Sleep(12 * time.Second)
	setOutage(t, listener, emulator.NoOutage)
	delays := make([]time.Duration, len(processes))
	var waits sync.WaitGroup
	for i, p := range processes {
		waits.Go(func() { delays[i] = p.waitListed(2) })
	}
	waits.Wait()
	t.Logf("the change was listed after %v", delays)
	for i, delay := range delays {
		if delay > maxListDelay {
			t.Errorf("process %d listed the change %v after the outage, want at most %v", i, delay, maxListDelay)
		}
	}
}

// waitForCalls waits until discovery has received n calls. A process may delay its first call by up to 1 s. After a
// failed call it dials discovery until a connection is accepted, and only then calls again.
func waitForCalls(t *testing.T, discovery *emulator.FaultyListener, n uint64) {
	t.Helper()
	for end := time.Now().Add(testTimeout); discovery.Calls.Load() < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("discovery received %d calls, want %d", discovery.Calls.Load(), n)
		}
	}
}

// connectIdleClients keeps n clients connected until ctx ends. They send nothing or one PING, and reconnect after a
// disconnect.
func (d *deployment) connectIdleClients(ctx context.Context, n int) {
	var clients sync.WaitGroup
	d.t.Cleanup(clients.Wait)
	for i := range n {
		clients.Go(func() {
			for ctx.Err() == nil {
				d.holdConnection(ctx, i%2 == 0)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// holdConnection connects and waits until the connection or ctx ends.
func (d *deployment) holdConnection(ctx context.Context, ping bool) {
	conn, err := net.DialTimeout("tcp", d.listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if ping {
		io.WriteString(conn, "PING\r\n")
	}
	io.Copy(io.Discard, conn)
}

// Guards against idle clients that leave no file descriptor for anything else while discovery is down. The process
// must still dial discovery and serve the management address and one more client, usually on the client's first
// connection. After the outage, it must list the change within maxListDelay.
func TestIdleClientsDuringDiscoveryOutage(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"subscribe", "automatic"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			testIdleClientsDuringOutage(t, mode)
		})
	}
}

func testIdleClientsDuringOutage(t *testing.T, mode string) {
	const descriptors = 128
	d, discovery, listener := newDeploymentWithFaultyDiscovery(t)
	p := d.startLimited(listener, "n7", d.listen, mode, descriptors).waitReady()
	waitForCalls(t, listener, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	setOutage(t, listener, emulator.ResetConnections)
	discovery.PutServer("s-2", "127.0.0.1:9", "a", "leaving")
	d.connectIdleClients(ctx, 2*descriptors)
	maxOpen, checks, shutUnread := 0, 0, 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		maxOpen = max(maxOpen, p.openDescriptors())
		shutUnread += d.checkServed(p)
		checks++
	}
	t.Logf("%d connections were closed with their request unread in %d checks", shutUnread, checks)
	if shutUnread > checks/2 {
		t.Errorf("%d connections were closed with their request unread in %d checks, want at most one per two checks",
			shutUnread, checks)
	}
	dials := listener.Dials.Load()
	if dials < 5 {
		t.Errorf("discovery received only %d connections before the outage ended, want at least 5", dials)
	}
	setOutage(t, listener, emulator.NoOutage)
	delay := p.waitListed(2)
	t.Logf("at most %d of %d descriptors open, %d connections to discovery before the outage ended, listed after %v",
		maxOpen, descriptors, dials, delay)
	if delay > maxListDelay {
		t.Errorf("the change was listed %v after the outage, want at most %v", delay, maxListDelay)
	}
	if maxOpen < descriptors/2 {
		t.Errorf("at most %d of %d descriptors were open, want at least half", maxOpen, descriptors)
	}
	p.command.Process.Kill()
	p.command.Wait() // completes the log
	if strings.Contains(p.logs.String(), "too many open files") {
		t.Errorf("the process ran out of descriptors:\n%s", p.logs)
	}
}

// checkServed checks that the management address answers PING and that a new client is served. It returns how many
// connections of the client the process closed, without reading the request on them, before it served the client.
func (d *deployment) checkServed(p *process) (shutUnread int) {
	d.t.Helper()
	if response := p.call("PING"); response != "200 serving\r\n" {
		d.t.Errorf("response to PING at the management address: %q", response)
	}
	start := time.Now()
	client, shutUnread := d.openBesideIdleClients()
	d.exchange(client, "x", "x")
	client.Close()
	if waited := time.Since(start); waited > 3*time.Second {
		d.t.Errorf("the new client was served after %v, want at most 3s", waited)
	}
	return shutUnread
}

// openBesideIdleClients returns a client connection that is established with the room server, and how many earlier
// connections of the client the process closed without reading the request. It may do so while idle clients use up the
// descriptors, if the connection has sent nothing for minShedAge. Only in that case does the client repeat its request
// on a new connection. It retries for at most clientGiveUp and keeps the request's ID, so that a process that has
// admitted the request answers ERR. As in open, any other outcome fails the test.
func (d *deployment) openBesideIdleClients() (client testClient, shutUnread int) {
	d.t.Helper()
	request := d.openLine()
	for start := time.Now(); ; shutUnread++ {
		connectionStart := time.Now()
		client := d.dial()
		if _, err := io.WriteString(client, request+"\r\n"); err != nil {
			d.t.Fatal(err)
		}
		sent := time.Since(connectionStart)
		line, err := client.reader.ReadString('\n')
		if err == nil && line == "UP receipt\r\n" {
			return client, shutUnread
		}
		unread := line == "" && err == io.EOF && d.arrivedAfterClose(client)
		if !unread || sent < minShedAge || time.Since(start) > clientGiveUp {
			d.t.Fatalf("response to %q, sent within %v of the dial, after %d connections that were closed unread: %q, %v, "+
				"unread: %t, want UP receipt", request, sent, shutUnread, line, err, unread)
		}
		client.Close()
	}
}

// arrivedAfterClose reports whether the request on a connection that the process has closed arrived only after the
// close, so that the process cannot have read it. The state of the client's socket tells: such a request is answered
// with a RST. Any other request is acknowledged, at the latest by the FIN, whose ACK covers everything that arrived
// before the close. If neither is seen within clientGiveUp, the result is false.
func (d *deployment) arrivedAfterClose(client testClient) bool {
	d.t.Helper()
	const acknowledgedSYN = 1 // the kernel counts the SYN as one acknowledged byte
	raw, err := client.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		d.t.Fatal(err)
	}
	for end := time.Now().Add(clientGiveUp); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(fd uintptr) {
			info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		})
		if err := errors.Join(err, infoErr); err != nil {
			d.t.Fatal(err)
		}
		if info.Bytes_acked > acknowledgedSYN {
			return false
		}
		if info.State == unix.BPF_TCP_CLOSE {
			return true
		}
	}
	return false
}
