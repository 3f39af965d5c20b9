// Package emulator emulates the parties that a balancer talks to: room servers, discovery, and clients behind the
// platform's front layer. They run on loopback, inject the faults that the balancer has to handle, and record what
// they observe in an invariants.Recorder. Both tests and experiments use them.
package emulator

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/testbench/invariants"
)

const (
	// unlimitedCapacity replaces a RoomServerConfig.Capacity of 0.
	unlimitedCapacity = 1 << 20
	// sessionRetention is how long a room server retains a detached session.
	sessionRetention = time.Minute
	// maxSessions is the largest number of sessions that a room server retains, attached or not.
	maxSessions = 1 << 16
)

// RoomServerConfig describes a RoomServer.
type RoomServerConfig struct {
	// Name is the server's instance ID.
	Name string
	// Capacity is the number of established connections at which further requests are rejected; 0 if it is unlimited.
	Capacity int
	// ResumesSessions says that the server supports sessions that can be resumed.
	ResumesSessions bool
	// StateBytes is the size of a session's state in bytes. The state contains the session's position and has at least
	// its size, positionBytes.
	StateBytes int
	// LoadMicros is the load that the server reports for each established connection, in microseconds of work per
	// second; 0 if it reports none.
	LoadMicros int
	// Recorder receives what the server observes; it may be nil.
	Recorder *invariants.Recorder

	// SetupRate is the number of connections per second that the server can establish once it is warm. It matters only
	// during the warm-up: a server that is overloaded while it warms up collapses, that is, it crashes. A warm server
	// never collapses, and neither does one with a rate of 0.
	SetupRate float64
	// WarmupFraction is the fraction of SetupRate that the server has at its start. It rises to 1 during WarmupTime.
	WarmupFraction float64
	// WarmupTime is how long the server warms up after its start; 0 if it needs no warm-up.
	WarmupTime time.Duration
	// CollapseFactor is the multiple of the current setup rate above which a server that is warming up collapses.
	CollapseFactor float64
}

// Faults are the faults that a RoomServer injects. The zero value injects none.
type Faults struct {
	// StallExport ignores EXPORT.
	StallExport bool
	// TruncateExport closes the connection after half of an exported state.
	TruncateExport bool
	// StallCommit ignores COMMIT: it is neither executed nor answered.
	StallCommit bool
	// LoseCommit executes COMMIT and closes the connection without an answer.
	LoseCommit bool
	// BreakAtActivate closes the connection when GO arrives, without activating the session.
	BreakAtActivate bool
	// LoseSessions deletes all sessions, once, when InjectFaults is called.
	LoseSessions bool
	// FailRequests answers every first line with ERR.
	FailRequests bool
	// OverstateSize announces an exported state as one byte longer than it is, and closes the connection after it.
	OverstateSize bool
}

// RoomServer emulates a room server. It is safe for concurrent use.
type RoomServer struct {
	cfg      RoomServerConfig
	listener net.Listener
	started  time.Time
	faults   atomic.Pointer[Faults]
	// stalledCommits counts the commits that StallCommit ignored.
	stalledCommits atomic.Int64
	// goroutines are the goroutines that Stop waits for.
	goroutines sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// arbiter holds the sessions.
	arbiter *arbiter.Arbiter
	conns   map[arbiter.Conn]*roomConn
	lastID  arbiter.Conn
	// established counts the established connections.
	established int
	draining    bool
	stopped     bool
	// collapsed says that the server has crashed because it was overloaded while it warmed up.
	collapsed bool
	// recentSetups holds the times at which requests were admitted within the last second. It is used if SetupRate is
	// set.
	recentSetups []time.Time
	accepted     uint64
	probes       uint64
}

// Traffic is what a room server has received since its start.
type Traffic struct {
	// Accepted counts the accepted connections, including those of probes.
	Accepted uint64
	// Probes counts the probes.
	Probes uint64
	// Open is the number of connections that are open now, including those of probes.
	Open int
}

// NewRoomServer starts a room server on a free loopback port.
func NewRoomServer(cfg RoomServerConfig) (*RoomServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("room server %s: %w", cfg.Name, err)
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = unlimitedCapacity
	}
	s := &RoomServer{
		cfg:      cfg,
		listener: listener,
		started:  time.Now(),
		arbiter:  newArbiter(),
		conns:    map[arbiter.Conn]*roomConn{},
	}
	s.faults.Store(&Faults{})
	s.goroutines.Go(s.accept)
	return s, nil
}

