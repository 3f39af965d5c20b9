package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"strings"
	"time"

	"cottonplank/internal/textline"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// PreviousProcess is the running process from which this process has received its sockets.
type PreviousProcess struct {
	// Learned holds the previous process's learned state of the room servers, as lines that this package does not
	// interpret.
	Learned []string
	// Exited is closed when the connection to the previous process ends. That process has then exited, or is about to
	// exit at the end of its graceful shutdown. It goes on only if it closed the connection because it could not send its
	// learned state in time.
	Exited chan struct{}

	conn *net.UnixConn
}

// ReceiveSockets requests the sockets of the process that listens at path. If no process listens there, or if the
// process does not pass its sockets on, the returned PreviousProcess is nil and the caller has to open the sockets
// itself. A process that does not respond delays the result by up to exchangeTimeout for each exchange.
func ReceiveSockets(path string, log *logrus.Logger) (*Sockets, *PreviousProcess) {
	sockets := &Sockets{inherited: map[string]*os.File{}}
	conn, err := dialPrevious(path)
	if err != nil {
		// The Unix socket of a killed process is still at path and refuses connections; Server.Serve replaces it.
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, unix.ECONNREFUSED) {
			log.WithError(err).Warn("hot restart: cannot connect to the previous process")
		}
		return sockets, nil
	}
	if err := sockets.receive(conn); err != nil {
		conn.Close()
		sockets.closeInherited()
		log.WithError(err).Warn("hot restart: the previous process does not pass its sockets on")
		return sockets, nil
	}
	previous := &PreviousProcess{conn: conn, Exited: make(chan struct{})}
	if previous.Learned, err = requestLearned(conn); err != nil {
		log.WithError(err).Warn("hot restart: no learned state from the previous process, starting without it")
	}
	go previous.watch() // ends when the connection ends
	return sockets, previous
}

func dialPrevious(path string) (*net.UnixConn, error) {
	var conn net.Conn
	err := withShortPath(path, func(path string) (err error) {
		conn, err = net.DialTimeout("unix", path, exchangeTimeout)
		return err
	})
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// receive requests the sockets and stores them. The answer is one line with the names of the sockets. Its first byte
// carries the descriptors as ancillary data.
func (s *Sockets) receive(conn *net.UnixConn) error {
	if err := checkPeerUser(conn); err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := conn.Write([]byte(socketsRequest + lineEnd)); err != nil {
		return err
	}
	names, files, err := readSockets(conn)
	if err != nil {
		return err
	}
	for i, name := range names {
		s.inherited[name] = files[i]
	}
	return conn.SetDeadline(time.Time{})
}

// readSockets reads the names of the sockets and one descriptor for each of them.
func readSockets(conn *net.UnixConn) ([]string, []*os.File, error) {
	line, ancillary := make([]byte, messageBufferSize), make([]byte, unix.CmsgSpace(4*maxSockets))
	lineLength, ancillaryLength, _, _, err := conn.ReadMsgUnix(line, ancillary)
	if err != nil {
		return nil, nil, err
	}
	files, err := parseDescriptors(ancillary[:ancillaryLength])
	if err != nil {
		return nil, nil, err
	}
	names, err := parseSocketNames(string(line[:lineLength]))
	if err == nil && len(names) != len(files) {
		err = fmt.Errorf("%w: %d and %d", ErrDescriptorCount, len(names), len(files))
	}
	if err != nil {
		for _, file := range files {
			file.Close()
		}
		return nil, nil, err
	}
	return names, files, nil
}

// requestLearned requests the learned state of the previous process.
func requestLearned(conn *net.UnixConn) ([]string, error) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	defer conn.SetDeadline(time.Time{})
	text := textproto.NewConn(conn)
	if err := text.PrintfLine(learnedRequest); err != nil {
		return nil, err
	}
	var learned []string
	for len(learned) <= maxLearnedLines {
		line, err := textline.Read(text.R)
		if err != nil {
			return nil, err
		}
		if line == endOfLearned {
			return learned, nil
		}
		state, ok := strings.CutPrefix(line, learnedPrefix)
		if !ok {
			return nil, fmt.Errorf("%w: expected learned state, found %.40q", ErrMalformedLine, line)
		}
		learned = append(learned, state)
	}
	return nil, ErrTooManyLines
}

// watch closes Exited when the connection ends. Until then it discards all data from the previous process.
func (p *PreviousProcess) watch() {
	defer close(p.Exited)
	defer p.conn.Close()
	for buf := make([]byte, 64); ; {
		if _, err := p.conn.Read(buf); err != nil {
			return
		}
	}
}

// NotifyServing notifies the previous process that this process accepts connections.
func (p *PreviousProcess) NotifyServing() {
	p.conn.SetWriteDeadline(time.Now().Add(exchangeTimeout))
	_, _ = p.conn.Write([]byte(servingNotice + lineEnd)) // on an error the previous process has most likely exited
}
