package quic

import (
	"cmp"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPeerMessageSize is the maximum size of a message between processes. A datagram of maximum size fits.
	maxPeerMessageSize = 128 << 10
	// flowRecordsSize limits the records in one message: a message is sent when they exceed this size in bytes.
	flowRecordsSize = 32 << 10
	// peerWriteTimeout limits the wait for a peer that does not read its messages. The router waits this long.
	peerWriteTimeout = 200 * time.Millisecond
)

// peer is another process that holds the same socket for client datagrams: the previous process of a hot restart, or
// a replacement process. The router's goroutine owns it, except that waitReadable runs in another one.
type peer struct {
	// conn keeps the boundaries of messages.
	conn *net.UnixConn
	raw  syscall.RawConn
	// buffer receives a message.
	buffer []byte
	// reading says that the peer may read client datagrams from the socket.
	reading bool
	// ended says that the connection to the peer has ended.
	ended bool
}

func newPeer(conn *net.UnixConn, reading bool) (*peer, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &peer{conn: conn, raw: raw, buffer: make([]byte, maxPeerMessageSize), reading: reading}, nil
}

// send sends a message. After an error the peer hangs or has ended, and its connection must be closed.
func (p *peer) send(message peerMessage) error {
	raw, err := message.encode()
	if err != nil {
		return err
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)); err != nil {
		return err
	}
	_, err = p.conn.Write(raw)
	return err
}

// sendFlows sends records in one or more messages.
func (p *peer) sendFlows(records []flowRecord) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && size < flowRecordsSize {
			size += records[n].size()
			n++
		}
		if err := p.send(peerMessage{Flows: records[:n]}); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// waitReadable blocks until receive would return a message or an error.
func (p *peer) waitReadable() error {
	return p.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// receive returns the peer's next message without blocking. ok is false if there is none now. An error ends the
// connection; it is io.EOF if the peer has closed its end.
func (p *peer) receive() (message peerMessage, ok bool, err error) {
	var n int
	var receiveErr error
	err = p.raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), p.buffer, unix.MSG_DONTWAIT)
	})
	switch err = cmp.Or(err, receiveErr); {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return peerMessage{}, false, nil
	case err == nil && n == 0:
		return peerMessage{}, false, io.EOF
	case err != nil:
		return peerMessage{}, false, err
	}
	message, err = decodePeerMessage(p.buffer[:n])
	return message, err == nil, err
}
