// Package emulator holds the parties of a run that are not balancers: room servers, discovery and clients, on loopback,
// scripted, and each with the faults that the program is there for. Tests and the lab share them. They tell a
// rules.Recorder what they see.
package emulator

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/testbench/invariants"
	"cottonplank/internal/textline"
)

// RoomServerConfig is what a Room is.
type RoomServerConfig struct {
	Name     string
	Capacity int  // connections that it can serve; past it new ones are turned away
	Keeps    bool // it knows the resumption
	State    int  // bytes of a session's state
	Load     int  // of a connection, in microseconds of work a second, told by LOAD; 0: it tells none
	Recorder *invariants.Recorder

	// A cold start: it sets up ColdShare of Setups connections a second at first, and all after ColdFor. Sent more than
	// FallMultiple of that for a second, it falls. Setups 0: it never does.
	Setups       float64
	ColdShare    float64
	ColdFor      time.Duration
	FallMultiple float64
}

// Faults are what a Room does wrong from now on. The zero value is none.
type Faults struct {
	StallExport bool // EXPORT is never answered
	HalfExport  bool // the connection breaks in the middle of the state
	StallCommit bool // COMMIT is never answered, and not done
	LoseCommit  bool // COMMIT is done, and its answer lost
	LoseGo      bool // the connection breaks at GO
	Forget      bool // it holds nothing any more
	Fail        bool // every first line is answered ERR
	SmallState  bool // it tells a state one byte longer than it sends, and ends
}

// RoomServer is a room server that keeps boards.
type RoomServer struct {
	cfg     RoomServerConfig
	l       net.Listener
	started time.Time
	faults  atomic.Pointer[Faults]
	all     sync.WaitGroup

	mu       sync.Mutex
	ledger   *arbiter.Arbiter
	conns    map[arbiter.Conn]*roomConn
	last     arbiter.Conn
	open     int // connections that stand
	draining bool
	stopped  bool
	setups   []time.Time // of the last second
	stalled  atomic.Int64
	fallen   bool // one too many came while it was cold
	accepted uint64
	probes   uint64
}

// Traffic is what a room server has seen so far, and how many connections are open now, probes' among them.
type Traffic struct {
	Accepted, Probes uint64
	Open             int
}

// Traffic counts it.
func (s *RoomServer) Traffic() Traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Traffic{s.accepted, s.probes, len(s.conns)}
}

// roomConn is one connection of a Room's.
type roomConn struct {
	room    *RoomServer
	id      arbiter.Conn
	conn    net.Conn
	r       *bufio.Reader
	request string // whose attempt is out here; empty: none
	stands  bool
	session *protocol.Open // of the first line that came last
	playing bool           // Attached was told of session
	epoch   uint64
	pos     uint64
	writes  sync.Mutex
}

// NewRoomServer starts a room server on a port of its own.
func NewRoomServer(cfg RoomServerConfig) (*RoomServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("room server %s: %w", cfg.Name, err)
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = 1 << 20
	}
	s := &RoomServer{cfg: cfg, l: l, started: time.Now(), conns: map[arbiter.Conn]*roomConn{}}
	s.ledger = newLedger()
	s.faults.Store(&Faults{})
	s.all.Go(s.accept)
	return s, nil
}

func newLedger() *arbiter.Arbiter {
	return arbiter.New(arbiter.Config{Retention: time.Minute, Limit: 1 << 16})
}

// Name is its instance id.
func (s *RoomServer) Name() string { return s.cfg.Name }

// Address is where balancers find it.
func (s *RoomServer) Address() string { return s.l.Addr().String() }

// startedMs is when it started, for discovery: 0, long ago, for one that has no cold start.
func (s *RoomServer) startedMs() int64 {
	if s.cfg.ColdFor == 0 {
		return 0
	}
	return s.started.UnixMilli()
}

// Misbehave sets its faults.
func (s *RoomServer) Misbehave(f Faults) {
	s.faults.Store(&f)
	if f.Forget {
		s.mu.Lock()
		s.ledger = newLedger()
		s.mu.Unlock()
	}
}

// Sessions counts what it holds, and how much of it is attached.
func (s *RoomServer) Sessions() (held, attached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Sessions()
}

