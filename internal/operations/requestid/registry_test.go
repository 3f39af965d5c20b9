package requestid

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// testTimeout bounds the waits of the tests.
const testTimeout = 20 * time.Second

func newTestRegistry() *Registry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(log)
}

// newLink returns the two ends of a link between processes.
func newLink(t *testing.T) (a, b *net.UnixConn) {
	t.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*net.UnixConn
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "link")
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		ends[i] = conn.(*net.UnixConn)
	}
	return ends[0], ends[1]
}

// link connects two registries.
func link(t *testing.T, a, b *Registry) {
	t.Helper()
	endA, endB := newLink(t)
	a.AddPeer(t.Context(), endA)
	b.AddPeer(t.Context(), endB)
	a.WaitForPeers(t.Context(), testTimeout)
	b.WaitForPeers(t.Context(), testTimeout)
}

// An ID is claimed once, here or at a peer, whether it was claimed before the link or after. A released one may be
// claimed again.
func TestClaim(t *testing.T) {
	t.Parallel()
	a, b := newTestRegistry(), newTestRegistry()
	wantClaim(t, a, "before", true)
	link(t, a, b)
	wantClaim(t, a, "after", true)
	wantClaim(t, b, "reverse", true)
	for _, id := range []string{"before", "after", "reverse"} {
		wantClaim(t, a, id, false)
		wantClaim(t, b, id, false)
	}
	a.Release("before")
	for n := range releaseBatch { // releases are told in batches
		id := fmt.Sprint(n)
		wantClaim(t, a, id, true)
		a.Release(id)
	}
	wantClaim(t, b, "before", true)
	wantClaim(t, a, "before", false)
}

func wantClaim(t *testing.T, r *Registry, id string, want bool) {
	t.Helper()
	if got := r.Claim(id); got != want {
		t.Errorf("claim of %q: %v, want %v", id, got, want)
	}
}

// Guards against a request that both processes begin: of two claims of one ID at the same time, at most one succeeds.
func TestSimultaneousClaims(t *testing.T) {
	t.Parallel()
	const ids = 2000
	a, b := newTestRegistry(), newTestRegistry()
	link(t, a, b)
	for n := range ids {
		var claimed atomic.Int32
		var begin, running sync.WaitGroup
		begin.Add(1)
		for _, r := range []*Registry{a, b} {
			running.Go(func() {
				begin.Wait()
				if r.Claim(fmt.Sprint(n)) {
					claimed.Add(1)
				}
			})
		}
		begin.Done()
		running.Wait()
		if claimed.Load() > 1 {
			t.Fatalf("both processes have claimed ID %d", n)
		}
	}
}

// What was claimed before the link is told whole, also if it takes several messages, and also what an earlier process
// has claimed. It stays claimed when that process ends.
func TestThirdProcessKnowsAllClaims(t *testing.T) {
	t.Parallel()
	const ids = 3*idsPerMessage + 1
	first, second, third := newTestRegistry(), newTestRegistry(), newTestRegistry()
	for n := range ids {
		wantClaim(t, first, fmt.Sprint(n), true)
	}
	endFirst, endSecond := newLink(t)
	first.AddPeer(t.Context(), endFirst)
	second.AddPeer(t.Context(), endSecond)
	second.WaitForPeers(t.Context(), testTimeout)
	endFirst.Close()
	link(t, second, third)
	for n := range ids {
		wantClaim(t, third, fmt.Sprint(n), false)
	}
}

// A peer that does not read is given up, and no claim fails or hangs by it.
func TestPeerHangs(t *testing.T) {
	t.Parallel()
	r := newTestRegistry()
	end, _ := newLink(t)
	r.AddPeer(t.Context(), end)
	start := time.Now()
	for n := 0; ; n++ {
		wantClaim(t, r, fmt.Sprint(n), true)
		r.mu.Lock()
		peers := len(r.peers)
		r.mu.Unlock()
		if peers == 0 {
			break
		}
		if time.Since(start) > testTimeout {
			t.Fatal("the peer is not given up")
		}
	}
	r.WaitForPeers(t.Context(), testTimeout)
	wantClaim(t, r, "next", true)
}

// A message of an unknown kind ends the link; all others are read as they were written.
func TestMessages(t *testing.T) {
	t.Parallel()
	m, err := decodeMessage(message{kind: kindClaimed, ids: []string{"a", "b"}}.encode())
	if err != nil || m.kind != kindClaimed || len(m.ids) != 2 || m.ids[0] != "a" || m.ids[1] != "b" {
		t.Errorf("decoded %+v, %v", m, err)
	}
	for _, raw := range []string{"", "x", "?a"} {
		if _, err := decodeMessage([]byte(raw)); !errors.Is(err, errUnknownMessage) {
			t.Errorf("%q: %v, want errUnknownMessage", raw, err)
		}
	}
}
