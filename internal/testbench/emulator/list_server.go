package emulator

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ListServer emulates one replica of the discovery service, for thousands of watches. It serves an EndpointTable up
// to the version that AdvanceTo sets, so that replicas can differ. It is safe for concurrent use.
type ListServer struct {
	table    *EndpointTable
	calls    atomic.Uint64
	messages atomic.Uint64
	bytes    atomic.Uint64

	// mu guards the fields below.
	mu      sync.Mutex
	version int64
	// changed is closed when there is a new version, and replaced by a new channel.
	changed   chan struct{}
	endpoints []listEndpoint
	// servers are the running HTTP servers; empty while the ListServer is stopped.
	servers []*http.Server
}

// listEndpoint is an address at which a ListServer accepts calls.
type listEndpoint struct {
	address string
	// observe is called with the entries that are about to be sent; it may be nil.
	observe func([]Entry)
}

// ListTraffic is what a ListServer has received and sent since it was created.
type ListTraffic struct {
	// Calls counts the calls received.
	Calls uint64
	// Messages counts the snapshots, deltas and heartbeats that were written, including failed writes.
	Messages uint64
	// Bytes is the total size of these messages.
	Bytes uint64
}

// NewListServer returns a server that serves version 1 of a table. It has no address yet.
func NewListServer(table *EndpointTable) *ListServer {
	return &ListServer{table: table, version: 1, changed: make(chan struct{})}
}

// AdvanceTo makes the versions of the table up to the given one available. It ignores a version that is not newer
// than the current one.
func (s *ListServer) AdvanceTo(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.version {
		s.version = version
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Listen starts serving on a free loopback port. If observe is not nil, it is called with the entries of each message
// before the message is sent to a client of this port.
func (s *ListServer) Listen(observe func([]Entry)) (address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := listEndpoint{observe: observe}
	if endpoint.address, err = s.start(endpoint); err != nil {
		return "", err
	}
	s.endpoints = append(s.endpoints, endpoint)
	return endpoint.address, nil
}

// Address returns the current address that belongs to the n-th call of Listen, counted from 0.
func (s *ListServer) Address(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[n].address
}

// start starts the HTTP server of an endpoint and returns its address. The caller holds mu.
func (s *ListServer) start(endpoint listEndpoint) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("list server: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(listPattern, func(w http.ResponseWriter, req *http.Request) { s.serve(endpoint.observe, w, req) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go server.Serve(listener) // ends when Stop closes the server
	return listener.Addr().String(), nil
}

// Stop stops serving and ends all watches, as a crash would.
func (s *ListServer) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		server.Close()
	}
	s.servers = nil
}

// Start serves again after Stop. The addresses change, since other connections may use the old ports by then.
func (s *ListServer) Start() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, endpoint := range s.endpoints {
		if s.endpoints[i].address, err = s.start(endpoint); err != nil {
			return err
		}
	}
	return nil
}

// Traffic returns what was received and sent so far.
func (s *ListServer) Traffic() ListTraffic {
	return ListTraffic{Calls: s.calls.Load(), Messages: s.messages.Load(), Bytes: s.bytes.Load()}
}

// current returns the current version, and a channel that is closed when there is a new one.
func (s *ListServer) current() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.changed
}

// serve handles a call. It answers a poll with a snapshot. On a watch it sends all changes after the version in the
// query, until the client closes the connection or the server stops. A watch starts with a snapshot if its version is
// 0, absent, invalid or newer than the server's, and with an empty delta if its version is the server's.
func (s *ListServer) serve(observe func([]Entry), w http.ResponseWriter, req *http.Request) {
	s.calls.Add(1)
	call := &listCall{server: s, w: w, observe: observe}
	query := parseListQuery(req)
	version, changed := s.current()
	switch {
	case !query.watch || query.version <= 0 || query.version > version:
		query.version = version
		if !call.sendSnapshot(version) || !query.watch {
			return
		}
	case query.version == version:
		if !call.sendUnchanged(version) {
			return
		}
	}
	call.sendChanges(req, query.version, version, changed)
}

// listCall is one call to a ListServer.
type listCall struct {
	server  *ListServer
	w       http.ResponseWriter
	observe func([]Entry)
}

// write counts and writes a message, and reports whether the write succeeded.
func (c *listCall) write(message []byte) bool {
	c.server.messages.Add(1)
	c.server.bytes.Add(uint64(len(message)))
	_, err := c.w.Write(message)
	return err == nil
}

// sendSnapshot sends the snapshot of a version.
func (c *listCall) sendSnapshot(version int64) bool {
	message := c.server.table.Snapshot(version)
	if c.observe != nil {
		c.observe(c.server.table.Entries(version))
	}
	return c.write(message)
}

// sendUnchanged sends an empty delta, which confirms a watch whose client has the current version.
func (c *listCall) sendUnchanged(version int64) bool {
	return c.write(fmt.Appendf(nil, "{\"generation\":%d,\"reset\":false,\"instances\":[]}\n", version))
}

// sendChange sends the encoded change of an entry.
func (c *listCall) sendChange(message []byte, e Entry) bool {
	if c.observe != nil {
		c.observe([]Entry{e})
	}
	return c.write(message)
}

// sendChanges sends the changes after one version up to another, and all later ones until the call ends.
func (c *listCall) sendChanges(req *http.Request, from, to int64, changed <-chan struct{}) {
	flusher := c.w.(http.Flusher)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		messages, entries := c.server.table.changesBetween(from, to)
		for i, message := range messages {
			if !c.sendChange(message, entries[i]) {
				return
			}
		}
		from = to
		flusher.Flush()
		select {
		case <-changed:
			to, changed = c.server.current()
		case <-heartbeat.C:
			if !c.write([]byte(heartbeatLine)) {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}
