package hotrestart

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// link is a connection between this process and each replacement process, over which a subsystem of the two exchanges
// messages of its own. It is passed among the sockets, under its name, so that a process of a version that does not
// know it closes it as a socket that is not used.
type link struct {
	name   string
	accept func(*net.UnixConn)
}

// OfferLink makes the server pass a link to each replacement process. It calls accept with this process's end once the
// sockets have been passed; accept owns the connection, which keeps the boundaries of messages, and may be called from
// several goroutines. There is at most one link. OfferLink must be called before Serve.
func (s *Server) OfferLink(name string, accept func(*net.UnixConn)) { s.link = &link{name, accept} }

// AcceptLink returns this process's end of the link that the previous process has passed, or nil if there is none.
func (s *Sockets) AcceptLink(name string) (*net.UnixConn, error) {
	file := s.inherited[name]
	if file == nil {
		return nil, nil
	}
	delete(s.inherited, name)
	return newLinkConn(file)
}

// newLinkPair returns the ends of a new link: this process's, and the descriptor to pass to the replacement process.
func newLinkPair() (own *net.UnixConn, other int, err error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, fmt.Errorf("link: %w", err)
	}
	own, err = newLinkConn(os.NewFile(uintptr(descriptors[0]), "link"))
	if err != nil {
		unix.Close(descriptors[1])
		return nil, 0, err
	}
	return own, descriptors[1], nil
}

// newLinkConn returns the connection of a link and closes its file.
func newLinkConn(file *os.File) (*net.UnixConn, error) {
	defer file.Close() // FileConn duplicates the descriptor
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		conn.Close()
		return nil, fmt.Errorf("link: %w: the inherited socket is not a Unix socket", ErrMalformedLine)
	}
	return unixConn, nil
}