// Open counts the connections that stand.
func (s *RoomServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Drain sends all clients away at once and takes no new ones; what it holds may be fetched.
func (s *RoomServer) Drain() {
	s.mu.Lock()
	s.draining = true
	var away []*roomConn
	for _, c := range s.conns {
		if c.stands {
			away = append(away, c)
		}
	}
	s.mu.Unlock()
	for _, c := range away {
		c.say("MOVE")
		c.conn.(*net.TCPConn).CloseWrite()
	}
}

// Return takes new clients again.
func (s *RoomServer) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
}

// StalledCommits is how many COMMITs have come and were not answered by StallCommit: what is to happen while one waits for
// its answer must not happen before it is there.
func (s *RoomServer) StalledCommits() int64 { return s.stalled.Load() }

// Stop ends it at once, as a crash does.
func (s *RoomServer) Stop() {
	s.l.Close()
	s.mu.Lock()
	s.stopped = true
	for _, c := range s.conns {
		c.conn.(*net.TCPConn).SetLinger(0)
		c.conn.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

func (s *RoomServer) accept() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.last++
		s.accepted++
		c := &roomConn{room: s, id: s.last, conn: conn, r: bufio.NewReaderSize(conn, 4096)}
		s.conns[c.id] = c
		s.all.Go(c.serve)
		s.mu.Unlock()
	}
}

func (c *roomConn) say(line string) bool {
	c.writes.Lock()
	defer c.writes.Unlock()
	_, err := io.WriteString(c.conn, line+"\r\n")
	return err == nil
}

func (c *roomConn) serve() {
	defer c.end()
	for {
		line, err := textline.Read(c.r)
		if err != nil || !c.hear(line) {
			return
		}
	}
}

// end notes that the connection is over.
func (c *roomConn) end() {
	c.conn.Close()
	s := c.room
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	if c.stands {
		s.open--
	}
	if c.session != nil {
		s.ledger.Disconnected(time.Now(), c.id, c.session.Ref.Session)
	}
	c.detached()
	c.attemptOver()
}

// attemptOver tells that the attempt is over, before what answers it is written.
func (c *roomConn) attemptOver() {
	if c.request != "" {
		c.room.cfg.Recorder.Add(invariants.Event{Kind: invariants.AttemptEnded, Request: c.request, Server: c.room.cfg.Name})
		c.request = ""
	}
}

func (c *roomConn) detached() {
	if c.playing {
		c.playing = false
		c.room.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionDetached, Session: c.session.Ref.Session.String(), Server: c.room.cfg.Name})
	}
}

// hear answers a line; false ends the connection.
func (c *roomConn) hear(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "PING":
		return c.say("PONG")
	case "STATS":
		s := c.room
		s.mu.Lock()
		s.probes++
		open := s.open
		s.mu.Unlock()
		return c.say(fmt.Sprintf("PONG qps=0,inflight=%d,x0=%.3f", open, float64(open)/float64(s.cfg.Capacity)))
	case "OPEN":
		return !c.stands && c.open(line)
	case "EXPORT":
		return c.room.cfg.Keeps && c.request == "" && c.export(line)
	case "COMMIT":
		return c.room.cfg.Keeps && c.request == "" && c.commit(line)
	case protocol.ActivateLine:
		return c.goes()
	case protocol.HaveLine:
		return c.stands && c.confirm()
	case "PLAY":
		return c.stands && c.play(rest)
	case "BYE":
		c.finish()
		return false
	}
	return c.stands && c.say("RE "+line)
}

// field is one field of a first line's list; the form was checked by the balancer.
func field(line, name string) string {
	list := line[strings.LastIndexByte(line, ' ')+1:]
	for pair := range strings.SplitSeq(list, ",") {
		if n, v, _ := strings.Cut(pair, "="); n == name {
			return v
		}
	}
	return ""
}

