package hotrestart

import (
	"context"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"strings"
	"sync"
	"time"

	"cottonplank/internal/textline"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// socketMode is the file mode of the Unix socket: only processes of the same user may connect.
const socketMode = 0o600

// Replacements counts the replacement processes.
type Replacements struct {
	// Connected counts the running processes that have received the sockets.
	Connected int
	// Serving counts the connected processes that accept connections.
	Serving int
}

// Server passes the sockets of this process to replacement processes.
type Server struct {
	path    string
	sockets *Sockets
	log     *logrus.Logger
	changed func(Replacements)
	learned func() []string
	// links are offered to replacement processes.
	links []link
	// socketFile describes the Unix socket that this process has created at path; nil before that.
	socketFile os.FileInfo
	// connections waits for the goroutines that accept and serve connections. Serve returns only after them.
	connections sync.WaitGroup
}

// NewServer returns a server whose Unix socket is at path. The server calls changed from Serve's goroutine whenever a
// replacement process has connected, begun to serve or exited. It calls learned for the lines of learned state that a
// replacement process requests. learned may be called from several goroutines, and its lines must not be empty.
func NewServer(
	path string, sockets *Sockets, learned func() []string, changed func(Replacements), log *logrus.Logger,
) *Server {
	return &Server{path: path, sockets: sockets, learned: learned, changed: changed, log: log}
}

// replacementState is the state of a replacement process. It follows from the requests on its connection and from the
// connection's end.
type replacementState int

const (
	connected replacementState = iota
	serving
	exited
)

// replacementEvent reports a new state of a replacement process, which its connection identifies.
type replacementEvent struct {
	conn  *net.UnixConn
	state replacementState
}

// Serve passes the sockets to replacement processes until ctx ends. First it closes the inherited sockets that are not
// in use. A replacement process creates its own Unix socket at the same path, in place of that of this process. When a
// replacement process exits, Serve creates the Unix socket again, so that the next one can connect.
func (s *Server) Serve(ctx context.Context) {
	defer s.connections.Wait()
	s.sockets.closeInherited()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan replacementEvent)
	listener := s.listen(ctx, events)
	defer func() { closeListener(listener) }()
	replacements := map[*net.UnixConn]replacementState{}
	for {
		select {
		case <-ctx.Done():
			s.removeSocketFile()
			for conn := range replacements {
				conn.Close()
			}
			return
		case event := <-events:
			if event.state == exited {
				delete(replacements, event.conn)
				closeListener(listener)
				listener = s.listen(ctx, events)
			} else {
				replacements[event.conn] = event.state
			}
			s.report(replacements)
		}
	}
}

func closeListener(listener *net.UnixListener) {
	if listener != nil {
		listener.Close()
	}
}

// removeSocketFile removes the Unix socket at path if this process has created it.
func (s *Server) removeSocketFile() {
	current, err := os.Lstat(s.path)
	if err == nil && s.socketFile != nil && os.SameFile(current, s.socketFile) {
		os.Remove(s.path)
	}
}

// report logs the numbers of replacement processes and calls changed with them.
func (s *Server) report(replacements map[*net.UnixConn]replacementState) {
	count := Replacements{Connected: len(replacements)}
	for _, state := range replacements {
		if state == serving {
			count.Serving++
		}
	}
	fields := logrus.Fields{"connected": count.Connected, "serving": count.Serving}
	s.log.WithFields(fields).Info("hot restart: replacement processes")
	s.changed(count)
}

// listen opens the Unix socket and starts a goroutine that accepts connections from it. It returns nil if the socket
// cannot be opened.
func (s *Server) listen(ctx context.Context, events chan<- replacementEvent) *net.UnixListener {
	listener, err := s.openSocket()
	if err != nil {
		s.log.WithError(err).Error("hot restart: no replacement process can receive the sockets")
		return nil
	}
	s.connections.Go(func() {
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			s.connections.Go(func() { s.serveReplacement(ctx, conn, events) })
		}
	})
	return listener
}

