package requestid

import (
	"errors"
	"net"
	"strings"

	"cottonplank/internal/operations/hotrestart"
)

const (
	// maxMessageSize is the maximum size of a message in bytes.
	maxMessageSize = 32 << 10
	// idsPerMessage is the maximum number of IDs in one message. An ID has 16 bytes, and a separator follows it.
	idsPerMessage = 1024
	// sendBufferBytes is the size of the send buffer of a link.
	sendBufferBytes = 1 << 20
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

// peer is the other process of a hot restart. The registry's mutex guards it, except WaitReadable of the link.
type peer struct {
	link *hotrestart.MessageLink
	// complete is closed when the peer has told all IDs that were claimed when the link began.
	complete chan struct{}
	// ended is closed when the link has ended.
	ended chan struct{}
}

func newPeer(conn *net.UnixConn) (*peer, error) {
	link, err := hotrestart.NewMessageLink(conn, maxMessageSize)
	if err != nil {
		return nil, err
	}
	if err := link.SetWriteBuffer(sendBufferBytes); err != nil {
		return nil, err
	}
	return &peer{link: link, complete: make(chan struct{}), ended: make(chan struct{})}, nil
}

// isEnded reports whether the link has ended.
func (p *peer) isEnded() bool { return isClosed(p.ended) }

// close closes the link.
func (p *peer) close() {
	close(p.ended)
	p.link.Close()
}

// setComplete records that the peer has told all its IDs. It may be called again.
func (p *peer) setComplete() {
	if !isClosed(p.complete) {
		close(p.complete)
	}
}

// isClosed reports whether a channel to which nothing is sent is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// send sends a message. The engine waits for it. After an error the link must be closed. send does nothing on a link
// that has ended.
func (p *peer) send(m message) error {
	if p.isEnded() {
		return nil
	}
	return p.link.Send(m.encode())
}

// receive returns the peer's next message without blocking. ok is false if there is none now. An error ends the link.
func (p *peer) receive() (m message, ok bool, err error) {
	raw, ok, err := p.link.Receive()
	if err != nil || !ok {
		return message{}, false, err
	}
	m, err = decodeMessage(raw)
	return m, err == nil, err
}