// open answers a first line.
func (c *roomConn) open(line string) bool {
	s := c.room
	parts := strings.Split(line, " ")
	if len(parts) != 4 {
		c.say("SYNTAX")
		return false
	}
	if c.request == "" {
		c.request = parts[1]
		s.cfg.Recorder.Add(invariants.Event{Kind: invariants.AttemptStarted, Request: c.request, Server: s.cfg.Name})
	}
	if s.faults.Load().Fail {
		c.attemptOver()
		c.say("ERR")
		return false
	}
	s.mu.Lock()
	full := s.draining || s.open >= s.cfg.Capacity
	lay := s.fallen
	s.fallen = lay || !full && s.setup(time.Now())
	fallen := s.fallen
	s.mu.Unlock()
	if fallen {
		if !lay { // it falls once, though more may have come before its listener is closed
			s.cfg.Recorder.Add(invariants.Event{Kind: invariants.ServerCollapsed, Server: s.cfg.Name})
			go s.Stop()
		}
		return false
	}
	if full {
		c.attemptOver()
		c.say("BUSY")
		return false
	}
	asked := field(line, protocol.FieldName)
	if !s.cfg.Keeps || asked == "" {
		return c.stand("")
	}
	o, err := protocol.ParseOpen(asked)
	if err != nil {
		c.attemptOver()
		c.say("SYNTAX")
		return false
	}
	return c.openSession(o)
}

func (c *roomConn) openSession(o protocol.Open) bool {
	s, now := c.room, time.Now()
	c.session = &o
	switch o.Mode {
	case protocol.ModeNew:
		s.mu.Lock()
		begun := s.ledger.Create(now, o.Ref, c.id)
		if begun {
			s.ledger.SaveState(c.id, o.Ref.Session, 0, c.state(0))
			c.attached(o.Ref.Epoch, 0)
		}
		s.mu.Unlock()
		if !begun {
			c.session = nil
			return c.stand("")
		}
		return c.stand(protocol.KeptLine(o.Ref.Epoch, 0))
	case protocol.ModeReattach:
		s.mu.Lock()
		a := s.ledger.Reattach(now, o.Ref, o.Next, o.ViaRedirect, c.id)
		s.cut(a.Displaced)
		if a.Verdict == arbiter.Granted {
			c.epoch, c.pos = a.Ref.Epoch, a.Position
		}
		s.mu.Unlock()
		if a.Verdict != arbiter.Granted {
			return c.say(protocol.AnswerLine(a)) // it may try another first line here
		}
		return c.say(protocol.HeldLine(a.Ref.Epoch, a.Position))
	}
	if !c.say(protocol.ReadyLine) {
		return false
	}
	state := make([]byte, o.Size)
	if _, err := io.ReadFull(c.r, state); err != nil {
		return false
	}
	s.mu.Lock()
	kept := s.ledger.Prepare(now, o.Ref, o.Position, state, c.id)
	c.epoch, c.pos = o.Ref.Epoch, o.Position
	s.mu.Unlock()
	if !kept {
		c.attemptOver()
		c.say("BUSY")
		return false
	}
	return c.say(protocol.HeldLine(o.Ref.Epoch, o.Position))
}

// goes attaches the session: the balancer lets it.
func (c *roomConn) goes() bool {
	s := c.room
	if c.session == nil || c.stands || s.faults.Load().LoseGo {
		return false
	}
	s.mu.Lock()
	ok := c.session.Mode == protocol.ModeReattach || s.ledger.Activate(time.Now(), c.id, c.session.Ref.Session)
	if ok {
		c.attached(c.epoch, c.pos)
	}
	s.mu.Unlock()
	return ok && c.stand(protocol.KeptLine(c.epoch, c.pos))
}

// attached notes that the client plays here. The room's lock is held, so that events come in the order of the ledger's.
func (c *roomConn) attached(epoch, position uint64) {
	c.epoch, c.pos, c.playing = epoch, position, true
	c.room.cfg.Recorder.Add(invariants.Event{Kind: invariants.SessionAttached, Session: c.session.Ref.Session.String(), Epoch: epoch,
		Server: c.room.cfg.Name})
}

func (c *roomConn) stand(kept string) bool {
	s := c.room
	s.mu.Lock()
	s.open++
	c.stands = true
	s.mu.Unlock()
	up := fmt.Sprintf("UP %s-%d", s.cfg.Name, c.id)
	if s.cfg.Load > 0 {
		kept = strings.TrimPrefix(kept+fmt.Sprintf("\r\nLOAD %d", s.cfg.Load), "\r\n")
	}
	if kept != "" {
		up += "\r\n" + kept
	}
	return c.say(up)
}

