package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The times of clients that rest on a new connection before they send their request. A balancer ends such a connection
// after 2 s.
const (
	restingRounds  = 6
	restingClients = 100 // in a round; with 1,100 descriptors clients may hold a third of them
	restUntilEnd   = 1998 * time.Millisecond
	restSpread     = 4 * time.Millisecond
	shortRest      = 1500 * time.Millisecond
)

// tcpCloseWait is the state of a connection in Linux whose other side has ended it regularly, without a reset. The side
// that ends a connection answers bytes that it has not read by a reset.
const tcpCloseWait = 8

// What became of a request on a resting connection.
const (
	gotAnswer    = "answered"
	closedRead   = "read, then closed with no answer"
	closedUnread = "closed unread"
	notAnswered  = "not answered in time"
)

// playResting plays clients that rest before their request. The disruption is that the request crosses the end of the
// resting connection.
func playResting(s *stage) (int, error) {
	d, err := newDeployment(s, armorSettings("rennes"), 4, "s-5be2a07c", "s-11d3907e", "s-c4f0a2b1", "s-90aa73d5")
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	rest := shortRest
	if s.trouble {
		rest = restUntilEnd
	}
	var mu sync.Mutex
	count := map[string]int{}
	for round := range restingRounds {
		var running sync.WaitGroup
		for n := range restingClients {
			running.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(round), uint64(n)))
				outcome := restThenOpen(s, d.balancer.listen, rest+restSpread*time.Duration(n)/restingClients, rng)
				mu.Lock()
				defer mu.Unlock()
				count[outcome]++
			})
		}
		running.Wait()
		time.Sleep(300 * time.Millisecond)
	}
	s.record.add("requests by what became of them: %v", count)
	if !d.balancer.alive() {
		return count[closedRead], errEnded
	}
	return count[closedRead] + count[notAnswered], nil
}

// restThenOpen connects, rests, sends a request and returns what became of it.
func restThenOpen(s *stage, address string, rest time.Duration, rng *rand.Rand) string {
	const giveUp = 1200 * time.Millisecond
	const latest = giveUp + 50*time.Millisecond + 500*time.Millisecond // later than this an answer counts as none
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	time.Sleep(rest)
	id := fmt.Sprintf("%016x", rng.Uint64())
	sent := time.Now()
	_, writeErr := fmt.Fprintf(conn, "OPEN %s %016x c=solo-play,t=familles,d=1200,g=%016x\r\n", id, rng.Uint64(),
		rng.Uint64N(16))
	conn.SetReadDeadline(sent.Add(latest))
	answer, err := bufio.NewReader(conn).ReadString('\n')
	took := time.Since(sent)
	outcome, state := gotAnswer, uint8(0)
	switch {
	case err == nil:
	case took >= latest:
		outcome = notAnswered
	default:
		time.Sleep(100 * time.Millisecond) // a reset would have come by then
		var unacknowledged uint32
		state, unacknowledged = tcpState(conn.(*net.TCPConn))
		outcome = closedUnread
		if writeErr == nil && state == tcpCloseWait && unacknowledged == 0 {
			outcome = closedRead
		}
	}
	s.record.add("request %s after %d us of rest: %s: %q, %v, after %d us; TCP state %d", id, rest.Microseconds(), outcome,
		answer, err, took.Microseconds(), state)
	return outcome
}

// tcpState returns the state of a connection, and how many segments that were sent are not acknowledged.
func tcpState(conn *net.TCPConn) (state uint8, unacknowledged uint32) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state, unacknowledged = info.State, info.Unacked
		}
	})
	return state, unacknowledged
}
