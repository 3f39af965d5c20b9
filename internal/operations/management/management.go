// Package management serves the management address, for operators and their tools. A connection carries one command and
// its response, of one line except for INFO. The server holds file descriptors of its own, so that neither clients nor
// management connections can take those of the other.
package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/textline"

	"github.com/sirupsen/logrus"
)

const (
	requestTimeout   = 2 * time.Second        // for a connection to send its request line
	engineTimeout    = 400 * time.Millisecond // for the engine to answer; a response is due within 1 s
	writeTimeout     = 500 * time.Millisecond // for a connection to take its response
	closeTimeout     = 500 * time.Millisecond // for a connection to be closed by its peer after the response
	acceptRetryDelay = 5 * time.Millisecond   // after an accept that failed
)

// Server answers commands.
type Server struct {
	engine       *core.Engine
	classes      []string // names of the request classes, by class index
	maxConns     int
	extraMetrics func() []Metric // nil if there are none
	log          *logrus.Logger
	running      sync.WaitGroup // the goroutines that Serve waits for
}

// New returns a server for an engine whose classes have the given names. It holds at most maxConns connections.
func New(engine *core.Engine, classes []string, maxConns int, log *logrus.Logger) *Server {
	return &Server{engine: engine, classes: classes, maxConns: maxConns, log: log}
}

// AddMetrics adds metrics to INFO; it has to be called before Serve.
func (s *Server) AddMetrics(metrics func() []Metric) { s.extraMetrics = metrics }

// Listen opens the management address.
func Listen(address string) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for management: %w", err)
	}
	return listener.(*net.TCPListener), nil
}

// Serve accepts connections until ctx ends, then closes them and waits for their goroutines. If there are too many, it
// closes the oldest one: a response takes no time, so that one has sent nothing, or half a request.
func (s *Server) Serve(ctx context.Context, listener *net.TCPListener) {
	defer s.running.Wait()
	defer listener.Close()
	accepted, ended := make(chan *net.TCPConn), make(chan *net.TCPConn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.running.Go(func() { s.accept(ctx, listener, accepted) })
	var conns []*net.TCPConn // oldest first
	for {
		select {
		case <-ctx.Done():
			for _, conn := range conns {
				conn.Close()
			}
			return
		case conn := <-accepted:
			if len(conns) >= s.maxConns {
				conns[0].Close()
				conns = conns[1:]
			}
			conns = append(conns, conn)
			s.running.Go(func() {
				s.serveConn(conn)
				select {
				case ended <- conn:
				case <-ctx.Done():
				}
			})
		case conn := <-ended:
			if i := slices.Index(conns, conn); i >= 0 {
				conns = slices.Delete(conns, i, i+1)
			}
		}
	}
}

// accept hands the connections of listener to Serve until ctx ends.
func (s *Server) accept(ctx context.Context, listener *net.TCPListener, accepted chan<- *net.TCPConn) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.WithError(err).Warn("management: accept failed")
			time.Sleep(acceptRetryDelay)
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

// serveConn reads one request and writes its response.
func (s *Server) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	text := textproto.NewConn(conn)
	request, err := textline.Read(text.R)
	if err != nil && !errors.Is(err, textline.ErrMissingCR) {
		request = "" // too long, truncated or missing: no command
	}
	conn.SetWriteDeadline(time.Now().Add(engineTimeout + writeTimeout))
	if err := text.PrintfLine("%s", s.respond(request)); err != nil || conn.CloseWrite() != nil {
		return
	}
	// Closing with unread bytes resets the connection, which could destroy the response.
	conn.SetReadDeadline(time.Now().Add(closeTimeout))
	io.Copy(io.Discard, conn)
}

// respond executes a request and returns its response. PING never waits for the engine.
func (s *Server) respond(request string) string {
	command, err := parseCommand(request)
	if err != nil {
		return statusError + err.Error()
	}
	switch command {
	case commandPing:
		if state := s.engine.ServiceState(); state != core.Serving {
			return statusError + state.String()
		}
		return statusOK + "serving"
	case commandInfo:
		return s.formatMetrics(s.engine.CurrentSnapshot(engineTimeout))
	case commandLameDuck:
		err = s.engine.EnterLameDuck(engineTimeout)
	case commandRejoin:
		err = s.engine.LeaveLameDuck(engineTimeout)
	}
	if err != nil {
		return statusError + err.Error()
	}
	return statusOK + s.engine.ServiceState().String()
}