func newArbiter() *arbiter.Arbiter {
	return arbiter.New(arbiter.Config{Retention: sessionRetention, Limit: maxSessions})
}

// Name returns the server's instance ID.
func (s *RoomServer) Name() string { return s.cfg.Name }

// Address returns the address at which the server accepts connections.
func (s *RoomServer) Address() string { return s.listener.Addr().String() }

// startedMillis returns when the server started, in milliseconds since 1970, as discovery reports it; 0 for a server
// that needs no warm-up.
func (s *RoomServer) startedMillis() int64 {
	if s.cfg.WarmupTime == 0 {
		return 0
	}
	return s.started.UnixMilli()
}

// InjectFaults replaces the server's faults.
func (s *RoomServer) InjectFaults(f Faults) {
	s.faults.Store(&f)
	if f.LoseSessions {
		s.mu.Lock()
		s.arbiter = newArbiter()
		s.mu.Unlock()
	}
}

// Sessions returns the number of copies of sessions' states that the server holds, and how many of them are attached.
func (s *RoomServer) Sessions() (kept, attached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arbiter.Sessions()
}

// Established returns the number of established connections.
func (s *RoomServer) Established() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established
}

// Traffic returns what the server has received so far.
func (s *RoomServer) Traffic() Traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Traffic{Accepted: s.accepted, Probes: s.probes, Open: len(s.conns)}
}

// StalledCommits returns the number of commits that Faults.StallCommit has ignored.
func (s *RoomServer) StalledCommits() int64 { return s.stalledCommits.Load() }

// Drain tells the clients of all established connections to move, closes the sending direction of these connections,
// and rejects new requests. Sessions can still be exported.
func (s *RoomServer) Drain() {
	s.mu.Lock()
	s.draining = true
	var established []*roomConn
	for _, c := range s.conns {
		if c.established {
			established = append(established, c)
		}
	}
	s.mu.Unlock()
	for _, c := range established {
		c.writeLine("MOVE")
		c.conn.CloseWrite()
	}
}

// EndDrain ends the drain: requests are admitted again.
func (s *RoomServer) EndDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
}

// Stop ends the server without a graceful shutdown, as a crash would.
func (s *RoomServer) Stop() {
	s.listener.Close()
	s.mu.Lock()
	s.stopped = true
	for _, c := range s.conns {
		c.conn.SetLinger(0)
		c.conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// accept accepts connections until the server is stopped.
func (s *RoomServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(conn.(*net.TCPConn))
	}
}

// serve starts handling a connection, or closes it if the server is stopped.
func (s *RoomServer) serve(conn *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		conn.Close()
		return
	}
	s.lastID++
	s.accepted++
	c := &roomConn{server: s, id: s.lastID, conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	s.conns[c.id] = c
	s.goroutines.Go(c.run)
}

// admit decides on a request. It reports whether the server has the capacity for the connection and is not draining,
// and whether the server has collapsed. The server collapses if this request overloads it while it warms up.
func (s *RoomServer) admit() (admitted, collapsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted = !s.draining && s.established < s.cfg.Capacity
	if s.collapsed || !admitted || !s.overloadedBySetup(time.Now()) {
		return admitted, s.collapsed
	}
	s.collapsed = true
	s.cfg.Recorder.Add(invariants.Event{Kind: invariants.ServerCollapsed, Server: s.cfg.Name})
	go s.Stop() // in a goroutine, because Stop waits for the connection's goroutine, which calls admit
	return admitted, true
}

// overloadedBySetup counts an admitted request and reports whether the request overloads the server while the server
// warms up. The caller holds mu.
func (s *RoomServer) overloadedBySetup(now time.Time) bool {
	if s.cfg.SetupRate == 0 {
		return false
	}
	for len(s.recentSetups) > 0 && now.Sub(s.recentSetups[0]) > time.Second {
		s.recentSetups = s.recentSetups[1:]
	}
	s.recentSetups = append(s.recentSetups, now)
	warmth := min(float64(now.Sub(s.started))/float64(s.cfg.WarmupTime), 1)
	rate := s.cfg.SetupRate * (s.cfg.WarmupFraction + (1-s.cfg.WarmupFraction)*warmth)
	return warmth < 1 && float64(len(s.recentSetups)) > rate*s.cfg.CollapseFactor
}

// closeDisplaced closes a connection that has lost its session to another connection. The id 0 means that there is no
// such connection. The caller holds mu.
func (s *RoomServer) closeDisplaced(id arbiter.Conn) {
	if c := s.conns[id]; c != nil {
		c.sessionDetached()
		c.conn.Close()
	}
}
