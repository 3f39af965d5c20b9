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

// Sockets holds the sockets that the process has opened or inherited, by name. It is not safe for concurrent use.
type Sockets struct {
	// inherited holds the inherited sockets that are not in use yet.
	inherited map[string]*os.File
	// open holds the sockets in use, in the order in which they were opened.
	open []socket
}

// socket is a socket in use, which is passed to replacement processes under its name.
type socket struct {
	name string
	conn syscall.RawConn
}

// reusePort opens sockets with SO_REUSEPORT, so that a replacement process can bind the same address even if this
// process does not pass its sockets on. That is only a fallback: each process then has its own accept queue, and the
// connections in this process's queue are reset when it closes its socket.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var optionErr error
	if err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return optionErr
}}

// AddInherited adds sockets that a supervisor has opened. A socket of the same name from the previous process takes
// precedence, because clients may wait in its accept queue; the one of the supervisor is closed.
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

// Unused returns the sorted names of the inherited sockets that are not in use.
func (s *Sockets) Unused() []string { return slices.Sorted(maps.Keys(s.inherited)) }

// ListenTCP returns the inherited listener with the given name and address. If there is none, it opens a new one.
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

// ListenUDP returns the inherited UDP socket with the given name and address. If there is none, it opens a new one.
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

// useInherited returns the inherited socket with the given name, or the zero value if there is none. If the socket has
// another address, because the configuration has changed, it closes the socket and returns the zero value.
func useInherited[S interface{ Close() error }](
	s *Sockets, name, address string, open func(*os.File) (S, error), localAddress func(S) net.Addr,
) (none S, err error) {
	f := s.inherited[name]
	if f == nil {
		return none, nil
	}
	delete(s.inherited, name)
	defer f.Close() // open duplicates the descriptor
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

// addOpen marks a socket as in use, so that it is passed to replacement processes.
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
