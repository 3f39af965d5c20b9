package hotrestart

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// Sockets are the sockets that the process has opened or inherited, by name. It is not safe for concurrent use.
type Sockets struct {
	// inherited are the inherited sockets that are not in use yet.
	inherited map[string]*os.File
	// open are the sockets in use, in the order in which they were opened.
	open []socket
}

// socket is an open socket and its name.
type socket struct {
	name string
	conn syscall.RawConn
}

// reusePort lets a replacement process bind the address where this process does not pass its sockets on any more. It
// is a fallback: the connections in the accept queue of this process are reset when it closes its socket.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optionErr
}}

// AddInherited adds sockets that a supervisor has opened. A socket of the previous process takes precedence over one
// of the same name, because clients wait in its queue.
func (s *Sockets) AddInherited(files map[string]*os.File) {
	if s.inherited == nil {
		s.inherited = map[string]*os.File{}
	}
	for name, f := range files {
		if s.inherited[name] != nil {
			f.Close()
			continue
		}
		s.inherited[name] = f
	}
}

// Unused returns the names of the inherited sockets that are not in use, in order.
func (s *Sockets) Unused() []string { return slices.Sorted(maps.Keys(s.inherited)) }

// ListenTCP returns the inherited listener of that name, or opens one if none is inherited for this address.
func (s *Sockets) ListenTCP(name, address string) (*net.TCPListener, error) {
	l, err := useInherited(s, name, address, net.FileListener, net.Listener.Addr)
	if l == nil && err == nil {
		l, err = reusePort.Listen(context.Background(), "tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("listen at %s: the inherited socket is not a TCP listener", address)
	}
	return tcp, s.addOpen(name, tcp)
}

// ListenUDP returns the inherited socket of that name, or opens one if none is inherited for this address.
func (s *Sockets) ListenUDP(name, address string) (*net.UDPConn, error) {
	c, err := useInherited(s, name, address, net.FilePacketConn, net.PacketConn.LocalAddr)
	if c == nil && err == nil {
		c, err = reusePort.ListenPacket(context.Background(), "udp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	udp, ok := c.(*net.UDPConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("listen at %s: the inherited socket is not a UDP socket", address)
	}
	return udp, s.addOpen(name, udp)
}

// useInherited returns the inherited socket of that name, or the zero value if there is none. It closes one of
// another address, because the configuration has changed.
func useInherited[S interface{ Close() error }](
	s *Sockets, name, address string, open func(*os.File) (S, error), localAddress func(S) net.Addr,
) (none S, err error) {
	f := s.inherited[name]
	if f == nil {
		return none, nil
	}
	delete(s.inherited, name)
	defer f.Close() // the socket has a descriptor of its own
	socket, err := open(f)
	if err != nil {
		return none, err
	}
	if localAddress(socket).String() != address {
		socket.Close()
		return none, nil
	}
	return socket, nil
}

// addOpen stores a socket that is passed on to a replacement process.
func (s *Sockets) addOpen(name string, conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("socket %s: %w", name, err)
	}
	s.open = append(s.open, socket{name, raw})
	return nil
}

// closeInherited closes the inherited sockets that are not in use.
func (s *Sockets) closeInherited() {
	for name, f := range s.inherited {
		f.Close()
		delete(s.inherited, name)
	}
}
