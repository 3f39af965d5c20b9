// Package controlplane carries the operator's document over TCP: a control machine serves it, a balancer and another control
// machine follow. internal/replica decides what is sent, what is taken, and where a follower asks.
package controlplane

import (
	"bufio"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
	"net"
	"sync"
	"time"

	"cottonplank/internal/controlplane/replica"
	"cottonplank/internal/session/token"

	"github.com/fxamacker/cbor/v2"
)

const (
	protocolVersion  = 1 // of the protocol
	nonceBytes       = 16
	frameHeaderBytes = 4
	writeTimeout     = 5 * time.Second // for one frame: a follower that reads more slowly is put out
)

// The reasons for which a connection ends that hold for all that came on it.
var (
	errAuthentication = errors.New("a frame is under another key, of another site, or out of its order")
	errFrameTooLong   = errors.New("a frame is too long")
	errProtocol       = errors.New("another form of the protocol")
)

// clientHello is a follower's first message, welcome the answer.
type clientHello struct {
	ProtocolVersion int    `cbor:"1,keyasint"`
	KeyID           string `cbor:"2,keyasint"` // its id
	Nonce           []byte `cbor:"3,keyasint"`
}

type serverHello struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// message is any that follows. One of its parts is there.
type message struct {
	Subscribe *replica.Version       `cbor:"1,keyasint,omitempty"` // by a follower, once: what it has
	Heartbeat *heartbeat             `cbor:"2,keyasint,omitempty"`
	Changes   []replica.Change       `cbor:"3,keyasint,omitempty"`
	Chunk     *replica.SnapshotChunk `cbor:"4,keyasint,omitempty"`
}

