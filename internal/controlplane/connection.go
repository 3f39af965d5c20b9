package controlplane

import (
	"bufio"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
	"io"
	"net"
	"slices"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/fxamacker/cbor/v2"
)

const (
	frameHeaderBytes = 4 // the length of the body, big endian
	frameTagBytes    = sha256.Size

	// writeTimeout limits the time to write one frame. The connection to a follower that reads too slowly is closed.
	writeTimeout = 5 * time.Second
)

// Purposes of the keys that are derived from a shared secret: the key of the clientHello, and the keys of the frames
// that a server and a follower send. They are part of the protocol.
const (
	helloPurpose    = "hello"
	serverPurpose   = "serves"
	followerPurpose = "follows"
)

// Errors that end a connection.
var (
	errAuthentication = errors.New("invalid frame tag: different key or site, or frame modified or out of sequence")
	errFrameTooLong   = errors.New("frame too long")
	errProtocol       = errors.New("unsupported protocol version or unexpected message")
)

// secureConn is an authenticated connection. It is not encrypted.
//
// Each frame consists of the body's length, a CBOR body, and an HMAC-SHA256 tag over the frame's sequence
// number and the body. The key of the tag is derived from the shared secret, both nonces, the site and the
// direction, so that a frame cannot be replayed on another connection, at another site, or back to its sender.
// The first frame, the clientHello, is an exception: its key depends only on the shared secret and the site.
type secureConn struct {
	conn            net.Conn
	reader          *bufio.Reader
	writer          *bufio.Writer
	sendMAC         hash.Hash // computes the tags of sent frames; nil before the handshake
	receiveMAC      hash.Hash // computes the tags to expect of received frames; nil before the handshake
	sendSequence    uint64
	receiveSequence uint64
}

func newSecureConn(conn net.Conn) *secureConn {
	return &secureConn{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
}

// newMAC returns an HMAC whose key is derived with HKDF from a shared secret, for one purpose and one site.
func newMAC(secret, salt []byte, purpose, site string) (hash.Hash, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, "cottonplank control "+purpose+" "+site, sha256.Size)
	return hmac.New(sha256.New, key), err
}

// deriveSessionKeys derives the keys of both directions from the secret and the nonces, and resets the sequence
// numbers. follower says that this side is the follower.
func (c *secureConn) deriveSessionKeys(secret, clientNonce, serverNonce []byte, site string, follower bool) error {
	salt := slices.Concat(clientNonce, serverNonce)
	serverMAC, err := newMAC(secret, salt, serverPurpose, site)
	if err != nil {
		return err
	}
	followerMAC, err := newMAC(secret, salt, followerPurpose, site)
	if err != nil {
		return err
	}
	c.sendMAC, c.receiveMAC = serverMAC, followerMAC
	if follower {
		c.sendMAC, c.receiveMAC = followerMAC, serverMAC
	}
	c.sendSequence = 0
	c.receiveSequence = 0
	return nil
}

// frameTag returns the HMAC over a frame's sequence number and body.
func frameTag(mac hash.Hash, sequence uint64, body []byte) []byte {
	mac.Reset()
	mac.Write(binary.BigEndian.AppendUint64(nil, sequence))
	mac.Write(body)
	return mac.Sum(nil)
}

// send encodes and writes a message. It returns errFrameTooLong if the body exceeds replica.MaxMessageBytes.
func (c *secureConn) send(payload any) error {
	body, err := cbor.Marshal(payload)
	if err != nil {
		return err
	}
	if len(body) > replica.MaxMessageBytes {
		return errFrameTooLong
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// The writer keeps the first error and returns it from Flush.
	c.writer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	c.writer.Write(body)
	c.writer.Write(frameTag(c.sendMAC, c.sendSequence, body))
	c.sendSequence++
	return c.writer.Flush()
}

// receive reads and decodes a message. It fails if the message is not complete after the timeout. It returns
// errAuthentication if the tag is invalid, and errFrameTooLong if the body exceeds replica.MaxMessageBytes.
func (c *secureConn) receive(payload any, timeout time.Duration) error {
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	body, tag, err := c.readFrame()
	if err != nil {
		return err
	}
	return c.verifyAndDecode(body, tag, payload)
}

// readFrame reads a frame without verifying its tag. It checks the length before it allocates memory for the frame.
func (c *secureConn) readFrame() (body, tag []byte, err error) {
	header := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(c.reader, header); err != nil {
		return nil, nil, err
	}
	length := binary.BigEndian.Uint32(header)
	if length > replica.MaxMessageBytes {
		return nil, nil, errFrameTooLong
	}
	raw := make([]byte, int(length)+frameTagBytes)
	if _, err := io.ReadFull(c.reader, raw); err != nil {
		return nil, nil, err
	}
	return raw[:length], raw[length:], nil
}

// verifyAndDecode verifies a frame's tag and decodes its body.
func (c *secureConn) verifyAndDecode(body, tag []byte, payload any) error {
	if !hmac.Equal(tag, frameTag(c.receiveMAC, c.receiveSequence, body)) {
		return errAuthentication
	}
	c.receiveSequence++
	return decodeMode.Unmarshal(body, payload)
}
