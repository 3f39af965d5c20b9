// Package token makes and opens the tokens with which a session goes on at another room server. It is pure: the
// caller gives it the time and the random numbers. Balancers share nothing but the keys, so any of them opens what
// another has sealed, after a restart too. The token is a bearer's secret: who holds it holds the session.
package token

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/crypto/chacha20poly1305"
)

// Bounds of the form. A token of the longest names has 700 characters, so that it fits the 4 KiB of a first line
// beside all that a client writes there.
const (
	MaxText  = 1024 // characters of a token
	MaxName  = 128  // bytes of a site's, a room's or a room server's name
	IDBytes  = 16   // of a session's id
	version  = "1"
	keyIDLen = 8 // hexadecimal digits
)

// SessionID names a session wherever it is held, 128 random bits.
type SessionID [IDBytes]byte

func (id SessionID) String() string { return hex.EncodeToString(id[:]) }

// ParseSessionID reads what String wrote.
func ParseSessionID(text string) (id SessionID, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != IDBytes || strings.ToLower(text) != text {
		return id, fmt.Errorf("session id: %q is not %d hexadecimal digits", text, 2*IDBytes)
	}
	return SessionID(raw), nil
}

// Ref names one hold of a session: the epoch counts its attaches, the fence tells apart two holds of one epoch, of
// which only one can ever be attached.
type Ref struct {
	Session SessionID
	Epoch   uint64
	Fence   uint64
}

func (r Ref) String() string { return fmt.Sprintf("%s/%d/%x", r.Session, r.Epoch, r.Fence) }

// Token says where a session is held and how far it had come when the token was sealed.
type Token struct {
	Ref
	Site     string // of the balancers; those of another site refuse it
	Room     string // the group; empty: none
	Server   string // the instance id of the room server that holds it
	Position uint64 // what that one had acknowledged
	Expires  time.Time
}

// payload is the sealed part, in CBOR (RFC 8949) with whole numbers as keys.
type payload struct {
	Session  []byte `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
	Fence    uint64 `cbor:"3,keyasint"`
	Site     string `cbor:"4,keyasint"`
	Room     string `cbor:"5,keyasint,omitempty"`
	Server   string `cbor:"6,keyasint"`
	Position uint64 `cbor:"7,keyasint"`
	Expires  int64  `cbor:"8,keyasint"` // Unix time in milliseconds
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// The reasons for which a token is refused, each a word of its own on the wire.
var (
	ErrMalformed = errors.New("malformed")   // cut, too long, or not in the form
	ErrVersion   = errors.New("version")     // a form that this balancer does not know
	ErrKey       = errors.New("unknown-key") // sealed by a key that is not, or no more, in the ring
	ErrForged    = errors.New("forged")      // the key is known and did not seal this
	ErrExpired   = errors.New("expired")
	ErrSite      = errors.New("site") // sealed by another site's balancers
)

// Seal seals a token with the key that seals at now. The form is 1.KEYID.BASE64URL(nonce | sealed), where the sealed
// part is XChaCha20-Poly1305 (draft-irtf-cfrg-xchacha-03) over CBOR, and what stands before it is authenticated too.
// The nonce is 192 random bits, so that balancers that share nothing do not use one twice.
func (r *Ring) Seal(t Token, now time.Time, random io.Reader) (string, error) {
	for _, name := range []string{t.Site, t.Room, t.Server} {
		if len(name) > MaxName {
			return "", fmt.Errorf("token: a name of %d bytes, %d at most", len(name), MaxName)
		}
	}
	k := r.sealing(now)
	if k == nil {
		return "", errors.New("token: no key seals now")
	}
	plain, err := cbor.Marshal(payload{Session: t.Session[:], Epoch: t.Epoch, Fence: t.Fence, Site: t.Site, Room: t.Room,
		Server: t.Server, Position: t.Position, Expires: t.Expires.UnixMilli()})
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	head := version + "." + k.ID
	box := make([]byte, chacha20poly1305.NonceSizeX, chacha20poly1305.NonceSizeX+len(plain)+chacha20poly1305.Overhead)
	if _, err := io.ReadFull(random, box); err != nil {
		return "", fmt.Errorf("token: random numbers: %w", err)
	}
	box = k.aead.Seal(box, box, plain, []byte(head))
	return head + "." + base64.RawURLEncoding.EncodeToString(box), nil
}

// Open opens a token for a site's balancers. The error is one of the reasons above.
func (r *Ring) Open(text, site string, now time.Time) (t Token, err error) {
	v, rest, ok := strings.Cut(text, ".")
	id, sealed, more := strings.Cut(rest, ".")
	if !ok || len(text) > MaxText || !isNumber(v) {
		return t, ErrMalformed
	}
	if v != version {
		return t, ErrVersion
	}
	if !more || !isKeyID(id) {
		return t, ErrMalformed
	}
	box, err := base64.RawURLEncoding.Strict().DecodeString(sealed)
	if err != nil || len(box) < chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return t, ErrMalformed
	}
	k := r.opening(id, now)
	if k == nil {
		return t, ErrKey
	}
	nonce, box := box[:chacha20poly1305.NonceSizeX], box[chacha20poly1305.NonceSizeX:]
	plain, err := k.aead.Open(nil, nonce, box, []byte(v+"."+id))
	if err != nil {
		return t, ErrForged
	}
	var p payload
	if err := decoding.Unmarshal(plain, &p); err != nil || len(p.Session) != IDBytes {
		return t, ErrVersion // sealed by one of us in a way that this one does not know
	}
	t = Token{Ref: Ref{SessionID(p.Session), p.Epoch, p.Fence}, Site: p.Site, Room: p.Room, Server: p.Server,
		Position: p.Position, Expires: time.UnixMilli(p.Expires)}
	if t.Site != site {
		return t, ErrSite
	}
	if now.After(t.Expires.Add(Leeway)) {
		return t, ErrExpired
	}
	return t, nil
}

func isNumber(text string) bool {
	return text != "" && len(text) < 5 && strings.Trim(text, "0123456789") == ""
}

func isKeyID(text string) bool {
	return len(text) == keyIDLen && strings.Trim(text, "0123456789abcdef") == ""
}
