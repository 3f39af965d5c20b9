package quic

import (
	"crypto/rand"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"
)

var errNoResponse = errors.New("no response")

func randomBytes(t testing.TB, n int) []byte {
	b := make([]byte, n)
	if _, err := rand.Read(b); err != nil {
		t.Fatal(err)
	}
	return b
}

// fakeClient is a QUIC client that implements the part of the protocol that fakeServer implements: Initial packets,
// connection IDs, and packets with short headers that contain a plain text.
type fakeClient struct {
	t        testing.TB
	frontend netip.AddrPort
	conn     *net.UDPConn
	// originalID is the destination connection ID of the first Initial packet.
	originalID []byte
	// ownID is the client's source connection ID.
	ownID []byte
	// serverID is the destination connection ID of the client's packets with short headers.
	serverID []byte
	// initial is the datagram with the first Initial packet.
	initial []byte
	// sent is the number of texts that were sent, without repetitions.
	sent int
}

func newFakeClient(t testing.TB, frontend netip.AddrPort) *fakeClient {
	t.Helper()
	c := &fakeClient{t: t, frontend: frontend, originalID: randomBytes(t, 8), ownID: randomBytes(t, 5)}
	c.originalID[0] = 0xff // room servers never issue IDs with this first octet, because its config ID 7 is reserved
	c.initial = c.paddedInitial([]byte{frameCrypto, 0, 30})
	c.changeAddress()
	t.Cleanup(func() { c.conn.Close() })
	return c
}

// paddedInitial returns a datagram of minInitialSize with an Initial packet that contains a frame and PADDING frames.
func (c *fakeClient) paddedInitial(frame []byte) []byte {
	c.t.Helper()
	keys, err := newInitialKeys(c.originalID, clientInitialLabel)
	if err != nil {
		c.t.Fatal(err)
	}
	payload := make([]byte, minInitialSize-64)
	copy(payload, frame)
	raw := sealInitial(keys, c.originalID, c.ownID, payload)
	return append(raw, make([]byte, minInitialSize-len(raw))...)
}

// changeAddress replaces the client's socket by one with another local address.
func (c *fakeClient) changeAddress() {
	if c.conn != nil {
		c.conn.Close()
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(c.frontend))
	if err != nil {
		c.t.Fatal(err)
	}
	c.conn = conn
}

// exchange sends a datagram and repeats it at the given interval until there is a response. It returns errNoResponse
// after the timeout.
func (c *fakeClient) exchange(raw []byte, interval, timeout time.Duration) ([]byte, error) {
	buffer := make([]byte, 65535)
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if _, err := c.conn.Write(raw); err != nil {
			return nil, err
		}
		c.conn.SetReadDeadline(time.Now().Add(interval))
		n, err := c.conn.Read(buffer)
		if err == nil {
			return clone(buffer[:n]), nil
		}
	}
	return nil, errNoResponse
}

// open sends the first Initial packet and repeats it until there is a response. If the response rejects the
// connection, open returns its CONNECTION_CLOSE frame.
func (c *fakeClient) open(timeout time.Duration) (*closeFrame, error) {
	raw, err := c.exchange(c.initial, 150*time.Millisecond, timeout)
	if err != nil {
		return nil, err
	}
	p, err := parsePacket(raw, len(c.ownID))
	if err != nil {
		return nil, err
	}
	keys, err := newInitialKeys(c.originalID, serverInitialLabel)
	if err != nil {
		return nil, err
	}
	payload, err := keys.unprotect(raw, p)
	if err != nil {
		return nil, err
	}
	c.serverID = clone(p.sourceID)
	return findClose(payload)
}

// mustOpen opens the connection. The test fails if the connection is rejected or no response arrives.
func (c *fakeClient) mustOpen() {
	c.t.Helper()
	if closed, err := c.open(5 * time.Second); err != nil || closed != nil {
		c.t.Fatalf("open: %+v, %v", closed, err)
	}
}

// call sends a text and returns the text of the response. Texts are numbered: a repeated text may get two responses,
// and the second one must not be mistaken for the response to the next text.
func (c *fakeClient) call(text string) (string, error) {
	c.sent++
	number := strconv.Itoa(c.sent) + " "
	request := append([]byte{fixedBit}, c.serverID...)
	request = append(request, number+text...)
	prefix := string(append([]byte{fixedBit}, c.ownID...)) + number
	for {
		response, err := c.exchange(request, 300*time.Millisecond, 5*time.Second)
		if err != nil {
			return "", err
		}
		if text, ok := strings.CutPrefix(string(response), prefix); ok {
			return text, nil
		}
	}
}

// shortPacket returns a datagram of the given size with a short header and a connection ID. The remaining bytes are
// zero.
func shortPacket(id []byte, size int) []byte {
	raw := make([]byte, size)
	raw[0] = fixedBit
	copy(raw[1:], id)
	return raw
}
