package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// restingClients connect together in each round. With 1,024 descriptors clients may hold 341.
	restingClients = 100
	restingRounds  = 5
	// restBefore and restSpread say when the clients send their requests after they have connected: spread evenly over
	// the moment in which the balancer ends a resting connection.
	restBefore = 1998 * time.Millisecond
	restSpread = 4 * time.Millisecond
	// shortRest replaces restBefore without the disruption.
	shortRest = 1500 * time.Millisecond
	// settleTime is how long after the end of its connection a client looks at what became of its bytes.
	settleTime = 100 * time.Millisecond
)

// Outcomes of a request on a resting connection that ended without an answer. The kernel of the client knows whether
// the balancer's process has read the request: bytes that arrive at a closed connection, and bytes that are unread when
// it is closed, are answered by a reset, which ends the client's side of the connection too. Bytes that were read are
// acknowledged, and the client's side stays open after the balancer's end (CLOSE-WAIT).
const (
	closedRead   = "read and closed with no answer"
	closedUnread = "closed unread"
)

// The states of a TCP connection in Linux that tell the two apart.
const tcpCloseWait = 8

// playResting lets clients rest on their connections before they send their requests. The disruption is that the
// requests cross the end of the resting connections. The rule is broken if a request is read and its connection closed
// with no answer, or if a request gets no answer until half a second after its time.
func playResting(folder string) bool {
	var entries []instance
	for _, name := range []string{"s-1", "s-2", "s-3", "s-4"} {
		entries = append(entries, newRoom(name).entry("active"))
	}
	d := newDiscovery(entries...)
	d.up()
	plan := deployment{mode: "subscribe", classes: []class{soloPlay, classRoom}, sockets: 1024, tries: 3,
		known: entries, discovery: d.address}
	listen := freeAddress()
	startBalancer(folder, "n1", listen, plan.config("n1", listen, freeAddress()))
	if !waitPong(listen, wordPong, 30*time.Second) {
		fatal("the balancer is not ready")
	}
	time.Sleep(1500 * time.Millisecond)
	rest := restBefore
	if !trouble {
		rest = shortRest
	}
	var mutex sync.Mutex
	count := map[string]int{}
	for range restingRounds {
		var running sync.WaitGroup
		for i := range restingClients {
			running.Go(func() {
				outcome := restThenOpen(listen, rest+restSpread*time.Duration(i)/restingClients)
				mutex.Lock()
				defer mutex.Unlock()
				count[outcome]++
			})
		}
		running.Wait()
		time.Sleep(300 * time.Millisecond)
	}
	say("outcomes of the requests on resting connections: %v", count)
	return count[closedRead]+count[unanswered] > 0
}

// restThenOpen connects, rests, sends a request and returns its outcome.
func restThenOpen(address string, rest time.Duration) string {
	c := dial(address)
	if c == nil {
		return unconnected
	}
	defer c.close()
	time.Sleep(rest)
	line := fmt.Sprintf("OPEN %s %s c=solo-play,d=1200\r\n", c.id, hexID())
	sent := time.Now()
	_, writeErr := c.conn.Write([]byte(line))
	_ = c.conn.SetReadDeadline(sent.Add(1200*time.Millisecond + answerSlack))
	answer, err := bufio.NewReader(c.conn).ReadString('\n')
	took := time.Since(sent)
	outcome := failed
	switch {
	case err == nil && strings.HasPrefix(answer, "UP "):
		outcome = served
	case err == nil && strings.HasPrefix(answer, "BUSY"):
		outcome = refused
	case err == nil:
	case took >= 1200*time.Millisecond+answerSlack:
		outcome = unanswered
	default:
		time.Sleep(settleTime)
		outcome = closedUnread
		state, unacknowledged, unsent := tcpState(c.conn)
		if writeErr == nil && state == tcpCloseWait && unacknowledged+unsent == 0 {
			outcome = closedRead
		}
		record("client %s: TCP state %d, %d segments unacknowledged, %d bytes unsent", c.id, state, unacknowledged, unsent)
	}
	record("client %s: %q after %d us of rest: %s (%q, %v) in %d us", c.id, line, rest.Microseconds(), outcome, answer,
		err, took.Microseconds())
	return outcome
}

// tcpState returns the state of a connection, and how much of what was written was not acknowledged and not sent yet.
func tcpState(conn net.Conn) (state uint8, unacknowledged, unsent uint32) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must(err)
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, unacknowledged, unsent = info.State, info.Unacked, info.Notsent_bytes
		}
	})
	return state, unacknowledged, unsent
}
