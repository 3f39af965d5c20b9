// Package hotrestart passes the sockets of a running process to the version that is started beside it, so that one accept
// queue outlives the old process. It knows no front and no wire but its own: a Unix socket, a line each way, and the
// descriptors with it.
package hotrestart

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sockets are those that the process has opened or taken over, by name.
type Sockets struct {
	taken map[string]*os.File // not asked for yet
	open  []socket            // in the order in which they were asked for
}

type socket struct {
	name string
	conn syscall.RawConn
}

// reusePort lets a successor bind the address where this process does not answer it any more. It is the fallback: what
// waits in a queue of its own is reset when that is closed.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var failed error
	if err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return failed
}}

// AddInherited gives sockets that a supervisor has opened. One that a running process has handed over comes before that of
// the same name: clients wait in its queue.
func (s *Sockets) AddInherited(files map[string]*os.File) {
	if s.taken == nil {
		s.taken = map[string]*os.File{}
	}
	for name, f := range files {
		if s.taken[name] != nil {
			f.Close()
			continue
		}
		s.taken[name] = f
	}
}

// Unused names what was offered or taken over and nobody has asked for.
func (s *Sockets) Unused() []string { return slices.Sorted(maps.Keys(s.taken)) }

// ListenTCP returns the listener of that name that was taken over, or opens one.
func (s *Sockets) ListenTCP(name, address string) (*net.TCPListener, error) {
	l, err := take(s, name, address, net.FileListener, net.Listener.Addr)
	if l == nil && err == nil {
		l, err = reusePort.Listen(context.Background(), "tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("listen at %s: the socket taken over is none of TCP", address)
	}
	return tcp, s.keep(name, tcp)
}

// ListenUDP returns the socket of that name that was taken over, or opens one.
func (s *Sockets) ListenUDP(name, address string) (*net.UDPConn, error) {
	c, err := take(s, name, address, net.FilePacketConn, net.PacketConn.LocalAddr)
	if c == nil && err == nil {
		c, err = reusePort.ListenPacket(context.Background(), "udp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	udp, ok := c.(*net.UDPConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("listen at %s: the socket taken over is none of UDP", address)
	}
	return udp, s.keep(name, udp)
}

// take makes a socket of the descriptor of that name. One of another address is left: the configuration has changed.
func take[S interface{ Close() error }](s *Sockets, name, address string, of func(*os.File) (S, error), addr func(S) net.Addr) (none S, err error) {
	f := s.taken[name]
	if f == nil {
		return none, nil
	}
	delete(s.taken, name)
	defer f.Close() // what is made of it has a descriptor of its own
	socket, err := of(f)
	if err != nil {
		return none, err
	}
	if addr(socket).String() != address {
		socket.Close()
		return none, nil
	}
	return socket, nil
}

func (s *Sockets) keep(name string, conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("socket %s: %w", name, err)
	}
	s.open = append(s.open, socket{name, raw})
	return nil
}

// drop closes what was taken over and not asked for.
func (s *Sockets) drop() {
	for name, f := range s.taken {
		f.Close()
		delete(s.taken, name)
	}
}

// Pauser lets the one goroutine that accepts from a socket, or reads it, stop and go on; the socket stays open. Another
// process that holds the same socket is not touched.
type Pauser struct {
	deadline func(time.Time) error
	resumed  chan struct{}
}

// NewPauser returns a pause for a socket's read or accept deadline.
func NewPauser(deadline func(time.Time) error) *Pauser {
	return &Pauser{deadline: deadline, resumed: make(chan struct{}, 1)}
}

// Pause stops the goroutine at its next call; a closed socket is stopped already. The call under way may still bring what
// comes just then, once.
func (p *Pauser) Pause() { _ = p.deadline(time.Unix(1, 0)) }

// Resume lets it go on.
func (p *Pauser) Resume() {
	_ = p.deadline(time.Time{})
	select {
	case p.resumed <- struct{}{}:
	default:
	}
}

// Paused tells whether a call failed because of the pause, and waits until that is over.
func (p *Pauser) Paused(ctx context.Context, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	select {
	case <-p.resumed:
		return true
	case <-ctx.Done():
		return false
	}
}
