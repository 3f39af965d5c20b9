package main

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cottonplank/internal/core"
	"cottonplank/internal/frontend/quic"
)

// quicDeployment is a deployment with the QUIC front, and a room server that records who sends it datagrams.
type quicDeployment struct {
	*deployment
	fronts string
	front  string       // address of the QUIC front
	room   *net.UDPConn // socket of the room server
	id     []byte       // a connection ID that the room server has issued
	number byte         // last byte of the latest packet, which tells repeated packets from later ones
}

func newQUICDeployment(t *testing.T) *quicDeployment {
	t.Helper()
	room, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { room.Close() })
	d := newDeployment(t)
	d.server = room.LocalAddr().String()
	q := &quicDeployment{d, filepath.Join(d.dir, "fronts.json"), freeAddress(t), room, nil, 0}
	ids, err := quic.NewIDFormat(0, 8, make([]byte, 16))
	if err != nil {
		t.Fatal(err)
	}
	if q.id, err = ids.Encode(core.ServerID("s-1"), make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	const format = `{"quic":{"listen":%q,"class":"solo-play","config_id":0,"nonce_length":8,` +
		`"id_key":"00000000000000000000000000000000","reset_key":%q,"idle_s":30}}`
	replaceFile(t, q.fronts, fmt.Sprintf(format, q.front, fmt.Sprintf("%064d", 0)))
	return q
}

// startWithFronts starts a process that reads the fronts file.
func (q *quicDeployment) startWithFronts(discovery string) *process {
	q.t.Helper()
	return q.start(discovery, serveEnvironment+"=", argumentsEnvironment+"=serve -fronts "+q.fronts)
}

// senderOf sends a packet of the established connection from conn until the room server gets it, and returns the
// address of the balancer's socket from which it came.
func (q *quicDeployment) senderOf(conn net.Conn) string {
	q.t.Helper()
	packet := append([]byte{0x40}, q.id...) // a short header
	packet = append(packet, make([]byte, 30)...)
	q.number++
	packet[len(packet)-1] = q.number
	buffer := make([]byte, 2048)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		conn.Write(packet)
		q.room.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, from, err := q.room.ReadFrom(buffer)
		if err == nil && n > 0 && buffer[n-1] == q.number {
			return from.String()
		}
	}
	q.t.Fatal("no packet reaches the room server")
	return ""
}

// Guards against a replacement process that takes the datagrams of the previous process's flows for its own: while the
// previous process runs, they pass through it, and the room server sees them from the same address. After its end the
// replacement restores the connection.
func TestDatagramsReachThePreviousProcess(t *testing.T) {
	q := newQUICDeployment(t)
	discovery := q.startDiscovery(false)
	previous := q.startWithFronts(discovery).waitReady()
	conn, err := net.Dial("udp", q.front)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	first := q.senderOf(conn)
	next := q.startWithFronts(discovery).waitReady()
	for range 3 {
		if from := q.senderOf(conn); from != first {
			t.Fatalf("the packet came from %s, want %s, the previous process's socket", from, first)
		}
	}
	previous.signal(syscall.SIGTERM)
	previous.waitExit()
	if from := q.senderOf(conn); from == first {
		t.Errorf("the packet came from %s after the end of the previous process", from)
	}
	next.signal(syscall.SIGTERM)
	next.waitExit()
}
