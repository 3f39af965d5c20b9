package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testClient is a client's connection to a balancer.
type testClient struct {
	t    testing.TB
	conn *net.TCPConn
	r    *bufio.Reader
}

// dialClient dials a client. The caller closes its connection.
func dialClient(t testing.TB, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(waitTimeout)) // Without a deadline a test could hang.
	return &testClient{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// send writes a text to the balancer.
func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// wantLine reads a line and fails the test unless it equals text, which includes the line end.
func (c *testClient) wantLine(text string) {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil || line != text {
		c.t.Fatalf("read %q, %v, want %q", line, err, text)
	}
}

// wantEOF fails the test unless the balancer has closed its side without sending anything more.
func (c *testClient) wantEOF() {
	c.t.Helper()
	if line, err := c.r.ReadString('\n'); !errors.Is(err, io.EOF) || line != "" {
		c.t.Fatalf("read %q, %v, want EOF", line, err)
	}
}

// readLine reads a line and returns it without its CRLF.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v, want a line", line, err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// clientCloses are the ways in which a client can close its connection.
var clientCloses = map[string]func(*testClient){
	"fin":        closeWithFIN,
	"rst":        closeWithReset,
	"half close": func(c *testClient) { c.conn.CloseWrite() }, // The balancer closes the other direction.
}

// fullCloses are the ways of clientCloses that close both directions.
var fullCloses = map[string]func(*testClient){"fin": closeWithFIN, "rst": closeWithReset}

func closeWithFIN(c *testClient) { c.conn.Close() }

func closeWithReset(c *testClient) {
	c.conn.SetLinger(0)
	c.conn.Close()
}

// lastRequestID is the ID of the latest request.
var lastRequestID atomic.Uint64

// requestIDEnd is the length of "OPEN " and the ID. This beginning of a request line identifies the request.
const requestIDEnd = len("OPEN 0123456789abcdef")

// newRequestLine returns a request line with a new ID.
func newRequestLine() string {
	const format = "OPEN %016x 7f3a9c21e0b4d655 c=solo-play,t=familles,d=2000,g=5c0f6e1a\r\n"
	return fmt.Sprintf(format, lastRequestID.Add(1))
}

// newTCPPair returns the two ends of a TCP connection.
func newTCPPair(t *testing.T) (*net.TCPConn, *testClient) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := dialClient(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); client.conn.Close() })
	return conn.(*net.TCPConn), client
}
