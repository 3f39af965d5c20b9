package platform

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// serverHandler handles a connection of a fakeServer after the request line has been read from r.
type serverHandler func(conn net.Conn, r *bufio.Reader)

// fakeServer is a room server that reads the request line of each connection and leaves the rest to a serverHandler.
type fakeServer struct {
	name     string
	listener net.Listener
	// statsResponse returns the answer to a probe. If it is nil, probes are handled like requests.
	statsResponse func() string

	// mu guards the fields below.
	mu sync.Mutex
	// requestLines are the received request lines.
	requestLines []string
	// accepted is the number of accepted connections, with or without a request line.
	accepted int
	// open is the number of open connections that have sent their request line.
	open int
}

// newFakeServer starts a room server on a loopback port. It is stopped at the end of the test.
func newFakeServer(t *testing.T, name string, handler serverHandler) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{name: name, listener: listener}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			s.mu.Unlock()
			running.Go(func() { s.serve(conn, handler) })
		}
	})
	t.Cleanup(func() { listener.Close(); running.Wait() })
	return s
}

func (s *fakeServer) serve(conn net.Conn, handler serverHandler) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	for err == nil && s.statsResponse != nil && line == wordStats+lineEnd {
		io.WriteString(conn, s.statsResponse())
		line, err = r.ReadString('\n')
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	s.requestLines = append(s.requestLines, line)
	s.open++
	s.mu.Unlock()
	handler(conn, r)
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// receivedLines returns the request lines received so far.
func (s *fakeServer) receivedLines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requestLines...)
}

// openConns returns the number of open connections that have sent their request line.
func (s *fakeServer) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// endpoint returns the server's entry in the endpoint list.
func (s *fakeServer) endpoint() core.Endpoint {
	return core.Endpoint{
		Name:    s.name,
		Address: s.listener.Addr().String(),
		Server:  decide.Server{ID: core.ServerID(s.name), Zone: "a"},
	}
}

// upstream returns the server as the engine passes it in an attempt or a probe.
func (s *fakeServer) upstream() core.Upstream {
	endpoint := s.endpoint()
	return core.Upstream{ID: endpoint.ID, Name: endpoint.Name, Address: endpoint.Address}
}

// deltaWithState returns an update of the endpoint list that sets the server's state.
func (s *fakeServer) deltaWithState(state decide.State) core.EndpointUpdate {
	endpoint := s.endpoint()
	endpoint.State = state
	return core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{endpoint}}
}

// deltaInZone returns an update of the endpoint list that sets the server's zone.
func (s *fakeServer) deltaInZone(zone string) core.EndpointUpdate {
	endpoint := s.endpoint()
	endpoint.Zone = zone
	return core.EndpointUpdate{Kind: decide.ListDelta, Endpoints: []core.Endpoint{endpoint}}
}

// serveEcho accepts the request and answers each further line with "re " and that line.
func serveEcho(conn net.Conn, r *bufio.Reader) {
	io.WriteString(conn, "UP receipt-1\r\n")
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		io.WriteString(conn, "re "+line)
	}
}

// respond returns a handler that writes a text and closes the connection.
func respond(text string) serverHandler {
	return func(conn net.Conn, _ *bufio.Reader) { io.WriteString(conn, text) }
}

// neverRespond reads until the balancer closes the connection.
func neverRespond(_ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }

// newBacklogServer returns a room server that accepts no connections until countDials is called. Until then they stay
// in the listener's backlog.
func newBacklogServer(t *testing.T, name string) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &fakeServer{name: name, listener: listener}
}

// countDials accepts the connections in a backlog server's backlog and returns their number. own holds the test's own
// clients in the order of their dials. Their connections are not counted.
func (s *fakeServer) countDials(t *testing.T, own ...*testClient) (dials int) {
	t.Helper()
	last := dialClient(t, s.listener.Addr().String())
	defer last.conn.Close()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		from := conn.RemoteAddr().String()
		if from == last.conn.LocalAddr().String() {
			return dials
		}
		if len(own) > 0 && from == own[0].conn.LocalAddr().String() {
			own = own[1:]
			continue
		}
		dials++
	}
}

// serverName returns the name of the server with index i.
func serverName(i int) string { return "s-" + strconv.Itoa(i) }
