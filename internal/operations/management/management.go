// Package management is the second address, for the staff and their tools: one call a connection, one line each way,
// INFO apart. It is thin: it reads the call and writes what the core says. It holds descriptors of its own, so that
// neither the clients nor its callers can take the other's.
package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
	"sync"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/session/migration"
	"cottonplank/internal/textline"

	"github.com/sirupsen/logrus"
)

const (
	callWait    = 2 * time.Second        // a caller that has not sent its line is put out after this
	askWait     = 400 * time.Millisecond // how long the core may take; an answer is due within 1 s
	writeWait   = 500 * time.Millisecond // a caller that does not take its answer is put out after this
	closeWait   = 500 * time.Millisecond // so is one that does not close after it
	acceptPause = 5 * time.Millisecond   // after an accept that failed
)

// call is what a caller asks for.
type call string

const (
	callPing     call = "PING"
	callInfo     call = "INFO"
	callLameDuck call = "LAMEDUCK"
	callRejoin   call = "REJOIN"
)

// parseCall reads a line without its end; there are no arguments and no other spellings.
func parseCall(text string) (call, error) {
	switch c := call(text); c {
	case callPing, callInfo, callLameDuck, callRejoin:
		return c, nil
	}
	return "", errors.New("expected PING, INFO, LAMEDUCK or REJOIN")
}

// Server answers calls.
type Server struct {
	module  *core.Engine
	classes []string
	most    int
	more    func() []Metric // nil: there are no more
	log     *logrus.Logger
	actors  sync.WaitGroup
}

// Metric is one line of INFO beside the module's own.
type Metric struct {
	Name  string
	Value uint64
}

// AddMetrics adds figures to INFO; it is called before Serve.
func (s *Server) AddMetrics(more func() []Metric) { s.more = more }

// New returns a server for a module whose classes have these names; it holds most callers at once.
func New(module *core.Engine, classes []string, most int, log *logrus.Logger) *Server {
	return &Server{module: module, classes: classes, most: most, log: log}
}

// Listen opens the management address.
func Listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for management: %w", err)
	}
	return l.(*net.TCPListener), nil
}

// Serve answers until ctx ends, then waits for the callers' actors. It owns the table of callers: where there are too
// many, the one that came first is put out. An answer takes no time, so that one has sent nothing, or half a call.
func (s *Server) Serve(ctx context.Context, l *net.TCPListener) {
	defer s.actors.Wait()
	defer l.Close()
	accepted, ended := make(chan *net.TCPConn), make(chan *net.TCPConn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.actors.Go(func() { s.accept(ctx, l, accepted) })
	var callers []*net.TCPConn // in the order in which they came
	for {
		select {
		case <-ctx.Done():
			for _, conn := range callers {
				conn.Close()
			}
			return
		case conn := <-accepted:
			if len(callers) >= s.most {
				callers[0].Close()
				callers = callers[1:]
			}
			callers = append(callers, conn)
			s.actors.Go(func() {
				s.serve(conn)
				select {
				case ended <- conn:
				case <-ctx.Done():
				}
			})
		case conn := <-ended:
			for i, c := range callers {
				if c == conn {
					callers = append(callers[:i], callers[i+1:]...)
					break
				}
			}
		}
	}
}

func (s *Server) accept(ctx context.Context, l *net.TCPListener, accepted chan<- *net.TCPConn) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.WithError(err).Warn("management: accept failed")
			time.Sleep(acceptPause)
			continue
		}
		select {
		case accepted <- conn:
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

// serve is a caller's actor: one line, one answer.
func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(callWait)) // guards against callers that send nothing, or half a call
	text := textproto.NewConn(conn)
	read, err := textline.Read(text.R)
	if err != nil && !errors.Is(err, textline.ErrBare) {
		read = "" // too long, cut off or not sent: no call
	}
	conn.SetWriteDeadline(time.Now().Add(askWait + writeWait))
	if err := text.PrintfLine("%s", s.answer(read)); err != nil || conn.CloseWrite() != nil {
		return
	}
	// A close over unread bytes is a reset, which could destroy the answer.
	conn.SetReadDeadline(time.Now().Add(closeWait))
	io.Copy(io.Discard, conn)
}

// answer carries a call out. PING never waits for the core.
func (s *Server) answer(text string) string {
	c, err := parseCall(text)
	if err != nil {
		return "400 " + err.Error()
	}
	switch c {
	case callPing:
		if state := s.module.ServiceState(); state != core.Serving {
			return "400 " + state.String()
		}
		return "200 serving"
	case callInfo:
		return s.info(s.module.CurrentSnapshot(askWait))
	case callLameDuck:
		err = s.module.EnterLameDuck(askWait)
	case callRejoin:
		err = s.module.LeaveLameDuck(askWait)
	}
	if err != nil {
		return "400 " + err.Error()
	}
	return "200 " + s.module.ServiceState().String()
}

// info tells the figures of a snapshot.
func (s *Server) info(snapshot *core.Snapshot) string {
	var b strings.Builder
	b.WriteString("200 figures\r\n")
	for i, name := range s.classes {
		c := snapshot.Classes[i]
		fmt.Fprintf(&b, "svc.fulfilled.%s=%d\r\nsvc.throttled.%[1]s=%[3]d\r\nsvc.faulted.%[1]s=%[4]d\r\nsvc.relayed.%[1]s=%[5]d\r\n",
			name, c.Served, c.Rejected, c.Failed, c.Attempts)
	}
	if snapshot.Generation > 0 {
		fmt.Fprintf(&b, "svc.generation=%d\r\n", snapshot.Generation)
	}
	if snapshot.SessionsEnabled {
		fmt.Fprintf(&b, "svc.tokens_given=%d\r\nsvc.tokens_unsealed=%d\r\nsvc.resumed=%d\r\n", snapshot.TokensIssued, snapshot.TokensUnsealed,
			snapshot.Resumed)
		for r := range migration.NumReasons {
			name := "started_over"
			if r.IsTokenError() {
				name = "token_refused"
			}
			fmt.Fprintf(&b, "svc.%s.%s=%d\r\n", name, r, snapshot.StartedOver[core.Reason(r.String())])
		}
	}
	if s.more != nil {
		for _, f := range s.more() {
			fmt.Fprintf(&b, "svc.%s=%d\r\n", f.Name, f.Value)
		}
	}
	fmt.Fprintf(&b, "svc.open_requests=%d\r\nsvc.registry_entries=%d\r\nsvc.out_of_rotation=%d\r\nEOF",
		snapshot.Waiting+snapshot.Established, snapshot.Listed, snapshot.Ejected)
	return b.String()
}
