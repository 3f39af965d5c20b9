package requestid

import (
	"cmp"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxMessageSize is the maximum size of a message in bytes.
	maxMessageSize = 32 << 10
	// idsPerMessage is the maximum number of IDs in one message. An ID has 16 bytes, and a separator follows it.
	idsPerMessage = 1024
	// sendBufferBytes is the size of the send buffer of a link.
	sendBufferBytes = 1 << 20
	// sendTimeout limits the wait for a peer that does not read its messages. The engine waits this long.
	sendTimeout = 200 * time.Millisecond
)

// The kinds of messages: the first byte of a message. The IDs follow, each with a separator before it.
const (
	kindClaimed  = '+' // the process has claimed the IDs
	kindReleased = '-' // the process has released the IDs
	kindComplete = '.' // all IDs that were claimed when the link began were told
)

// idSeparator stands before each ID of a message.
const idSeparator = " "

var errUnknownMessage = errors.New("unknown message of another process of the hot restart")

// message is what one process tells the other.
type message struct {
	kind byte
	ids  []string
}

// encode returns the message as it is sent.
func (m message) encode() []byte {
	var text strings.Builder
	text.WriteByte(m.kind)
	for _, id := range m.ids {
		text.WriteString(idSeparator)
		text.WriteString(id)
	}
	return []byte(text.String())
}

// decodeMessage decodes a message. It returns errUnknownMessage for a kind that it does not know.
func decodeMessage(raw []byte) (message, error) {
	if len(raw) == 0 {
		return message{}, errUnknownMessage
	}
	m := message{kind: raw[0]}
	switch m.kind {
	case kindClaimed, kindReleased, kindComplete:
		m.ids = strings.Fields(string(raw[1:]))
		return m, nil
	}
	return message{}, errUnknownMessage
}

// peer is the other process of a hot restart. The registry's mutex guards its methods, except waitReadable.
type peer struct {
	// conn keeps the boundaries of messages.
	conn *net.UnixConn
	raw  syscall.RawConn
	// buffer receives a message.
	buffer []byte
	// complete is closed when the peer has told all IDs that were claimed when the link began.
	complete chan struct{}
	// ended is closed when the link has ended.
	ended chan struct{}
}

func newPeer(conn *net.UnixConn) (*peer, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := conn.SetWriteBuffer(sendBufferBytes); err != nil {
		return nil, err
	}
	return &peer{
		conn:     conn,
		raw:      raw,
		buffer:   make([]byte, maxMessageSize),
		complete: make(chan struct{}),
		ended:    make(chan struct{}),
	}, nil
}

// isEnded reports whether the link has ended.
func (p *peer) isEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// close closes the link.
func (p *peer) close() {
	close(p.ended)
	p.conn.Close()
}

// setComplete records that the peer has told all its IDs. It may be called again.
func (p *peer) setComplete() {
	select {
	case <-p.complete:
	default:
		close(p.complete)
	}
}

// send sends a message. After an error the link must be closed. It does nothing on a link that has ended.
func (p *peer) send(m message) error {
	if p.isEnded() {
		return nil
	}
	if err := p.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := p.conn.Write(m.encode())
	return err
}

// waitReadable blocks until receive would return a message or an error.
func (p *peer) waitReadable() error {
	return p.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// receive returns the peer's next message without blocking. ok is false if there is none now. An error ends the link;
// it is io.EOF if the peer has closed its end.
func (p *peer) receive() (m message, ok bool, err error) {
	var n int
	var receiveErr error
	err = p.raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), p.buffer, unix.MSG_DONTWAIT)
	})
	switch err = cmp.Or(err, receiveErr); {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return message{}, false, nil
	case err == nil && n == 0:
		return message{}, false, io.EOF
	case err != nil:
		return message{}, false, err
	}
	m, err = decodeMessage(p.buffer[:n])
	return m, err == nil, err
}
