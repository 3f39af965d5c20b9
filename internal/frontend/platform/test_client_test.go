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

// testClient is a client of the platform.
type testClient struct {
	t    testing.TB
	conn *net.TCPConn
	r    *bufio.Reader
}

// dialClient dials a client, which its caller closes.
func dialClient(t testing.TB, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(waitTimeout)) // No test may hang.
	return &testClient{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// send writes a text.
func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// wantLine reads a line, which must be text with its line end.
func (c *testClient) wantLine(text string) {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil || line != text {
		c.t.Fatalf("read %q, %v, want %q", line, err, text)
	}
}

// wantEOF wants the balancer to have closed its side without another byte.
func (c *testClient) wantEOF() {
	c.t.Helper()
	if line, err := c.r.ReadString('\n'); !errors.Is(err, io.EOF) || line != "" {
		c.t.Fatalf("read %q, %v, want the end", line, err)
	}
}

// readLine reads a line and returns it without its CRLF.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("read %q, %v", line, err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// clientCloses are the ways in which a client can give up.
var clientCloses = map[string]func(*testClient){
	"fin":        closeWithFIN,
	"rst":        closeWithReset,
	"half close": func(c *testClient) { c.conn.CloseWrite() }, // It waits for the balancer to close.
}

// fullCloses are those of clientCloses that close both directions.
var fullCloses = map[string]func(*testClient){"fin": closeWithFIN, "rst": closeWithReset}

func closeWithFIN(c *testClient) { c.conn.Close() }

func closeWithReset(c *testClient) {
	c.conn.SetLinger(0)
	c.conn.Close()
}

// lastRequestID is the id of the latest request.
var lastRequestID atomic.Uint64

// requestIDEnd is the length of "OPEN " and the id, by which a request line is recognized.
const requestIDEnd = len("OPEN 0123456789abcdef")

// newRequestLine returns a request line with a new id.
func newRequestLine() string {
	const format = "OPEN %016x 7f3a9c21e0b4d655 c=solo-play,t=familles,d=2000,g=5c0f6e1a\r\n"
	return fmt.Sprintf(format, lastRequestID.Add(1))
}

// newTCPPair returns the two ends of a connection.
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
