package quic

import (
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/core"
)

// serverMode is how a fake room server answers a client's first Initial packet.
type serverMode int

const (
	accepts serverMode = iota
	rejects
	ignores
)

// newIDRequest is the text with which a client requests another connection ID.
const newIDRequest = "new id"

// fakeServer is a room server that implements the part of QUIC that a balancer can observe: Initial packets that are
// encrypted with their real keys, connection IDs in QUIC-LB's format, and packets with short headers, which contain a
// plain text in place of encrypted frames.
type fakeServer struct {
	name string
	conn *net.UDPConn
	ids  *IDFormat

	// mu guards the fields below.
	mu   sync.Mutex
	mode serverMode
	// initials holds the number of Initial packets for each destination connection ID.
	initials map[string]int
	// byOriginalID holds the connections by the destination connection ID of the client's first Initial packet.
	byOriginalID map[string]*fakeServerConn
	// byIssuedID holds the connections by the connection IDs that the server has issued.
	byIssuedID map[string]*fakeServerConn
	// accepted is the number of accepted connections.
	accepted int
	// largest is the size of the largest datagram that has arrived, and lastSender the sender of the latest one.
	largest    int
	lastSender netip.AddrPort
	// unknown is the number of short-header packets whose connection ID the server has not issued.
	unknown int
}

// fakeServerConn is a connection at a fakeServer.
type fakeServerConn struct {
	// clientID is the source connection ID of the client's first Initial packet.
	clientID []byte
}

// newFakeServer starts a server that runs until the end of the test.
func newFakeServer(t testing.TB, name string, ids *IDFormat, mode serverMode) *fakeServer {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{
		name:         name,
		conn:         conn,
		ids:          ids,
		mode:         mode,
		initials:     map[string]int{},
		byOriginalID: map[string]*fakeServerConn{},
		byIssuedID:   map[string]*fakeServerConn{},
	}
	var running sync.WaitGroup
	running.Go(func() { s.serve(t) })
	t.Cleanup(func() { conn.Close(); running.Wait() })
	return s
}

// endpoint returns the server's entry for an endpoint list, with the given state.
func (s *fakeServer) endpoint(state decide.State) core.Endpoint {
	return core.Endpoint{
		Name:    s.name,
		Address: s.conn.LocalAddr().String(),
		Server:  decide.Server{ID: core.ServerID(s.name), Zone: "a", State: state},
	}
}

func (s *fakeServer) serve(t testing.TB) {
	buffer := make([]byte, 65535)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.largest, s.lastSender = max(s.largest, n), from
		s.mu.Unlock()
		if response := s.respond(t, clone(buffer[:n])); response != nil {
			s.conn.WriteToUDPAddrPort(response, from)
		}
	}
}

// respond returns the response to a datagram, or nil if there is none.
func (s *fakeServer) respond(t testing.TB, raw []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := parsePacket(raw, s.ids.Len())
	if err != nil {
		return nil
	}
	if p.long {
		return s.respondToInitial(t, p)
	}
	return s.respondToText(t, raw, p)
}

func (s *fakeServer) respondToInitial(t testing.TB, p packet) []byte {
	s.initials[string(p.destinationID)]++
	switch s.mode {
	case ignores:
		return nil
	case rejects:
		raw, err := newClosePacket(p.destinationID, p.sourceID, p.destinationID, connectionRefused, "full")
		if err != nil {
			t.Error(err)
		}
		return raw
	}
	c := s.byOriginalID[string(p.destinationID)]
	if c == nil {
		c = &fakeServerConn{clientID: clone(p.sourceID)}
		s.byOriginalID[string(p.destinationID)] = c
		s.accepted++
	}
	keys, err := newInitialKeys(p.destinationID, serverInitialLabel)
	if err != nil {
		t.Error(err)
		return nil
	}
	cryptoFrame := append([]byte{frameCrypto, 0, 20}, make([]byte, 20)...)
	return sealInitial(keys, p.sourceID, s.issueID(t, c), cryptoFrame)
}

// respondToText returns the response to a numbered text: the number, the server's name and the text, or a new
// connection ID if the text is newIDRequest.
func (s *fakeServer) respondToText(t testing.TB, raw []byte, p packet) []byte {
	c := s.byIssuedID[string(p.destinationID)]
	if c == nil {
		s.unknown++
		return nil
	}
	number, text, _ := bytes.Cut(raw[1+s.ids.Len():], []byte{' '})
	if string(text) == newIDRequest {
		text = s.issueID(t, c)
	}
	response := append([]byte{fixedBit}, c.clientID...)
	response = append(response, number...)
	response = append(response, " "+s.name+" "...)
	return append(response, text...)
}

// issueID returns a new connection ID for a connection.
func (s *fakeServer) issueID(t testing.TB, c *fakeServerConn) []byte {
	id, err := s.ids.Encode(core.ServerID(s.name), randomBytes(t, s.ids.nonceLength))
	if err != nil {
		t.Error(err)
	}
	s.byIssuedID[string(id)] = c
	return id
}

func (s *fakeServer) setMode(mode serverMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// largestDatagram returns the size of the largest datagram that has arrived, and the sender of the latest one.
func (s *fakeServer) largestDatagram() (size int, lastSender netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest, s.lastSender
}

// counts returns the numbers of accepted connections, of packets with unknown connection IDs, and of Initial packets.
func (s *fakeServer) counts() (accepted, unknown, initials int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.initials {
		initials += n
	}
	return s.accepted, s.unknown, initials
}

// sealInitial returns an Initial packet with packet number 0.
func sealInitial(keys *initialKeys, destinationID, sourceID, payload []byte) []byte {
	header := appendLongHeader(nil, longHeader|fixedBit, version1, destinationID, sourceID)
	header = append(header, 0) // the length of the token
	header = binary.BigEndian.AppendUint16(header, uint16(1+len(payload)+keys.aead.Overhead())|1<<14)
	return keys.protect(append(header, 0), 1, 0, payload)
}
