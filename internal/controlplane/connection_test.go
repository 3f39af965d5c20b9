package controlplane

import (
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"cottonplank/internal/controlplane/replica"

	"github.com/fxamacker/cbor/v2"
)

// encodeFrame returns a frame with the first chunk of a state's snapshot and a valid tag.
func encodeFrame(t *testing.T, peer *secureConn, state replica.State) []byte {
	t.Helper()
	body, err := cbor.Marshal(message{Chunk: &state.Chunks()[0]})
	if err != nil {
		t.Error(err)
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	return append(append(header, body...), frameTag(peer.sendMAC, peer.sendSequence, body)...)
}

// startInvalidServer starts a server that completes the handshake with each follower, and answers its subscription
// with the bytes that invalidFrame returns. The channel receives the error of each connection, nil if the bytes were
// sent.
func startInvalidServer(
	t *testing.T, keys *Keyring, invalidFrame func(peer *secureConn) []byte,
) (replica.Server, <-chan error) {
	t.Helper()
	listener, answered := listen(t), make(chan error, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			peer := newSecureConn(conn)
			var received message
			if err = peer.serverHandshake(keys, "x"); err == nil {
				err = peer.receive(&received, time.Second)
			}
			if err == nil {
				_, err = conn.Write(invalidFrame(peer))
			}
			select {
			case answered <- err:
			default:
			}
			time.Sleep(50 * time.Millisecond)
			conn.Close()
		}
	}()
	return serverAt(listener, "a"), answered
}

// expectOnlyState fails the test unless a follower has applied exactly one state, with the given version.
func expectOnlyState(t *testing.T, follower testFollower, want replica.Version) {
	t.Helper()
	// The state may still be missing in the channel: the follower updates the broadcaster before it calls onState.
	select {
	case applied := <-follower.states:
		if applied.Version != want {
			t.Errorf("version %s was applied, want %s", applied.Version, want)
		}
	case <-time.After(testTimeout):
		t.Error("no state was applied")
	}
	if len(follower.states) > 0 {
		t.Errorf("%d more states were applied", len(follower.states))
	}
}

// A follower rejects frames that are truncated, modified, out of sequence or too long, and then connects to the next
// server. It must not apply the newer version that the invalid frames contain.
func TestInvalidFramesAreRejected(t *testing.T) {
	t.Parallel()
	keys, valid := newTestKeyring(t), NewBroadcaster(replica.State{}, true)
	want := publishDocument(t, valid, documentOf(3, 1))
	newer := publishDocument(t, NewBroadcaster(replica.State{}, true), documentOf(5, 1))
	newer.Version.Term = 9
	for _, test := range []struct {
		name         string
		invalidFrame func(t *testing.T, peer *secureConn) []byte
	}{
		{"truncated", func(t *testing.T, peer *secureConn) []byte {
			frame := encodeFrame(t, peer, newer)
			return frame[:len(frame)-1]
		}},
		{"modified", func(t *testing.T, peer *secureConn) []byte {
			frame := encodeFrame(t, peer, newer)
			frame[len(frame)/2] ^= 1
			return frame
		}},
		{"out of sequence", func(t *testing.T, peer *secureConn) []byte {
			peer.sendSequence += 3
			return encodeFrame(t, peer, newer)
		}},
		{"too long", func(*testing.T, *secureConn) []byte {
			return binary.BigEndian.AppendUint32(nil, replica.MaxMessageBytes+1)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			invalidServer, answered := startInvalidServer(t, keys, func(peer *secureConn) []byte {
				return test.invalidFrame(t, peer)
			})
			validServer, _ := startServer(t, valid, keys, "x")
			validServer.Region = "b"
			follower := startFollower(t, replica.State{}, keys, "x", invalidServer, validServer)
			waitUntil(t, "the valid state", atVersion(follower.broadcaster, want.Version))
			if err := <-answered; err != nil {
				t.Error(err)
			}
			expectOnlyState(t, follower, want.Version)
		})
	}
}

// A frame that is too long is neither read nor sent. A reader rejects it by its header, before it allocates memory
// for the body.
func TestFrameLength(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	go remote.Write(binary.BigEndian.AppendUint32(nil, replica.MaxMessageBytes+1))
	local.SetReadDeadline(time.Now().Add(testTimeout))
	if _, _, err := newSecureConn(local).readFrame(); !errors.Is(err, errFrameTooLong) {
		t.Error(err)
	}
	if err := newSecureConn(local).send(make([]byte, replica.MaxMessageBytes+1)); !errors.Is(err, errFrameTooLong) {
		t.Error(err)
	}
}
