package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"cottonplank/internal/textline"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	takeWait   = time.Second // a running process that has not answered by then does not
	maxSockets = 8           // that one message may bring
	maxLearned = 4096        // lines of what was learned
	longest    = 107         // bytes of a Unix socket's path
)

// The lines of the connection between the two processes.
const (
	takeLine    = "TAKE 1"  // from the new one: asks for the sockets
	socketsWord = "SOCKETS" // from the old one: their names, with the descriptors
	learnedLine = "LEARNED" // from the new one: asks for what the old one has learned,
	learnedWord = "L "      // a line each,
	endLine     = "END"     // up to this
	servingLine = "SERVING" // from the new one: it accepts
)

// SocketPath names the Unix socket of the process that listens at an address.
func SocketPath(dir, listen string) string {
	return filepath.Join(dir, "cottonplank-"+strings.NewReplacer("/", "_").Replace(listen)+".sock")
}

// within calls do with a path that fits into a Unix address: a longer one leads through its folder's descriptor.
func within(path string, do func(path string) error) error {
	if len(path) <= longest {
		return do(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return do(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// PreviousProcess is the running process whose sockets were taken over.
type PreviousProcess struct {
	conn *net.UnixConn
	// Learned are lines that the running process has learned; this package does not read them.
	Learned []string
	// Exited is closed when that process has ended.
	Exited chan struct{}
}

// TakeOver asks the process that listens at path for its sockets. Without one, or where it does not answer, there is no
// predecessor and the sockets are to be opened anew.
func TakeOver(path string, log *logrus.Logger) (*Sockets, *PreviousProcess) {
	s := &Sockets{taken: map[string]*os.File{}}
	var conn net.Conn
	err := within(path, func(path string) (err error) {
		conn, err = net.DialTimeout("unix", path, takeWait)
		return err
	})
	if err != nil {
		// A path that a killed process left refuses; the offer of this one replaces it.
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, unix.ECONNREFUSED) {
			log.WithError(err).Warn("hand-over: cannot ask for a running process")
		}
		return s, nil
	}
	old := conn.(*net.UnixConn)
	if err := s.receive(old); err != nil {
		old.Close()
		s.drop()
		log.WithError(err).Warn("hand-over: the running process does not hand its sockets over")
		return s, nil
	}
	p := &PreviousProcess{conn: old, Exited: make(chan struct{})}
	if p.Learned, err = learned(old); err != nil {
		log.WithError(err).Warn("hand-over: nothing was learned from the running process") // it serves without
	}
	go p.watch() // ends with the connection
	return s, p
}

// receive asks and takes the answer: a line of names, the descriptors with its first byte.
func (s *Sockets) receive(conn *net.UnixConn) error {
	if err := ownUser(conn); err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(takeWait))
	if _, err := conn.Write([]byte(takeLine + "\r\n")); err != nil {
		return err
	}
	buf, oob := make([]byte, 4096), make([]byte, unix.CmsgSpace(4*maxSockets))
	n, oobn, _, _, err := conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return err
	}
	files, err := descriptors(oob[:oobn])
	if err != nil {
		return err
	}
	names, err := parseSockets(string(buf[:n]))
	if err == nil && len(names) != len(files) {
		err = fmt.Errorf("%d names for %d descriptors", len(names), len(files))
	}
	if err != nil {
		for _, f := range files {
			f.Close()
		}
		return err
	}
	for i, name := range names {
		s.taken[name] = files[i]
	}
	return conn.SetDeadline(time.Time{})
}

// ownUser guards against a stranger's process at a path in a folder that all may write to.
func ownUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	var failed error
	if err := raw.Control(func(fd uintptr) {
		peer, failed = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if failed == nil && int(peer.Uid) != os.Geteuid() {
		failed = fmt.Errorf("the other process belongs to user %d", peer.Uid)
	}
	return failed
}

func descriptors(oob []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("control message: %w", err)
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue // one of another kind
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "socket "+strconv.Itoa(len(files))))
		}
	}
	return files, nil
}

// parseSockets reads the line that names the sockets, each once.
func parseSockets(text string) ([]string, error) {
	text, ok := strings.CutSuffix(text, "\r\n")
	words := strings.Split(text, " ")
	if !ok || words[0] != socketsWord || len(words) < 2 || len(words) > 1+maxSockets {
		return nil, fmt.Errorf("%q does not name sockets", text)
	}
	seen := map[string]bool{}
	for _, w := range words[1:] {
		if w == "" || seen[w] || strings.ContainsAny(w, "\r\n") {
			return nil, fmt.Errorf("%q names no socket, or one twice", text)
		}
		seen[w] = true
	}
	return words[1:], nil
}

// learned asks for what the old process has learned.
func learned(conn *net.UnixConn) (lines []string, err error) {
	conn.SetDeadline(time.Now().Add(takeWait))
	defer conn.SetDeadline(time.Time{})
	text := textproto.NewConn(conn)
	if err := text.PrintfLine(learnedLine); err != nil {
		return nil, err
	}
	for len(lines) <= maxLearned {
		read, err := textline.Read(text.R)
		if err != nil {
			return nil, err
		}
		if read == endLine {
			return lines, nil
		}
		told, ok := strings.CutPrefix(read, learnedWord)
		if !ok {
			return nil, fmt.Errorf("%.40q is nothing learned", read)
		}
		lines = append(lines, told)
	}
	return nil, errors.New("the lines do not end")
}

// watch waits for the end of the connection, which tells that the other process has ended.
func (p *PreviousProcess) watch() {
	defer close(p.Exited)
	defer p.conn.Close()
	for buf := make([]byte, 64); ; {
		if _, err := p.conn.Read(buf); err != nil {
			return
		}
	}
}

