package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Times of a QUIC client. A datagram without an answer is sent again, each time after twice the wait. The first wait is
// that of a client that knows the round-trip time from an earlier connection (RFC 9002, section 6.2.2).
const (
	firstRepeat = 250 * time.Millisecond
	lastRepeat  = 2 * time.Second
)

// What a client may get.
const (
	gotUp      = "up"
	gotRefused = "refused"
	gotFailed  = "failed"
	gotEcho    = "echo"
	gotReset   = "reset" // a stateless reset
	gotNothing = "nothing"
)

// quicClient is a stand-in of a client that speaks QUIC. One goroutine owns it.
type quicClient struct {
	stage    *stage
	name     string
	rng      *rand.Rand
	balancer *net.UDPAddr
	conn     *net.UDPConn
	firstID  []byte
	sourceID []byte
	id       []byte   // the room server's connection id that is in use
	nextID   []byte   // an id that was not used yet
	usedIDs  [][]byte // the ids that were used, whose reset tokens are valid
	server   string   // the room server that holds the connection
	said     int
}

func newQUICClient(s *stage, name, balancer string, seed uint64) (*quicClient, error) {
	address, err := net.ResolveUDPAddr("udp", balancer)
	if err != nil {
		return nil, err
	}
	c := &quicClient{stage: s, name: name, rng: rand.New(rand.NewPCG(seed, 2)), balancer: address}
	if err := c.walk(false); err != nil {
		return nil, err
	}
	s.onClose(func() { c.conn.Close() })
	return c, nil
}

// randomID returns a random connection id.
func (c *quicClient) randomID(length int) []byte {
	id := make([]byte, length)
	for i := range id {
		id[i] = byte(c.rng.Uint32())
	}
	return id
}

// walk gives the client another address and, if it has a connection, another connection id, as RFC 9000 asks in
// section 9.5.
func (c *quicClient) walk(newID bool) error {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = conn
	if newID {
		c.use(c.nextID)
	}
	return nil
}

func (c *quicClient) use(id []byte) {
	c.id = id
	c.usedIDs = append(c.usedIDs, id)
}

// open begins a connection and returns the final answer, or gotNothing if none came within the time. A firstID of nil
// stands for a random one of 8 bytes.
func (c *quicClient) open(firstID []byte, within time.Duration) string {
	if firstID == nil {
		firstID = c.randomID(8)
	}
	c.firstID, c.sourceID = firstID, c.randomID(8)
	c.id, c.nextID, c.usedIDs, c.server = nil, nil, nil, ""
	keys, err := newSealer(c.firstID, "client in")
	if err != nil {
		return err.Error()
	}
	raw := keys.seal(c.firstID, c.sourceID, cryptoFrames("hello", clientInitialSize-60))
	raw = append(raw, make([]byte, max(clientInitialSize-len(raw), 0))...)
	result := c.exchange(raw, within, func(answer []byte) string {
		if len(answer) > 0 && answer[0]&0x80 != 0 {
			return c.readInitialAnswer(answer)
		}
		return ""
	})
	c.stage.record.add("client %s at %s: request with first id %x: %s %s", c.name, c.address(), c.firstID, result,
		c.server)
	return result
}

// address returns the client's present address.
func (c *quicClient) address() string { return c.conn.LocalAddr().String() }

func (c *quicClient) readInitialAnswer(raw []byte) string {
	p, err := readInitial(raw)
	if err != nil || !bytes.Equal(p.destinationID, c.sourceID) {
		return ""
	}
	keys, err := newSealer(c.firstID, "server in")
	if err != nil {
		return ""
	}
	frames, err := keys.open(raw, p)
	if err != nil {
		return ""
	}
	if code, ok := closeCode(frames); ok {
		if code == 2 {
			return gotRefused
		}
		return gotFailed
	}
	if len(frames) < 3 || frames[0] != frameCrypto || len(frames) < 3+int(frames[2]) {
		return ""
	}
	c.server = string(frames[3 : 3+int(frames[2])])
	c.use(p.sourceID)
	return gotUp
}

// say sends a text and returns gotEcho if the room server answers, gotReset after a stateless reset, or gotNothing.
func (c *quicClient) say(within time.Duration) string {
	c.said++
	text := fmt.Sprintf("say-%s-%d", c.name, c.said)
	raw := append([]byte{shortHeader}, c.id...)
	raw = append(raw, text...)
	raw = append(raw, make([]byte, 60)...)
	result := c.exchange(raw, within, func(answer []byte) string {
		if c.isReset(answer) {
			return gotReset
		}
		if len(answer) < 1+len(c.sourceID) || !bytes.Equal(answer[1:1+len(c.sourceID)], c.sourceID) {
			return ""
		}
		content, _, _ := strings.Cut(string(answer[1+len(c.sourceID):]), "\x00")
		words := strings.Fields(content)
		if len(words) != 3 || words[0] != text {
			return ""
		}
		if id, err := hex.DecodeString(words[2]); err == nil {
			c.nextID = id
		}
		if words[1] != c.server {
			c.stage.record.add("client %s: answered by %s, held by %s", c.name, words[1], c.server)
		}
		return gotEcho
	})
	c.stage.record.add("client %s at %s: line %d with id %x: %s", c.name, c.address(), c.said, c.id, result)
	return result
}

// isReset reports whether a datagram is a stateless reset for an id that the client has used.
func (c *quicClient) isReset(raw []byte) bool {
	if len(raw) < 21 || raw[0]&0x80 != 0 {
		return false
	}
	for _, id := range c.usedIDs {
		if bytes.Equal(raw[len(raw)-resetTokenLength:], resetToken(id)) {
			return true
		}
	}
	return false
}

// exchange sends a datagram, again while it is not answered, until read returns a result or the time is over.
func (c *quicClient) exchange(raw []byte, within time.Duration, read func(answer []byte) string) string {
	end := time.Now().Add(within)
	buffer := make([]byte, 2048)
	for wait := firstRepeat; time.Now().Before(end); wait = min(2*wait, lastRepeat) {
		if _, err := c.conn.WriteToUDP(raw, c.balancer); err != nil {
			c.stage.record.add("client %s: %v", c.name, err)
		}
		deadline := time.Now().Add(wait)
		if deadline.After(end) {
			deadline = end
		}
		for time.Now().Before(deadline) {
			c.conn.SetReadDeadline(deadline)
			n, err := c.conn.Read(buffer)
			if err != nil {
				continue
			}
			if result := read(buffer[:n]); result != "" {
				return result
			}
		}
	}
	return gotNothing
}