// heartbeat tells what a machine has, and how long ago the writer was there.
type heartbeat struct {
	Version         replica.Version `cbor:"1,keyasint"`
	LeaderAgeMillis uint64          `cbor:"2,keyasint"`
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Keyring reads the keys again for each connection, so that a new key needs no signal. Where they cannot be read, those that
// were read last hold.
type Keyring struct {
	read func() (*token.Ring, error)
	mu   sync.Mutex
	last *token.Ring
}

// NewKeyring returns a keyring that read fills; the keys have to be sound now.
func NewKeyring(read func() (*token.Ring, error)) (*Keyring, error) {
	first, err := read()
	return &Keyring{read: read, last: first}, err
}

func (k *Keyring) reload() *token.Ring {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now, err := k.read(); err == nil {
		k.last = now
	}
	return k.last
}

// secret is that of a key which is not retired; an empty id asks for the one that seals.
func (k *Keyring) secret(id string) (string, []byte, error) {
	ring, now := k.reload(), time.Now()
	if id == "" {
		id = ring.Sealing(now)
	}
	for _, key := range ring.Keys() {
		if key.ID == id && ring.Use(id, now) != token.Retired {
			return id, key.Secret, nil
		}
	}
	return "", nil, fmt.Errorf("key %q is unknown or retired", id)
}

// secureConn is an authenticated connection. Each frame is a length, a body of CBOR, and an HMAC-SHA256 over the frame's number and
// the body. The key is derived from the shared one, both sides' nonces, the site and the direction, so that no frame is good on
// another connection, in another place, or sent back.
type secureConn struct {
	conn            net.Conn
	reader          *bufio.Reader
	writer          *bufio.Writer
	sendMAC         hash.Hash // nil: not yet
	receiveMAC      hash.Hash
	sendSequence    uint64
	receiveSequence uint64
}

func newSecureConn(conn net.Conn) *secureConn {
	return &secureConn{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
}

func newMAC(secret, salt []byte, purpose, site string) (hash.Hash, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, "cottonplank control "+purpose+" "+site, sha256.Size)
	return hmac.New(sha256.New, key), err
}

// deriveSessionKeys sets the connection's keys from both nonces.
func (l *secureConn) deriveSessionKeys(secret, theirs, ours []byte, site string, follower bool) error {
	salt := append(append([]byte{}, theirs...), ours...)
	serving, err := newMAC(secret, salt, "serves", site)
	if err != nil {
		return err
	}
	following, err := newMAC(secret, salt, "follows", site)
	if err != nil {
		return err
	}
	if l.sendMAC, l.receiveMAC = serving, following; follower {
		l.sendMAC, l.receiveMAC = following, serving
	}
	l.sendSequence, l.receiveSequence = 0, 0
	return nil
}

func frameTag(mac hash.Hash, number uint64, body []byte) []byte {
	mac.Reset()
	mac.Write(binary.BigEndian.AppendUint64(nil, number))
	mac.Write(body)
	return mac.Sum(nil)
}

func (l *secureConn) send(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > replica.MaxMessageBytes {
		return errFrameTooLong
	}
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	l.writer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	l.writer.Write(body)
	l.writer.Write(frameTag(l.sendMAC, l.sendSequence, body))
	l.sendSequence++
	return l.writer.Flush()
}

// readFrame reads a frame; its tag is not checked yet.
func (l *secureConn) readFrame() (body, sum []byte, err error) {
	head := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(l.reader, head); err != nil {
		return nil, nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n > replica.MaxMessageBytes {
		return nil, nil, errFrameTooLong
	}
	raw := make([]byte, int(n)+sha256.Size)
	if _, err := io.ReadFull(l.reader, raw); err != nil {
		return nil, nil, err
	}
	return raw[:n], raw[n:], nil
}

func (l *secureConn) receive(v any, wait time.Duration) error {
	l.conn.SetReadDeadline(time.Now().Add(wait))
	body, sum, err := l.readFrame()
	if err != nil {
		return err
	}
	return l.verifyAndDecode(body, sum, v)
}

func (l *secureConn) verifyAndDecode(body, sum []byte, v any) error {
	if !hmac.Equal(sum, frameTag(l.receiveMAC, l.receiveSequence, body)) {
		return errAuthentication
	}
	l.receiveSequence++
	return decodeMode.Unmarshal(body, v)
}

// clientHandshake is the follower's side of the agreement.
func (l *secureConn) clientHandshake(keys *Keyring, site string) error {
	id, secret, err := keys.secret("")
	if err != nil {
		return err
	}
	ours := make([]byte, nonceBytes)
	rand.Read(ours)
	if l.sendMAC, err = newMAC(secret, nil, "hello", site); err != nil {
		return err
	}
	if err := l.send(clientHello{protocolVersion, id, ours}); err != nil {
		return err
	}
	l.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, sum, err := l.readFrame()
	if err != nil {
		return err
	}
	var w serverHello // its nonce is needed for the key that its tag is checked with
	if err := decodeMode.Unmarshal(body, &w); err != nil || len(w.Nonce) != nonceBytes {
		return errProtocol
	}
	if err := l.deriveSessionKeys(secret, ours, w.Nonce, site, true); err != nil {
		return err
	}
	return l.verifyAndDecode(body, sum, &w)
}

// serverHandshake is the machine's side of the agreement.
func (l *secureConn) serverHandshake(keys *Keyring, site string) error {
	l.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, sum, err := l.readFrame()
	if err != nil {
		return err
	}
	var h clientHello
	if err := decodeMode.Unmarshal(body, &h); err != nil || h.ProtocolVersion != protocolVersion || len(h.Nonce) != nonceBytes || h.KeyID == "" {
		return errProtocol
	}
	_, secret, err := keys.secret(h.KeyID)
	if err != nil {
		return err
	}
	if l.receiveMAC, err = newMAC(secret, nil, "hello", site); err != nil {
		return err
	}
	if err := l.verifyAndDecode(body, sum, &h); err != nil {
		return err
	}
	ours := make([]byte, nonceBytes)
	rand.Read(ours)
	if err := l.deriveSessionKeys(secret, h.Nonce, ours, site, false); err != nil {
		return err
	}
	return l.send(serverHello{ours})
}
