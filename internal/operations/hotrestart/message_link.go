package hotrestart

import (
	"cmp"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// messageLinkTimeout limits the wait for a process that does not read its messages.
const messageLinkTimeout = 200 * time.Millisecond

// MessageLink exchanges messages with another process over a link, which keeps their boundaries. At most one goroutine
// at a time may call Send, and at most one Receive; WaitReadable may run in another one.
type MessageLink struct {
	conn *net.UnixConn
	raw  syscall.RawConn
	// buffer receives a message.
	buffer []byte
}

// NewMessageLink returns a MessageLink that owns conn. Messages that are received have at most maxSize bytes.
func NewMessageLink(conn *net.UnixConn, maxSize int) (*MessageLink, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &MessageLink{conn: conn, raw: raw, buffer: make([]byte, maxSize)}, nil
}

// SetWriteBuffer sets the size of the kernel's send buffer in bytes.
func (l *MessageLink) SetWriteBuffer(bytes int) error { return l.conn.SetWriteBuffer(bytes) }

// Send sends a message, and waits for messageLinkTimeout at most. After an error the other process hangs or has ended,
// and the link must be closed.
func (l *MessageLink) Send(message []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(messageLinkTimeout)); err != nil {
		return err
	}
	_, err := l.conn.Write(message)
	return err
}

// WaitReadable blocks until Receive would return a message or an error.
func (l *MessageLink) WaitReadable() error {
	return l.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// Receive returns the next message without blocking. The message is valid until the next call. ok is false if there is
// none now. An error ends the link; it is io.EOF if the other process has closed its end.
func (l *MessageLink) Receive() (message []byte, ok bool, err error) {
	var n int
	var receiveErr error
	err = l.raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), l.buffer, unix.MSG_DONTWAIT)
	})
	switch err = cmp.Or(err, receiveErr); {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return nil, false, nil
	case err == nil && n == 0:
		return nil, false, io.EOF
	case err != nil:
		return nil, false, err
	}
	return l.buffer[:n], true, nil
}

// Close closes this process's end of the link.
func (l *MessageLink) Close() error { return l.conn.Close() }
