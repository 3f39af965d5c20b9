package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"cottonplank/internal/session/arbiter"
	"cottonplank/internal/session/protocol"
	"cottonplank/internal/testbench/invariants"
	"cottonplank/internal/textline"
)

// firstLineFields is the number of space-separated fields of a first line: OPEN, the request ID, the client's key and
// a list of name=value pairs.
const firstLineFields = 4

// Final answers of a room server that do not establish a connection.
const (
	answerBusy   = "BUSY"
	answerError  = "ERR"
	answerSyntax = "SYNTAX"
)

// roomConn is one connection of a RoomServer. Its goroutine owns the fields unless their comments say otherwise.
type roomConn struct {
	server *RoomServer
	id     arbiter.Conn
	conn   *net.TCPConn
	reader *bufio.Reader
	// request is the ID of the request whose attempt is active on this connection; empty if there is no attempt.
	request string
	// established says that the connection is established: the request was answered UP. The connection's goroutine sets
	// it with the server's mu held, and other goroutines read it with mu held.
	established bool
	// session holds the session parameters of the latest first line that has any, or of the latest EXPORT; nil if there
	// is no session. While playing is set, it does not change, and other goroutines also read it with the server's mu
	// held.
	session *protocol.Open
	// playing says that the attachment of session was recorded, and its detachment not yet. The server's mu guards it.
	playing bool
	// epoch is the epoch of the copy of the session's state in this server.
	epoch uint64
	// position is the number of the session's last move.
	position uint64
	// writes is held during each write, so that messages of different goroutines are not interleaved.
	writes sync.Mutex
}

// run handles lines until the connection ends.
func (c *roomConn) run() {
	defer c.close()
	for {
		line, err := textline.Read(c.reader)
		if err != nil || !c.handle(line) {
			return
		}
	}
}

// close closes the connection and records that its session is detached and its attempt has ended.
func (c *roomConn) close() {
	c.conn.Close()
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	if c.established {
		s.established--
	}
	if c.session != nil {
		s.arbiter.Disconnected(time.Now(), c.id, c.session.Ref.Session)
	}
	c.sessionDetached()
	c.attemptEnded()
}

// writeLine writes a line and reports whether the write succeeded.
func (c *roomConn) writeLine(line string) bool {
	c.writes.Lock()
	defer c.writes.Unlock()
	_, err := io.WriteString(c.conn, line+"\r\n")
	return err == nil
}

// handle handles a line. It reports false if the connection has to be closed.
func (c *roomConn) handle(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "PING":
		return c.writeLine("PONG")
	case "STATS":
		return c.answerProbe()
	case "OPEN":
		return !c.established && c.open(line)
	case "EXPORT":
		return c.server.cfg.ResumesSessions && c.request == "" && c.exportSession(line)
	case "COMMIT":
		return c.server.cfg.ResumesSessions && c.request == "" && c.commitExport(line)
	case protocol.ActivateLine:
		return c.activateSession()
	case protocol.TokenReceivedLine:
		return c.established && c.confirmToken()
	case "PLAY":
		return c.established && c.play(rest)
	case endOfGame:
		c.endSession()
		return false
	}
	return c.established && c.writeLine("RE "+line)
}

// answerProbe answers a probe with a load report.
func (c *roomConn) answerProbe() bool {
	s := c.server
	s.mu.Lock()
	s.probes++
	established := s.established
	s.mu.Unlock()
	utilization := float64(established) / float64(s.cfg.Capacity)
	return c.writeLine(fmt.Sprintf("PONG qps=0,inflight=%d,x0=%.3f", established, utilization))
}

// firstLineField returns a value from the name=value list of a first line; empty if the list does not have the name.
// It does not validate the line, as the balancer has done so.
func firstLineField(line, name string) string {
	list := line[strings.LastIndexByte(line, ' ')+1:]
	for pair := range strings.SplitSeq(list, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}

// open handles a first line. A further first line on a connection with an active attempt belongs to the same attempt.
func (c *roomConn) open(line string) bool {
	s := c.server
	fields := strings.Split(line, " ")
	if len(fields) != firstLineFields {
		c.writeLine(answerSyntax)
		return false
	}
	if c.request == "" {
		c.request = fields[1]
		s.cfg.Recorder.Add(invariants.Event{Kind: invariants.AttemptStarted, Request: c.request, Server: s.cfg.Name})
	}
	if s.faults.Load().FailRequests {
		return c.endAttempt(answerError)
	}
	admitted, collapsed := s.admit()
	if collapsed {
		return false
	}
	if !admitted {
		return c.endAttempt(answerBusy)
	}
	text := firstLineField(line, protocol.FieldName)
	if !s.cfg.ResumesSessions || text == "" {
		return c.establish("")
	}
	session, err := protocol.ParseOpen(text)
	if err != nil {
		return c.endAttempt(answerSyntax)
	}
	return c.openSession(session)
}

// establish answers UP, followed by the session line if it is not empty, and by the load if one is configured.
func (c *roomConn) establish(sessionLine string) bool {
	s := c.server
	s.mu.Lock()
	s.established++
	c.established = true
	s.mu.Unlock()
	answer := fmt.Sprintf("UP %s-%d", s.cfg.Name, c.id)
	if sessionLine != "" {
		answer += "\r\n" + sessionLine
	}
	if s.cfg.LoadMicros > 0 {
		answer += fmt.Sprintf("\r\nLOAD %d", s.cfg.LoadMicros)
	}
	return c.writeLine(answer)
}

// endAttempt ends an attempt without establishing the connection, and writes the final answer. It always returns
// false, since the connection has to be closed.
func (c *roomConn) endAttempt(answer string) bool {
	c.attemptEnded()
	c.writeLine(answer)
	return false
}

// attemptEnded records the end of the attempt, if there is one. It has to be called before the final answer is
// written, because the balancer may start the next attempt as soon as it has read the answer.
func (c *roomConn) attemptEnded() {
	if c.request == "" {
		return
	}
	server := c.server.cfg.Name
	c.server.cfg.Recorder.Add(invariants.Event{Kind: invariants.AttemptEnded, Request: c.request, Server: server})
	c.request = ""
}