// NotifyServing tells the predecessor that this process accepts.
func (p *PreviousProcess) NotifyServing() {
	p.conn.SetWriteDeadline(time.Now().Add(takeWait))
	_, _ = p.conn.Write([]byte(servingLine + "\r\n")) // one that has ended need not know
}

// Replacements tells how many processes have taken the sockets, and how many of these accept.
type Replacements struct{ Connected, Serving int }

// Server hands the sockets to processes that ask for them.
type Server struct {
	path    string
	sockets *Sockets
	log     *logrus.Logger
	changed func(Replacements)
	learned func() []string
	own     os.FileInfo // of the Unix socket, as the actor left it at path
	actors  sync.WaitGroup
}

// NewServer returns an offer at path; changed is called from its actor, one change after the other. What learned tells
// goes to a successor, line by line.
func NewServer(path string, sockets *Sockets, learned func() []string, changed func(Replacements), log *logrus.Logger) *Server {
	return &Server{path: path, sockets: sockets, learned: learned, changed: changed, log: log}
}

// news of a successor.
type news struct {
	conn    *net.UnixConn
	serving bool
	ended   bool
}

// Serve is the offer's actor, which owns the table of successors; it ends with ctx. One that serves offers the sockets
// at the same path; when it ends, this process offers them again.
func (o *Server) Serve(ctx context.Context) {
	defer o.actors.Wait()
	o.sockets.drop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := make(chan news)
	l := o.listen(ctx, heard)
	defer func() {
		if l != nil {
			l.Close()
		}
	}()
	successors := map[*net.UnixConn]bool{} // whether it serves
	for {
		select {
		case <-ctx.Done():
			if now, err := os.Lstat(o.path); err == nil && o.own != nil && os.SameFile(now, o.own) {
				os.Remove(o.path) // else it is another process's
			}
			for conn := range successors {
				conn.Close()
			}
			return
		case n := <-heard:
			if n.ended {
				delete(successors, n.conn)
				if l != nil {
					l.Close()
				}
				l = o.listen(ctx, heard)
			} else {
				successors[n.conn] = n.serving
			}
			count := Replacements{Connected: len(successors)}
			for _, serving := range successors {
				if serving {
					count.Serving++
				}
			}
			o.log.WithFields(logrus.Fields{"connected": count.Connected, "serving": count.Serving}).Info("hand-over: successors")
			o.changed(count)
		}
	}
}

// listen opens the Unix socket under another name and puts it in the place of what a killed process left there.
func (o *Server) listen(ctx context.Context, heard chan<- news) *net.UnixListener {
	fresh := fmt.Sprintf("%s.%d", o.path, os.Getpid())
	os.Remove(fresh)
	var l *net.UnixListener
	err := within(fresh, func(path string) (err error) {
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		return err
	})
	if err == nil {
		l.SetUnlinkOnClose(false) // by then the path may be a successor's
		if err = os.Chmod(fresh, 0o600); err == nil {
			if o.own, err = os.Lstat(fresh); err == nil {
				err = os.Rename(fresh, o.path)
			}
		}
		if err != nil {
			l.Close()
			l = nil
		}
	}
	if err != nil {
		o.log.WithError(err).Error("hand-over: no new version can take the sockets over")
		return nil
	}
	o.actors.Go(func() {
		for {
			conn, err := l.AcceptUnix()
			if err != nil {
				return
			}
			o.actors.Go(func() { o.give(ctx, conn, heard) })
		}
	})
	return l
}

// give is a successor's actor: it hands the sockets over and hears of it until the connection ends.
func (o *Server) give(ctx context.Context, conn *net.UnixConn, heard chan<- news) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	text := textproto.NewConn(conn)
	conn.SetDeadline(time.Now().Add(takeWait))
	if asked, err := textline.Read(text.R); err != nil || asked != takeLine {
		o.log.WithError(err).Warnf("hand-over: asked with %.40q", asked)
		return
	}
	if err := ownUser(conn); err != nil {
		o.log.WithError(err).Error("hand-over: sockets are not handed over")
		return
	}
	if err := o.send(conn); err != nil {
		o.log.WithError(err).Error("hand-over: sockets are not handed over")
		return
	}
	conn.SetDeadline(time.Time{})
	tell := func(n news) {
		select {
		case heard <- n:
		case <-ctx.Done():
		}
	}
	tell(news{conn: conn})
	defer tell(news{conn: conn, ended: true})
	for {
		said, err := textline.Read(text.R)
		if err != nil {
			return
		}
		switch said {
		case servingLine:
			tell(news{conn: conn, serving: true})
		case learnedLine:
			conn.SetWriteDeadline(time.Now().Add(takeWait))
			for _, l := range append(o.learned(), "") {
				if l == "" {
					err = text.PrintfLine(endLine)
				} else {
					err = text.PrintfLine("%s%s", learnedWord, l)
				}
				if err != nil {
					return
				}
			}
		}
	}
}

// send writes the names with the descriptors. Within Control these are not closed meanwhile, nor made blocking, as
// duplicates by File would be: the two processes share the sockets' modes.
func (o *Server) send(conn *net.UnixConn) error {
	var names []string
	var fds []int
	var write func(rest []socket) error
	write = func(rest []socket) error {
		if len(rest) == 0 {
			_, _, err := conn.WriteMsgUnix([]byte(socketsWord+" "+strings.Join(names, " ")+"\r\n"), unix.UnixRights(fds...), nil)
			return err
		}
		var failed error
		if err := rest[0].conn.Control(func(fd uintptr) {
			names, fds = append(names, rest[0].name), append(fds, int(fd))
			failed = write(rest[1:])
		}); err != nil {
			return err
		}
		return failed
	}
	return write(o.sockets.open)
}
