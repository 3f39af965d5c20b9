package platform

import (
	"testing"
	"time"
)

// maxTimeToServe is much shorter than the time in which 60 idle connections time out: 12 at a time, each after 2 s.
const maxTimeToServe = 6 * time.Second

// A connection that sends nothing, half a line, or one PING is closed within 3.6 s. A connection that continues to
// send health checks stays open.
func TestIdleConnectionsTimeOut(t *testing.T) {
	t.Parallel()
	b := newTestBalancer(t, newFakeServer(t, "s-1", serveEcho))
	silent, half, once, check := b.newClient(t), b.newClient(t), b.newClient(t), b.newClient(t)
	half.send("OPEN 9b1f03")
	once.send("PING\r\n")
	once.wantLine("PONG\r\n")
	for range 3 {
		check.send("PING\r\n")
		check.wantLine("PONG\r\n")
		time.Sleep(1200 * time.Millisecond)
	}
	for _, c := range []*testClient{silent, half, once} {
		c.conn.SetDeadline(time.Now().Add(time.Millisecond)) // The balancer must have closed it by now.
		c.wantEOF()
	}
	// A request line in pieces gets the full timeout, however long ago the connection was accepted.
	line := newRequestLine()
	check.send(line[:20])
	time.Sleep(100 * time.Millisecond)
	check.send(line[20:])
	check.wantLine("UP receipt-1\r\n")
}

// A client that opens hundreds of connections and sends nothing must not use up the descriptors for clients with
// requests. The connection that has been idle longest is shed, and dials still get a descriptor.
func TestIdleConnectionsAreShed(t *testing.T) {
	t.Parallel()
	budget := DescriptorBudget{Total: 16, DialReserve: 4}
	b := newTestBalancerWithBudget(t, budget, newFakeServer(t, "s-1", serveEcho))
	established := b.newClient(t)
	established.send(newRequestLine())
	established.wantLine("UP receipt-1\r\n")
	for range 60 {
		b.newClient(t)
	}
	start := time.Now()
	for range 4 {
		c := b.newClient(t)
		c.send(newRequestLine())
		c.wantLine("UP receipt-1\r\n")
	}
	if d := time.Since(start); d > maxTimeToServe {
		t.Errorf("served only after %v: the idle connections timed out instead of being shed", d)
	}
	established.send("x\r\n")
	established.wantLine("re x\r\n")
}