// openSocket opens the Unix socket at a temporary path and renames it to the server's path. The rename replaces a Unix
// socket that exists already, such as that of a killed process.
func (s *Server) openSocket() (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", s.path, os.Getpid())
	os.Remove(temporary)
	var listener *net.UnixListener
	err := withShortPath(temporary, func(path string) (err error) {
		listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // when it is closed, path may already be the socket of a replacement process
	if err := s.installSocket(temporary); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// installSocket moves the Unix socket from its temporary path to the server's path.
func (s *Server) installSocket(temporary string) error {
	if err := os.Chmod(temporary, socketMode); err != nil {
		return err
	}
	var err error
	if s.socketFile, err = os.Lstat(temporary); err != nil {
		return err
	}
	return os.Rename(temporary, s.path)
}

// serveReplacement passes the sockets to a replacement process and then answers its requests until the connection or
// ctx ends.
func (s *Server) serveReplacement(ctx context.Context, conn *net.UnixConn, events chan<- replacementEvent) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	text := textproto.NewConn(conn)
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if request, err := textline.Read(text.R); err != nil || request != socketsRequest {
		s.log.WithError(err).Warnf("hot restart: unknown request %.40q", request)
		return
	}
	linkConns, err := s.passSockets(conn)
	if err != nil {
		s.log.WithError(err).Error("hot restart: the sockets were not passed on")
		return
	}
	for i, linkConn := range linkConns {
		s.links[i].accept(linkConn)
	}
	conn.SetDeadline(time.Time{})
	report := func(state replacementState) {
		select {
		case events <- replacementEvent{conn: conn, state: state}:
		case <-ctx.Done():
		}
	}
	report(connected)
	defer report(exited)
	for {
		line, err := textline.Read(text.R)
		if err != nil {
			return
		}
		switch line {
		case servingNotice:
			report(serving)
		case learnedRequest:
			conn.SetWriteDeadline(time.Now().Add(exchangeTimeout))
			if err := s.sendLearned(text); err != nil {
				return
			}
		}
	}
}

func (s *Server) sendLearned(text *textproto.Conn) error {
	for _, state := range s.learned() {
		if err := text.PrintfLine("%s%s", learnedPrefix, state); err != nil {
			return err
		}
	}
	return text.PrintfLine(endOfLearned)
}

// passSockets sends the names and descriptors of the open sockets, unless the replacement process belongs to another
// user. For each link that the server offers, it sends one end of a new link too, and returns the other end.
func (s *Server) passSockets(conn *net.UnixConn) ([]*net.UnixConn, error) {
	if err := checkPeerUser(conn); err != nil {
		return nil, err
	}
	ends, err := s.newLinkEnds()
	if err != nil {
		return nil, err
	}
	defer ends.closeOther()
	var names []string
	for _, link := range s.links {
		names = append(names, link.name)
	}
	if err := sendSockets(conn, s.sockets.open, names, ends.other); err != nil {
		ends.closeOwn()
		return nil, err
	}
	return ends.own, nil
}

// sendSockets appends the remaining sockets to names and descriptors, and then sends both. It calls itself within
// RawConn.Control, which keeps each descriptor open until all are sent. The duplicate that a socket's File method
// returns is not sent, because os.File.Fd sets it to blocking mode, which it shares with the original and with the
// descriptor in the replacement process.
func sendSockets(conn *net.UnixConn, remaining []socket, names []string, descriptors []int) error {
	if len(remaining) == 0 {
		line := socketsPrefix + " " + strings.Join(names, " ") + lineEnd
		_, _, err := conn.WriteMsgUnix([]byte(line), unix.UnixRights(descriptors...), nil)
		return err
	}
	next := remaining[0]
	var sendErr error
	if err := next.conn.Control(func(fd uintptr) {
		sendErr = sendSockets(conn, remaining[1:], append(names, next.name), append(descriptors, int(fd)))
	}); err != nil {
		return err
	}
	return sendErr
}
