package quic

import (
	"net"

	"cottonplank/internal/operations/hotrestart"
)

const (
	// maxPeerMessageSize is the maximum size of a message between processes. A datagram of maximum size fits, also one of
	// a version that forwards datagrams of 64 KB.
	maxPeerMessageSize = 128 << 10
	// flowRecordsSize limits the records in one message: a message is sent when they exceed this size in bytes.
	flowRecordsSize = 32 << 10
)

// peer is another process that holds the same socket for client datagrams: the previous process of a hot restart, or
// a replacement process. The router's goroutine owns it, except that WaitReadable of the link runs in another one.
type peer struct {
	link *hotrestart.MessageLink
	// reading says that the peer may read client datagrams from the socket.
	reading bool
	// ended says that the connection to the peer has ended.
	ended bool
}

func newPeer(conn *net.UnixConn, reading bool) (*peer, error) {
	link, err := hotrestart.NewMessageLink(conn, maxPeerMessageSize)
	if err != nil {
		return nil, err
	}
	return &peer{link: link, reading: reading}, nil
}

// send sends a message. The router waits for it. After an error the connection must be closed.
func (p *peer) send(message peerMessage) error {
	raw, err := message.encode()
	if err != nil {
		return err
	}
	return p.link.Send(raw)
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

// receive returns the peer's next message without blocking. ok is false if there is none now. An error ends the
// connection.
func (p *peer) receive() (message peerMessage, ok bool, err error) {
	raw, ok, err := p.link.Receive()
	if err != nil || !ok {
		return peerMessage{}, false, err
	}
	message, err = decodePeerMessage(raw)
	return message, err == nil, err
}
