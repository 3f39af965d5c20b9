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
	form      = 1 // of the protocol
	nonceLen  = 16
	headLen   = 4
	writeWait = 5 * time.Second // for one frame: a follower that reads more slowly is put out
)

// The reasons for which a connection ends that hold for all that came on it.
var (
	errTag  = errors.New("a frame is under another key, of another site, or out of its order")
	errLong = errors.New("a frame is too long")
	errForm = errors.New("another form of the protocol")
)

// hello is a follower's first message, welcome the answer.
type hello struct {
	Form  int    `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"` // its id
	Nonce []byte `cbor:"3,keyasint"`
}

type welcome struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// message is any that follows. One of its parts is there.
type message struct {
	Ask     *replica.Version       `cbor:"1,keyasint,omitempty"` // by a follower, once: what it has
	Beat    *beat                  `cbor:"2,keyasint,omitempty"`
	Changes []replica.Change       `cbor:"3,keyasint,omitempty"`
	Piece   *replica.SnapshotChunk `cbor:"4,keyasint,omitempty"`
}

// beat tells what a machine has, and how long ago the writer was there.
type beat struct {
	Version replica.Version `cbor:"1,keyasint"`
	AgeMS   uint64          `cbor:"2,keyasint"`
}

var decoding = func() cbor.DecMode {
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

func (k *Keyring) ring() *token.Ring {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now, err := k.read(); err == nil {
		k.last = now
	}
	return k.last
}

// secret is that of a key which is not retired; an empty id asks for the one that seals.
func (k *Keyring) secret(id string) (string, []byte, error) {
	ring, now := k.ring(), time.Now()
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

// link is an authenticated connection. Each frame is a length, a body of CBOR, and an HMAC-SHA256 over the frame's number and
// the body. The key is derived from the shared one, both sides' nonces, the site and the direction, so that no frame is good on
// another connection, in another place, or sent back.
type link struct {
	conn     net.Conn
	in       *bufio.Reader
	out      *bufio.Writer
	sending  hash.Hash // nil: not yet
	hearing  hash.Hash
	sent     uint64
	received uint64
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, in: bufio.NewReader(conn), out: bufio.NewWriter(conn)}
}

func derive(secret, salt []byte, purpose, site string) (hash.Hash, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, "cottonplank control "+purpose+" "+site, sha256.Size)
	return hmac.New(sha256.New, key), err
}

// agree sets the connection's keys from both nonces.
func (l *link) agree(secret, theirs, ours []byte, site string, follower bool) error {
	salt := append(append([]byte{}, theirs...), ours...)
	serving, err := derive(secret, salt, "serves", site)
	if err != nil {
		return err
	}
	following, err := derive(secret, salt, "follows", site)
	if err != nil {
		return err
	}
	if l.sending, l.hearing = serving, following; follower {
		l.sending, l.hearing = following, serving
	}
	l.sent, l.received = 0, 0
	return nil
}

func tag(mac hash.Hash, number uint64, body []byte) []byte {
	mac.Reset()
	mac.Write(binary.BigEndian.AppendUint64(nil, number))
	mac.Write(body)
	return mac.Sum(nil)
}

func (l *link) send(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > replica.MaxMessageBytes {
		return errLong
	}
	l.conn.SetWriteDeadline(time.Now().Add(writeWait))
	l.out.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	l.out.Write(body)
	l.out.Write(tag(l.sending, l.sent, body))
	l.sent++
	return l.out.Flush()
}

// body reads a frame; its tag is not checked yet.
func (l *link) body() (body, sum []byte, err error) {
	head := make([]byte, headLen)
	if _, err := io.ReadFull(l.in, head); err != nil {
		return nil, nil, err
	}
	n := binary.BigEndian.Uint32(head)
	if n > replica.MaxMessageBytes {
		return nil, nil, errLong
	}
	raw := make([]byte, int(n)+sha256.Size)
	if _, err := io.ReadFull(l.in, raw); err != nil {
		return nil, nil, err
	}
	return raw[:n], raw[n:], nil
}

func (l *link) receive(v any, wait time.Duration) error {
	l.conn.SetReadDeadline(time.Now().Add(wait))
	body, sum, err := l.body()
	if err != nil {
		return err
	}
	return l.open(body, sum, v)
}

func (l *link) open(body, sum []byte, v any) error {
	if !hmac.Equal(sum, tag(l.hearing, l.received, body)) {
		return errTag
	}
	l.received++
	return decoding.Unmarshal(body, v)
}

// call is the follower's side of the agreement.
func (l *link) call(keys *Keyring, site string) error {
	id, secret, err := keys.secret("")
	if err != nil {
		return err
	}
	ours := make([]byte, nonceLen)
	rand.Read(ours)
	if l.sending, err = derive(secret, nil, "hello", site); err != nil {
		return err
	}
	if err := l.send(hello{form, id, ours}); err != nil {
		return err
	}
	l.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, sum, err := l.body()
	if err != nil {
		return err
	}
	var w welcome // its nonce is needed for the key that its tag is checked with
	if err := decoding.Unmarshal(body, &w); err != nil || len(w.Nonce) != nonceLen {
		return errForm
	}
	if err := l.agree(secret, ours, w.Nonce, site, true); err != nil {
		return err
	}
	return l.open(body, sum, &w)
}

// answer is the machine's side of the agreement.
func (l *link) answer(keys *Keyring, site string) error {
	l.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, sum, err := l.body()
	if err != nil {
		return err
	}
	var h hello
	if err := decoding.Unmarshal(body, &h); err != nil || h.Form != form || len(h.Nonce) != nonceLen || h.Key == "" {
		return errForm
	}
	_, secret, err := keys.secret(h.Key)
	if err != nil {
		return err
	}
	if l.hearing, err = derive(secret, nil, "hello", site); err != nil {
		return err
	}
	if err := l.open(body, sum, &h); err != nil {
		return err
	}
	ours := make([]byte, nonceLen)
	rand.Read(ours)
	if err := l.agree(secret, h.Nonce, ours, site, false); err != nil {
		return err
	}
	return l.send(welcome{ours})
}
