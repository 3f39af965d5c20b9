package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// roomServer is a stand-in of a room server. It serves QUIC and the line protocol at the same port. It never sends a
// stateless reset, and it gives each connection a new id with each answer, as a client needs one for each new address.
type roomServer struct {
	stage *stage
	name  string
	zone  string
	conn  *net.UDPConn

	listener net.Listener

	mu          sync.Mutex
	lines       map[net.Conn]struct{} // open connections of the line protocol
	rng         *rand.Rand
	connections map[string]*roomConnection // by the client's first destination id, in hexadecimal
	byID        map[string]*roomConnection // by the ids that were issued
	setUp       time.Duration              // from a client's first packet to the answer
	crashed     bool
	crashSoon   func() bool // asked at each client's first packet: whether to crash while the request is set up
}

// roomConnection is a QUIC connection at a room server.
type roomConnection struct {
	firstID  string
	clientID []byte
	ready    time.Time // from when on the answer is sent
	answer   []byte    // the first answer, which is repeated for a repeated first packet
}

func newRoomServer(s *stage, name, zone string) (*roomServer, error) {
	listener, conn, err := listenBoth()
	if err != nil {
		return nil, err
	}
	r := &roomServer{
		stage:       s,
		name:        name,
		zone:        zone,
		conn:        conn,
		listener:    listener,
		lines:       map[net.Conn]struct{}{},
		rng:         rand.New(rand.NewPCG(uint64(serverID(name)), 1)),
		connections: map[string]*roomConnection{},
		byID:        map[string]*roomConnection{},
	}
	go r.serveQUIC()
	go r.serveLines(listener)
	s.onClose(func() { listener.Close(); conn.Close() })
	return r, nil
}

// listenBoth listens at one free port for TCP and UDP.
func listenBoth() (listener net.Listener, conn *net.UDPConn, err error) {
	for range 10 {
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		if conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}); err == nil {
			return listener, conn, nil
		}
		listener.Close()
	}
	return nil, nil, err
}

// entry returns the room server's entry for discovery's list.
func (r *roomServer) entry(lifecycle string) instance {
	return instance{InstanceID: r.name, HostPort: r.conn.LocalAddr().String(), Zone: r.zone, MachineType: "plain-pair",
		Lifecycle: lifecycle, Weight: 1}
}

func (r *roomServer) serveQUIC() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		answer, delay := r.answer(buffer[:n])
		switch {
		case answer == nil:
		case delay > 0:
			time.AfterFunc(delay, func() { r.conn.WriteToUDPAddrPort(answer, from) })
		default:
			r.conn.WriteToUDPAddrPort(answer, from)
		}
	}
}

// answer returns the answer to a datagram, or nil, and the time after which it is sent.
func (r *roomServer) answer(raw []byte) ([]byte, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(raw) > 0 && raw[0]&0x80 != 0 {
		return r.answerInitial(raw)
	}
	if len(raw) < 1+idLength {
		return nil, 0
	}
	c := r.byID[string(raw[1:1+idLength])]
	if c == nil {
		return nil, 0
	}
	text, _, _ := bytes.Cut(raw[1+idLength:], []byte{0})
	id := r.issue(c)
	answer := append([]byte{shortHeader}, c.clientID...)
	answer = append(answer, fmt.Sprintf("%s %s %x", text, r.name, id)...)
	return append(answer, make([]byte, 40)...), 0
}

func (r *roomServer) answerInitial(raw []byte) ([]byte, time.Duration) {
	p, err := readInitial(raw)
	if err != nil {
		return nil, 0
	}
	key := hex.EncodeToString(p.destinationID)
	if c := r.connections[key]; c != nil {
		if time.Now().Before(c.ready) {
			return nil, 0
		}
		return c.answer, 0
	}
	opener, err := newSealer(p.destinationID, "client in")
	if err != nil {
		return nil, 0
	}
	frames, err := opener.open(raw, p)
	if err != nil || len(frames) == 0 || frames[0] != frameCrypto {
		return nil, 0
	}
	keys, err := newSealer(p.destinationID, "server in")
	if err != nil {
		return nil, 0
	}
	c := &roomConnection{firstID: key, clientID: p.sourceID, ready: time.Now().Add(r.setUp)}
	r.connections[key] = c
	c.answer = keys.seal(p.sourceID, r.issue(c), cryptoFrames(r.name, 40))
	r.stage.record.add("room server %s: runs connection %s", r.name, key)
	if r.crashSoon != nil && r.crashSoon() {
		time.AfterFunc(r.setUp/3, r.crash)
	}
	return c.answer, r.setUp
}

// crash ends the room server's process, as far as others can tell: its port is closed.
func (r *roomServer) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed {
		return
	}
	r.crashed = true
	r.conn.Close()
	r.listener.Close()
	for conn := range r.lines {
		conn.Close()
	}
	r.stage.record.add("room server %s: crashes", r.name)
}

// ran returns the connections that the room server has run, by the client's first destination id.
func (r *roomServer) ran() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.connections))
}

// issue returns a new connection id for a connection.
func (r *roomServer) issue(c *roomConnection) []byte {
	nonce := make([]byte, nonceLength)
	for i := range nonce {
		nonce[i] = byte(r.rng.Uint32())
	}
	id := issuedID(r.name, nonce)
	r.byID[string(id)] = c
	return id
}

// serveLines serves the line protocol: probes, and connections whose lines come back.
func (r *roomServer) serveLines(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.lines[conn] = struct{}{}
		r.mu.Unlock()
		go r.serveLine(conn)
	}
}

func (r *roomServer) serveLine(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.lines, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		answer := "SYNTAX"
		switch {
		case len(words) == 1 && words[0] == "PING":
			answer = "PONG"
		case len(words) == 1 && words[0] == "STATS":
			answer = "PONG qps=1,inflight=4,x0=0.20"
		case len(words) == 4 && words[0] == "OPEN":
			r.stage.record.add("room server %s: runs %s", r.name, words[1])
			answer = "UP " + words[1]
		case len(words) > 0 && words[0] == "SAY":
			answer = strings.TrimSpace(line)
		}
		if _, err := conn.Write([]byte(answer + "\r\n")); err != nil {
			return
		}
	}
}