// cut closes a connection that lost its session. The room's lock is held.
func (s *RoomServer) cut(id arbiter.Conn) {
	if c := s.conns[id]; c != nil {
		c.detached()
		c.conn.Close()
	}
}

// setup counts a new connection; true: it is one too many for a cold room server. The room's lock is held.
func (s *RoomServer) setup(now time.Time) bool {
	if s.cfg.Setups == 0 {
		return false
	}
	for len(s.setups) > 0 && now.Sub(s.setups[0]) > time.Second {
		s.setups = s.setups[1:]
	}
	s.setups = append(s.setups, now)
	warm := min(float64(now.Sub(s.started))/float64(s.cfg.ColdFor), 1)
	can := s.cfg.Setups * (s.cfg.ColdShare + (1-s.cfg.ColdShare)*warm)
	return warm < 1 && float64(len(s.setups)) > can*s.cfg.FallMultiple
}

// state is the board as it travels: the position and what fills it up.
func (c *roomConn) state(position uint64) []byte {
	b := make([]byte, max(c.room.cfg.State, 8))
	binary.BigEndian.PutUint64(b, position)
	return b
}

func (c *roomConn) confirm() bool {
	s := c.room
	s.mu.Lock()
	if c.session != nil {
		s.ledger.ConfirmToken(c.id, c.session.Ref.Session)
	}
	pos := c.pos
	s.mu.Unlock()
	return c.say(protocol.PositionLine(pos))
}

// play makes a move of the game: moves come one after the other.
func (c *roomConn) play(text string) bool {
	n, err := strconv.ParseUint(text, 10, 64)
	s := c.room
	s.mu.Lock()
	ok := err == nil && n == c.pos+1
	if ok && c.session != nil {
		s.ledger.ConfirmToken(c.id, c.session.Ref.Session)
		if !s.ledger.SaveState(c.id, c.session.Ref.Session, n, c.state(n)) {
			s.mu.Unlock()
			return false // it lost the session: nothing may be acknowledged
		}
	}
	if ok {
		c.pos = n
	}
	pos := c.pos
	s.mu.Unlock()
	return c.say(protocol.PositionLine(pos))
}

func (c *roomConn) finish() {
	if c.session != nil {
		c.room.mu.Lock()
		c.room.ledger.End(time.Now(), c.id, c.session.Ref.Session)
		c.room.mu.Unlock()
	}
	c.say("BYE")
}

// export gives a state to a balancer.
func (c *roomConn) export(line string) bool {
	s, f := c.room, c.room.faults.Load()
	e, err := protocol.ParseExport(line)
	if err != nil {
		c.say("SYNTAX")
		return false
	}
	if f.StallExport {
		return true
	}
	c.session = &protocol.Open{Ref: e.Ref}
	now := time.Now()
	s.mu.Lock()
	a := s.ledger.Export(now, e.Ref, e.Claim, now.Add(e.ClaimFor), e.MaxState, e.ViaRedirect, c.id)
	s.cut(a.Displaced)
	s.mu.Unlock()
	answer := protocol.AnswerLine(a)
	state := a.State
	if a.Verdict != arbiter.Granted {
		return c.say(answer)
	}
	if f.HalfExport {
		state = state[:len(state)/2]
	}
	if f.SmallState {
		answer = fmt.Sprintf("STATE %d %d %d", a.Ref.Epoch, a.Position, len(state)+1)
	}
	if !c.say(answer) {
		return false
	}
	c.writes.Lock()
	_, err = c.conn.Write(state)
	c.writes.Unlock()
	return err == nil && !f.HalfExport && !f.SmallState
}

// commit lets a session go.
func (c *roomConn) commit(line string) bool {
	s, f := c.room, c.room.faults.Load()
	call, err := protocol.ParseCommit(line)
	if err != nil {
		c.say("SYNTAX")
		return false
	}
	if f.StallCommit {
		s.stalled.Add(1)
		return true
	}
	s.mu.Lock()
	done := s.ledger.Commit(time.Now(), call.Session, call.Claim, call.To)
	s.mu.Unlock()
	if f.LoseCommit {
		return false
	}
	if done {
		return c.say(protocol.CommitDone)
	}
	return c.say(protocol.CommitRefused)
}
