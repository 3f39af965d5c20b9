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
// several goroutines. OfferLink must be called before Serve, once for each name.
func (s *Server) OfferLink(name string, accept func(*net.UnixConn)) {
	s.links = append(s.links, link{name, accept})
}

// linkEnds are the ends of new links, one for each link that the server offers: this process's, and the descriptors to
// pass to the replacement process.
type linkEnds struct {
	own   []*net.UnixConn
	other []int
}

// newLinkEnds returns the ends of new links.
func (s *Server) newLinkEnds() (ends linkEnds, err error) {
	for range s.links {
		own, other, err := newLinkPair()
		if err != nil {
			ends.closeOwn()
			ends.closeOther()
			return linkEnds{}, err
		}
		ends.own, ends.other = append(ends.own, own), append(ends.other, other)
	}
	return ends, nil
}

func (e linkEnds) closeOwn() {
	for _, conn := range e.own {
		conn.Close()
	}
}

func (e linkEnds) closeOther() {
	for _, descriptor := range e.other {
		unix.Close(descriptor)
	}
}

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
