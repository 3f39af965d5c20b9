package quic

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/sirupsen/logrus"
)

// Stand-ins for room servers and clients. They speak as much of QUIC as a balancer can see: Initials under
// their real keys, ids in QUIC-LB's form, short headers with a text in place of protected frames.

var resetKey = bytes.Repeat([]byte{9}, 32)

// answerMode is how a stand-in room server treats a client's first Initial.
type answerMode int

const (
	accepts answerMode = iota
	refuses
	hangs
)

// standInServer is one room server.
type standInServer struct {
	name string
	conn *net.UDPConn
	ids  *IDFormat

	mu       sync.Mutex
	mode     answerMode
	initials map[string]int // by the client's first id: how often it came
	conns    map[string]*standInConn
	taken    int
	foreign  int // short packets for ids that it never issued
}

type standInConn struct {
	client []byte // the client's id
	heard  int
}

func random(t testing.TB, n int) []byte {
	b := make([]byte, n)
	if _, err := rand.Read(b); err != nil {
		t.Fatal(err)
	}
	return b
}

func newServer(t testing.TB, name string, ids *IDFormat, mode answerMode) *standInServer {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s := &standInServer{name: name, conn: conn, ids: ids, mode: mode, initials: map[string]int{},
		conns: map[string]*standInConn{}}
	var done sync.WaitGroup
	done.Go(func() { s.serve(t) })
	t.Cleanup(func() { conn.Close(); done.Wait() })
	return s
}

func (s *standInServer) instance(state decide.State) core.Endpoint {
	return core.Endpoint{Name: s.name, Address: s.conn.LocalAddr().String(), Server: decide.Server{
		ID: core.ServerID(s.name), Zone: "a", State: state}}
}

func (s *standInServer) issue(t testing.TB, c *standInConn) []byte {
	id, err := s.ids.Encode(core.ServerID(s.name), random(t, s.ids.nonceLen))
	if err != nil {
		t.Error(err)
	}
	s.conns[string(id)] = c
	return id
}

func (s *standInServer) serve(t testing.TB) {
	buf := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if reply := s.reply(t, clone(buf[:n])); reply != nil {
			s.conn.WriteToUDPAddrPort(reply, from)
		}
	}
}

func (s *standInServer) reply(t testing.TB, raw []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, err := parsePacket(raw, s.ids.Len())
	if err != nil {
		return nil
	}
	if p.long {
		s.initials[string(p.dcid)]++
		switch {
		case s.mode == hangs:
			return nil
		case s.mode == refuses:
			out, err := closePacket(p.dcid, p.scid, p.dcid, connectionRefused, "full")
			if err != nil {
				t.Error(err)
			}
			return out
		}
		c := s.conns["first:"+string(p.dcid)]
		if c == nil {
			c = &standInConn{client: clone(p.scid)}
			s.conns["first:"+string(p.dcid)] = c
			s.taken++
		}
		return serverInitial(t, p, s.issue(t, c))
	}
	c := s.conns[string(p.dcid)]
	if c == nil {
		s.foreign++
		return nil
	}
	c.heard++
	number, text, _ := bytes.Cut(raw[1+s.ids.Len():], []byte{' '})
	if string(text) == "new id" {
		text = s.issue(t, c)
	}
	reply := append([]byte{fixedBit}, c.client...)
	return append(append(append(append(reply, number...), ' '), s.name+" "...), text...)
}

func (s *standInServer) set(mode answerMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *standInServer) counts() (taken, foreign, initials int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.initials {
		initials += n
	}
	return s.taken, s.foreign, initials
}

// serverInitial is a server's first answer, with some CRYPTO data.
func serverInitial(t testing.TB, p packet, id []byte) []byte {
	k, err := initialKeys(p.dcid, serverSide)
	if err != nil {
		t.Error(err)
		return nil
	}
	return sealInitial(k, p.scid, id, append([]byte{frameCrypto, 0, 20}, make([]byte, 20)...))
}

func sealInitial(k keys, dcid, scid, payload []byte) []byte {
	header := appendLong(nil, longForm|fixedBit, version1, dcid, scid)
	header = append(header, 0)
	header = binary.BigEndian.AppendUint16(header, uint16(1+len(payload)+k.aead.Overhead())|1<<14)
	return k.protect(append(header, 0), 1, 0, payload)
}

// standInClient is one client; move gives it another address.
type standInClient struct {
	t       testing.TB
	front   netip.AddrPort
	conn    *net.UDPConn
	first   []byte // its first id
	own     []byte
	server  []byte // the server's id that it uses
	initial []byte
	said    int
}

