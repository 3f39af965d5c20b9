package controlplane

import (
	"crypto/rand"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// newNonce returns a random nonce for one handshake.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// clientHandshake performs the mutual authentication of a follower and a server, on the follower's side. It uses
// the keyring's sealing key.
func (c *secureConn) clientHandshake(keys *Keyring, site string) error {
	keyID, secret, err := keys.sealingKey()
	if err != nil {
		return err
	}
	clientNonce := newNonce()
	if c.sendMAC, err = newMAC(secret, nil, helloPurpose, site); err != nil {
		return err
	}
	hello := clientHello{ProtocolVersion: protocolVersion, KeyID: keyID, Nonce: clientNonce}
	if err := c.send(hello); err != nil {
		return err
	}
	c.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, tag, err := c.readFrame()
	if err != nil {
		return err
	}
	// The key of the answer's tag depends on the nonce in the answer. The answer is therefore decoded before its tag
	// is verified.
	var answer serverHello
	if err := decodeMode.Unmarshal(body, &answer); err != nil || len(answer.Nonce) != nonceBytes {
		return errProtocol
	}
	if err := c.deriveSessionKeys(secret, clientNonce, answer.Nonce, site, true); err != nil {
		return err
	}
	return c.verifyAndDecode(body, tag, &answer)
}

// serverHandshake performs the mutual authentication of a follower and a server, on the server's side. It uses the
// key that the follower names. The follower's clientHello can be replayed, so the follower is authenticated only
// when the server has received its next message.
func (c *secureConn) serverHandshake(keys *Keyring, site string) error {
	c.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, tag, err := c.readFrame()
	if err != nil {
		return err
	}
	// The message contains the ID of its tag's key. It is therefore decoded before its tag is verified.
	var hello clientHello
	if err := decodeMode.Unmarshal(body, &hello); err != nil || !hello.valid() {
		return errProtocol
	}
	secret, err := keys.secret(hello.KeyID)
	if err != nil {
		return err
	}
	if c.receiveMAC, err = newMAC(secret, nil, helloPurpose, site); err != nil {
		return err
	}
	if err := c.verifyAndDecode(body, tag, &hello); err != nil {
		return err
	}
	serverNonce := newNonce()
	if err := c.deriveSessionKeys(secret, hello.Nonce, serverNonce, site, false); err != nil {
		return err
	}
	return c.send(serverHello{Nonce: serverNonce})
}

// valid reports whether the message has the supported protocol version, a nonce of the right length and a key ID.
func (h clientHello) valid() bool {
	return h.ProtocolVersion == protocolVersion && len(h.Nonce) == nonceBytes && h.KeyID != ""
}
