package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func hexID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// answerSlack is how long after its time a request's answer is late but not lost: half a second, and the 50 ms that
// every time limit on sockets is longer.
const answerSlack = 550 * time.Millisecond

// lateLimit is how long after its time a client still records an answer.
const lateLimit = 6 * time.Second

// client is a stand-in for one connection of a client.
type client struct {
	id     string
	conn   net.Conn
	reader *bufio.Reader
	sentAt time.Time
	limit  time.Duration
	// answer is the first line that came, or empty.
	answer string
	// outcome is one of the outcomes below.
	outcome string
	took    time.Duration
	once    sync.Once
}

// Outcomes of a client's request.
const (
	served       = "served"
	refused      = "refused"
	failed       = "failed"
	unconnected  = "could not connect"
	closedUnsaid = "closed with no answer"
	answeredLate = "answered too late"
	unanswered   = "never answered"
)

// dial connects to a balancer. The result is nil if the connection is refused.
func dial(address string) *client {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil
	}
	return &client{id: hexID(), conn: conn, reader: bufio.NewReader(conn)}
}

// open sends a request and waits for its answer, up to lateLimit longer than the client is willing to wait.
func (c *client) open(className string, wait time.Duration) string {
	c.limit = wait
	c.sentAt = time.Now()
	record("client %s: sends its request, d=%d", c.id, wait.Milliseconds())
	fmt.Fprintf(c.conn, "OPEN %s %s c=%s,d=%d\r\n", c.id, hexID(), className, wait.Milliseconds())
	_ = c.conn.SetReadDeadline(c.sentAt.Add(c.limit + lateLimit))
	line, err := c.reader.ReadString('\n')
	c.took = time.Since(c.sentAt)
	_ = c.conn.SetReadDeadline(time.Time{})
	c.answer = strings.TrimSpace(line)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.outcome = unanswered
	case err != nil:
		c.outcome = closedUnsaid
	case c.took > c.limit+answerSlack:
		c.outcome = answeredLate
	case strings.HasPrefix(line, "UP "):
		c.outcome = served
	case strings.HasPrefix(line, "BUSY"):
		c.outcome = refused
	default:
		c.outcome = failed
	}
	record("client %s: %s (%q) after %d ms", c.id, c.outcome, c.answer, c.took.Milliseconds())
	return c.outcome
}

func (c *client) close() { c.once.Do(func() { _ = c.conn.Close() }) }
