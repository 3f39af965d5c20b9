package token

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// version is the first field of each token that this package seals and opens.
	version = "1"
	// maxVersionDigits is the maximum length of a version field. A token whose field is longer is malformed and does
	// not count as one of an unsupported version.
	maxVersionDigits = 4
)

// ErrNoSealingKey is returned by Ring.Seal if no key of the ring may seal at the given time.
var ErrNoSealingKey = errors.New("no key seals now")

// payload is the encrypted part of a token: a CBOR map (RFC 8949) with integer keys.
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

// payloadDecoder rejects payloads with duplicate or unknown keys.
var payloadDecoder = newPayloadDecoder()

// newPayloadDecoder returns the decoder with the lowest limits that the library allows. They exceed the needs of any
// valid payload.
func newPayloadDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   4,
		MaxArrayElements:  16,
		MaxMapPairs:       16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Seal encrypts a token with the key that seals at now and returns its text, VERSION.KEYID.BOX. BOX is the base64url
// encoding (RFC 4648, without padding) of a nonce, followed by the payload as XChaCha20-Poly1305
// (draft-irtf-cfrg-xchacha-03) encrypts it. The encryption also authenticates VERSION.KEYID. The nonce has 192 random
// bits, so that balancers that share a key do not use the same nonce twice.
//
// Seal returns an error that wraps ErrNoSealingKey if no key seals at now. It also returns an error if a name in the
// token is longer than MaxName, or if reading from random fails.
func (r *Ring) Seal(t Token, now time.Time, random io.Reader) (string, error) {
	for _, name := range []string{t.Site, t.Room, t.Server} {
		if len(name) > MaxName {
			return "", fmt.Errorf("token: name is too long: %d bytes, expected at most %d", len(name), MaxName)
		}
	}
	key := r.sealingKey(now)
	if key == nil {
		return "", fmt.Errorf("token: %w", ErrNoSealingKey)
	}
	plaintext, err := encodePayload(t)
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	const nonceSize = chacha20poly1305.NonceSizeX
	box := make([]byte, nonceSize, nonceSize+len(plaintext)+chacha20poly1305.Overhead)
	if _, err := io.ReadFull(random, box); err != nil {
		return "", fmt.Errorf("token: read random numbers: %w", err)
	}
	header := version + "." + key.ID
	box = key.aead.Seal(box, box, plaintext, []byte(header))
	return header + "." + base64.RawURLEncoding.EncodeToString(box), nil
}

// Open decrypts and validates the text of a token at a balancer of the given site. The error is nil or one of
// ErrMalformed, ErrUnsupportedVersion, ErrUnknownKey, ErrForged, ErrWrongSite and ErrExpired.
func (r *Ring) Open(text, site string, now time.Time) (Token, error) {
	tokenVersion, rest, hasRest := strings.Cut(text, ".")
	keyID, encodedBox, hasBox := strings.Cut(rest, ".")
	if !hasRest || len(text) > MaxText || !isVersion(tokenVersion) {
		return Token{}, ErrMalformed
	}
	if tokenVersion != version {
		return Token{}, ErrUnsupportedVersion
	}
	if !hasBox || !isKeyID(keyID) {
		return Token{}, ErrMalformed
	}
	box, err := base64.RawURLEncoding.Strict().DecodeString(encodedBox)
	if err != nil || len(box) < chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return Token{}, ErrMalformed
	}
	key := r.openingKey(keyID, now)
	if key == nil {
		return Token{}, ErrUnknownKey
	}
	nonce, ciphertext := box[:chacha20poly1305.NonceSizeX], box[chacha20poly1305.NonceSizeX:]
	plaintext, err := key.aead.Open(nil, nonce, ciphertext, []byte(tokenVersion+"."+keyID))
	if err != nil {
		return Token{}, ErrForged
	}
	t, err := decodePayload(plaintext)
	if err != nil {
		// The payload is authentic: a balancer with the same key has sealed it. So the payload has the format of a
		// newer release.
		return Token{}, ErrUnsupportedVersion
	}
	return t, t.validate(site, now)
}

// validate checks the site and the expiry of a token whose payload is authentic. It returns ErrWrongSite, ErrExpired
// or nil.
func (t Token) validate(site string, now time.Time) error {
	if t.Site != site {
		return ErrWrongSite
	}
	if now.After(t.Expires.Add(Leeway)) {
		return ErrExpired
	}
	return nil
}

// encodePayload returns the CBOR encoding of a token: a payload with the expiry in whole milliseconds.
func encodePayload(t Token) ([]byte, error) {
	return cbor.Marshal(payload{
		Session:  t.Session[:],
		Epoch:    t.Epoch,
		Fence:    t.Fence,
		Site:     t.Site,
		Room:     t.Room,
		Server:   t.Server,
		Position: t.Position,
		Expires:  t.Expires.UnixMilli(),
	})
}

// decodePayload decodes the result of encodePayload. It returns an error if plaintext is not the CBOR encoding of a
// payload, or if the session ID has a wrong length.
func decodePayload(plaintext []byte) (Token, error) {
	var p payload
	if err := payloadDecoder.Unmarshal(plaintext, &p); err != nil {
		return Token{}, err
	}
	if len(p.Session) != IDBytes {
		return Token{}, fmt.Errorf("session ID: has %d bytes: expected %d", len(p.Session), IDBytes)
	}
	return Token{
		Ref:      Ref{Session: SessionID(p.Session), Epoch: p.Epoch, Fence: p.Fence},
		Site:     p.Site,
		Room:     p.Room,
		Server:   p.Server,
		Position: p.Position,
		Expires:  time.UnixMilli(p.Expires),
	}, nil
}

// isVersion reports whether the text has the form of a version field: 1 to maxVersionDigits decimal digits. The
// version may be unsupported.
func isVersion(text string) bool {
	return text != "" && len(text) <= maxVersionDigits && strings.Trim(text, "0123456789") == ""
}
