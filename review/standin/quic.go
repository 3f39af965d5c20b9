package main

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The fronts file's settings of the QUIC frontend. The ids of room servers are in plaintext.
const (
	quicConfigID    = 0
	quicNonceLength = 8
)

// initialSalt is the salt for the Initial secrets of version 1 (RFC 9001, section 5.2).
var initialSalt = []byte{0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17, 0x9a, 0xe6, 0xa4, 0xc8, 0x0c,
	0xad, 0xcc, 0xbb, 0x7f, 0x0a}

// writeFronts writes a fronts file that enables the QUIC frontend for a class, and returns its path.
func writeFronts(folder, listen, className string) string {
	raw, err := json.Marshal(map[string]any{"quic": map[string]any{
		"listen": listen, "class": className, "config_id": quicConfigID, "nonce_length": quicNonceLength,
		"reset_key": hex.EncodeToString(make([]byte, 32)), "idle_s": 30, "max_flows": 64,
	}})
	must(err)
	path := filepath.Join(folder, "fronts.json")
	must(os.WriteFile(path, raw, 0o600))
	return path
}

// expandLabel is HKDF-Expand-Label of TLS 1.3 with an empty context.
func expandLabel(secret []byte, label string, length int) []byte {
	label = "tls13 " + label
	info := binary.BigEndian.AppendUint16(nil, uint16(length))
	info = append(append(append(info, byte(len(label))), label...), 0)
	out, err := hkdf.Expand(sha256.New, secret, string(info), length)
	must(err)
	return out
}

// sealInitial returns an Initial packet with the payload and packet number 0, protected with the keys of one side.
func sealInitial(originalID, destination, source []byte, side string, payload []byte) []byte {
	initial, err := hkdf.Extract(sha256.New, originalID, initialSalt)
	must(err)
	secret := expandLabel(initial, side, sha256.Size)
	block, err := aes.NewCipher(expandLabel(secret, "quic key", 16))
	must(err)
	aead, err := cipher.NewGCM(block)
	must(err)
	mask, err := aes.NewCipher(expandLabel(secret, "quic hp", 16))
	must(err)
	header := []byte{0xc0, 0, 0, 0, 1, byte(len(destination))}
	header = append(append(header, destination...), byte(len(source)))
	header = append(append(header, source...), 0)
	header = binary.BigEndian.AppendUint16(header, 0x4000|uint16(1+len(payload)+aead.Overhead()))
	header = append(header, 0) // the packet number, in one byte
	raw := aead.Seal(bytes.Clone(header), expandLabel(secret, "quic iv", 12), payload, header)
	var bits [aes.BlockSize]byte
	number := len(header) - 1
	mask.Encrypt(bits[:], raw[number+4:number+4+aes.BlockSize])
	raw[0] ^= bits[0] & 0x0f
	raw[number] ^= bits[1]
	return raw
}

// clientInitial returns a datagram with a client's first Initial packet: a CRYPTO frame and padding.
func clientInitial(originalID, clientID []byte) []byte {
	payload := make([]byte, 1200-64)
	copy(payload, []byte{0x06, 0, 30})
	raw := sealInitial(originalID, originalID, clientID, "client in", payload)
	return append(raw, make([]byte, 1200-len(raw))...)
}

func randomBytes(n int) []byte {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return raw
}

// longIDs returns the connection ids of a long header.
func longIDs(raw []byte) (destination, source []byte, ok bool) {
	if len(raw) < 7 || raw[0]&0x80 == 0 {
		return nil, nil, false
	}
	n := int(raw[5])
	if len(raw) < 7+n {
		return nil, nil, false
	}
	m := int(raw[6+n])
	if len(raw) < 7+n+m {
		return nil, nil, false
	}
	return raw[6 : 6+n], raw[7+n : 7+n+m], true
}

// quicRoom is the stand-in for a room server that speaks QUIC. It answers a client's first Initial packet after its
// set-up time.
type quicRoom struct {
	name    string
	address string
	conn    *net.UDPConn
	setup   time.Duration

	mutex sync.Mutex
	got   map[string]time.Time // by the client's first destination connection id
	// started is signalled with the id of each request that is received for the first time.
	started chan string
}

func newQUICRoom(name string, setup time.Duration) *quicRoom {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(err)
	r := &quicRoom{name: name, address: conn.LocalAddr().String(), conn: conn, setup: setup, got: map[string]time.Time{},
		started: make(chan string, 64)}
	go r.serve()
	return r
}

func (r *quicRoom) entry(lifecycle string) instance {
	return instance{InstanceID: r.name, HostPort: r.address, Zone: "rennes", MachineType: "fast-pair", Cell: 1,
		Lifecycle: lifecycle, Weight: 1}
}

// connectionID returns a connection id that the room server issues, in QUIC-LB's form.
func (r *quicRoom) connectionID() []byte {
	hash := fnv.New32a()
	hash.Write([]byte(r.name))
	id := []byte{quicConfigID<<5 | (4 + quicNonceLength)}
	id = binary.BigEndian.AppendUint32(id, hash.Sum32())
	return append(id, randomBytes(quicNonceLength)...)
}

func (r *quicRoom) serve() {
	raw := make([]byte, 65536)
	for {
		n, from, err := r.conn.ReadFromUDP(raw)
		if err != nil {
			return
		}
		destination, source, ok := longIDs(raw[:n])
		if !ok {
			continue
		}
		id := hex.EncodeToString(destination)
		r.mutex.Lock()
		_, known := r.got[id]
		if !known {
			r.got[id] = time.Now()
		}
		r.mutex.Unlock()
		record("%s: Initial of request %s, %d bytes, new %v", r.name, id, n, !known)
		if known {
			continue
		}
		r.started <- id
		answer := sealInitial(destination, source, r.connectionID(), "server in",
			append([]byte{0x06, 0, 30}, make([]byte, 200)...))
		time.AfterFunc(r.setup, func() { _, _ = r.conn.WriteToUDP(answer, from) })
	}
}

// crash ends the room server: its port is closed.
func (r *quicRoom) crash() {
	record("%s crashes", r.name)
	_ = r.conn.Close()
}

// has returns whether the room server has received a request.
func (r *quicRoom) has(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, ok := r.got[id]
	return ok
}

// quicAnswer describes the answer to a client's Initial packet by its source connection id: a room server's name, or
// "balancer" for the balancer's own refusal or failure.
func quicAnswer(raw []byte, originalID []byte, rooms ...*quicRoom) string {
	_, source, ok := longIDs(raw)
	if !ok {
		return "a datagram that is no long header"
	}
	if bytes.Equal(source, originalID) {
		return "balancer"
	}
	for _, r := range rooms {
		if len(source) >= 5 && bytes.Equal(source[:5], r.connectionID()[:5]) {
			return r.name
		}
	}
	return "unknown"
}