func newClient(t testing.TB, front netip.AddrPort) *standInClient {
	t.Helper()
	c := &standInClient{t: t, front: front, first: random(t, 8), own: random(t, 5)}
	c.first[0] = 0xff // never in the room servers' form
	k, err := initialKeys(c.first, clientSide)
	if err != nil {
		t.Fatal(err)
	}
	payload := make([]byte, minInitial-64)
	copy(payload, []byte{frameCrypto, 0, 30})
	for i := 33; i < len(payload); i++ {
		payload[i] = framePadding
	}
	c.initial = sealInitial(k, c.first, c.own, payload)
	for len(c.initial) < minInitial {
		c.initial = append(c.initial, 0)
	}
	c.move()
	t.Cleanup(func() { c.conn.Close() })
	return c
}

// move changes the client's address.
func (c *standInClient) move() {
	if c.conn != nil {
		c.conn.Close()
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(c.front))
	if err != nil {
		c.t.Fatal(err)
	}
	c.conn = conn
}

var errNoAnswer = errors.New("no answer")

// exchange sends a datagram, again while nothing comes, and returns the answer.
func (c *standInClient) exchange(raw []byte, again time.Duration, within time.Duration) ([]byte, error) {
	buf := make([]byte, 2048)
	for end := time.Now().Add(within); time.Now().Before(end); {
		if _, err := c.conn.Write(raw); err != nil {
			return nil, err
		}
		c.conn.SetReadDeadline(time.Now().Add(again))
		n, err := c.conn.Read(buf)
		if err == nil {
			return clone(buf[:n]), nil
		}
	}
	return nil, errNoAnswer
}

// open sends the first Initial; a refusal or failure comes as a frame.
func (c *standInClient) open(within time.Duration) (*closeFrame, error) {
	raw, err := c.exchange(c.initial, 150*time.Millisecond, within)
	if err != nil {
		return nil, err
	}
	p, err := parsePacket(raw, len(c.own))
	if err != nil {
		return nil, err
	}
	k, err := initialKeys(c.first, serverSide)
	if err != nil {
		return nil, err
	}
	payload, err := k.unprotect(raw, p)
	if err != nil {
		return nil, err
	}
	c.server = clone(p.scid)
	return findClose(payload)
}

// say sends a text and returns the answer's text. Texts are numbered, so that the second answer to one that was
// sent again is not taken for the answer to the next.
func (c *standInClient) say(text string) (string, error) {
	c.said++
	number := strconv.Itoa(c.said) + " "
	raw := append(append([]byte{fixedBit}, c.server...), number+text...)
	head := string(append([]byte{fixedBit}, c.own...)) + number
	for {
		answer, err := c.exchange(raw, 300*time.Millisecond, 5*time.Second)
		if err != nil {
			return "", err
		}
		if text, ok := strings.CutPrefix(string(answer), head); ok {
			return text, nil
		}
	}
}

// noList and noProbes stand in for discovery and for the line front's probes.
type noList struct{}

func (noList) Watch(context.Context, uint64) {}
func (noList) Fetch(context.Context)         {}
func (noList) SetAddress(string)             {}

type noProbes struct{}

func (noProbes) Probe(context.Context, uint64, core.Upstream) {}
func (noProbes) Remove(decide.ServerID)                       {}

// balancer is a front on a module of its own.
type balancer struct {
	pause  *hotrestart.Pauser
	front  *Frontend
	module *core.Engine
	stop   func()
}

func settings() decide.Settings {
	return decide.Settings{Seed: 5, Zone: "a", MaxAttempts: 3, MaxRetryAfter: 1500 * time.Millisecond,
		Classes: []decide.Class{{Name: "solo-play", LatencyObjective: 300 * time.Millisecond, ClientTimeout: 1200 * time.Millisecond}},
		Safety:  decide.SafetyLimits{DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.3, SlowStartDuration: time.Second, OverloadFactor: 4, OverloadWindow: time.Second}}
}

func newBalancer(t testing.TB, listen string, ids *IDFormat, change func(*Config), known ...core.Endpoint) *balancer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	module, err := core.New(core.Config{Settings: settings(), Known: known, MaxClients: 100, Log: func(string) {}})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Conn: conn, IDs: ids, ResetKey: resetKey, Timeout: 1200 * time.Millisecond, Idle: time.Minute,
		MaxFlows: 100}
	if change != nil {
		change(&cfg)
	}
	front, pause := New(cfg, module, log), hotrestart.NewPauser(conn.SetReadDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { module.Run(ctx, noProbes{}, noList{}) })
	running.Go(func() { front.Serve(ctx, pause) })
	b := &balancer{front: front, pause: pause, module: module}
	b.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	t.Cleanup(b.stop)
	return b
}

func format(t testing.TB, key []byte) *IDFormat {
	t.Helper()
	f, err := NewIDFormat(1, 8, key)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// eventually waits for something that other goroutines bring about.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}
