package controlplane

import (
	"crypto/rand"
	"time"

	"cottonplank/internal/controlplane/replica"
)

// newNonce returns random bytes for one handshake.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// clientHandshake authenticates a follower and its server to each other, on the follower's side.
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
	// The key of the answer's tag depends on the nonce in the answer, which is therefore decoded before it is
	// verified.
	var answer serverHello
	if err := decodeMode.Unmarshal(body, &answer); err != nil || len(answer.Nonce) != nonceBytes {
		return errProtocol
	}
	if err := c.deriveSessionKeys(secret, clientNonce, answer.Nonce, site, true); err != nil {
		return err
	}
	return c.verifyAndDecode(body, tag, &answer)
}

// serverHandshake authenticates a follower and its server to each other, on the server's side.
func (c *secureConn) serverHandshake(keys *Keyring, site string) error {
	c.conn.SetReadDeadline(time.Now().Add(replica.ReplyTimeout))
	body, tag, err := c.readFrame()
	if err != nil {
		return err
	}
	// The key of the tag is named in the message, which is therefore decoded before it is verified.
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

// valid reports whether a server of this protocol version can answer the message.
func (h clientHello) valid() bool {
	return h.ProtocolVersion == protocolVersion && len(h.Nonce) == nonceBytes && h.KeyID != ""
}
