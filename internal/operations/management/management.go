// Package management serves the management address, which operators and their tools use. A connection carries one
// command and its response. All responses but that to INFO are one line. Management connections and client connections
// have separate limits, so neither can use up the file descriptors of the other.
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
	requestTimeout   = 2 * time.Second        // for the peer to send its request line; Query as a whole has the same limit
	engineTimeout    = 400 * time.Millisecond // for the engine to answer; the whole response must take less than 1 s
	writeTimeout     = 500 * time.Millisecond // for the response to be written, beyond engineTimeout
	closeTimeout     = 500 * time.Millisecond // for the peer to close the connection after the response
	acceptRetryDelay = 5 * time.Millisecond   // delay after a failed accept
)

// Server executes the commands that arrive at the management address and sends the responses.
type Server struct {
	engine       *core.Engine
	classes      []string // names of the request classes, by class index
	maxConns     int
	extraMetrics func() []Metric // nil if there are none
	log          *logrus.Logger
	running      sync.WaitGroup // goroutines that Serve waits for before it returns
}

// New returns a server for an engine. classes are the names of the request classes, by class index. The server keeps at
// most maxConns connections open.
func New(engine *core.Engine, classes []string, maxConns int, log *logrus.Logger) *Server {
	return &Server{engine: engine, classes: classes, maxConns: maxConns, log: log}
}

// AddMetrics adds the metrics that a function returns to the response to INFO. It must be called before Serve.
func (s *Server) AddMetrics(metrics func() []Metric) { s.extraMetrics = metrics }

// Listen opens the listener of the management address.
func Listen(address string) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for management: %w", err)
	}
	return listener.(*net.TCPListener), nil
}

// Serve accepts connections until ctx ends. Then it closes them and waits for their goroutines. If there are too many
// connections, it closes the oldest one. Complete requests are answered at once, so the peer of the oldest connection
// has most likely sent no complete request.
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

// accept accepts connections and passes them to Serve until ctx ends.
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
		request = "" // too long, incomplete or missing; respond rejects it as an unknown command
	}
	conn.SetWriteDeadline(time.Now().Add(engineTimeout + writeTimeout))
	if err := text.PrintfLine("%s", s.respond(request)); err != nil || conn.CloseWrite() != nil {
		return
	}
	// Closing a connection with unread bytes resets it, and the peer could lose the response.
	conn.SetReadDeadline(time.Now().Add(closeTimeout))
	io.Copy(io.Discard, conn)
}

// respond executes a request and returns the response. PING does not wait for the engine.
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
