package gossip

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/config"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

// testWait is the longest wait for a condition that usually takes some seconds.
const testWait = 40 * time.Second

func newKey(t *testing.T) token.Key {
	t.Helper()
	key, err := token.NewKey(time.Now().Add(-time.Minute), time.Now().Add(time.Hour), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newRing(t *testing.T, keys ...token.Key) *token.Ring {
	t.Helper()
	ring, err := token.NewRing(keys, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// gossipHost is a loopback address that no other package's tests use. These tests bind many ports. On a shared
// address, they could bind a port that a test of another package has found free but not bound yet.
const gossipHost = "127.81.0.1:0"

// allocated holds the addresses that freeAddress has returned, as keys. A caller may bind its address much later, so
// freeAddress must not return the same one again.
var allocated sync.Map

// freeAddress returns a loopback address whose port is free for both TCP and UDP.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range 50 {
		l, err := net.Listen("tcp", gossipHost)
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(l.Addr().String())
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		l.Close()
		if err == nil {
			u.Close()
			if _, taken := allocated.LoadOrStore(address, true); !taken {
				return address
			}
		}
	}
	t.Fatal("found no address whose port is free for TCP and UDP")
	return netip.AddrPort{}
}

// runningCluster is an instance whose Run is running until stop is called.
type runningCluster struct {
	*Cluster
	stop func()
}

func start(t *testing.T, name string, listen netip.AddrPort, ring *token.Ring,
	seeds ...netip.AddrPort) *runningCluster {
	t.Helper()
	return startVia(t, name, listen, ring, nil, seeds...)
}

// testConfig returns the configuration of an instance that discards its log.
func testConfig(name string, listen netip.AddrPort, ring *token.Ring,
	via map[netip.AddrPort]netip.AddrPort, seeds []netip.AddrPort) Config {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Config{
		Settings: config.Membership{
			Name:                 name,
			Listen:               listen,
			Zone:                 "a",
			Region:               "x",
			Seeds:                seeds,
			DialAddresses:        via,
			MaxPartitionDuration: time.Hour,
		},
		Ring:           ring,
		ConfiguredSize: decide.FleetSize{Fleet: 5, Zone: 5},
		Version:        "test",
		Log:            log,
	}
}

func startVia(t *testing.T, name string, listen netip.AddrPort, ring *token.Ring,
	via map[netip.AddrPort]netip.AddrPort, seeds ...netip.AddrPort) *runningCluster {
	t.Helper()
	c := New(testConfig(name, listen, ring, via, seeds))
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { c.Run(ctx) })
	var once sync.Once
	r := &runningCluster{c, func() { once.Do(func() { cancel(); all.Wait() }) }}
	t.Cleanup(r.stop)
	return r
}

func (r *runningCluster) state(name string) (membership.State, bool) {
	v := r.View()
	if v == nil {
		return 0, false
	}
	for _, m := range v.Members {
		if m.Name == name {
			return m.State, true
		}
	}
	return 0, false
}

func waitFor(t *testing.T, what string, within time.Duration, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > within {
			t.Fatalf("timed out after %v waiting for: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (r *runningCluster) has(name string, state membership.State) func() bool {
	return func() bool {
		s, known := r.state(name)
		return known && s == state
	}
}

func startAll(t *testing.T, n int, ring *token.Ring) []*runningCluster {
	t.Helper()
	seed := freeAddress(t)
	all := []*runningCluster{start(t, "m0", seed, ring, seed)}
	for i := 1; i < n; i++ {
		all = append(all, start(t, fmt.Sprintf("m%d", i), freeAddress(t), ring, seed))
	}
	for _, r := range all {
		waitFor(t, "all members see each other", testWait, func() bool { v := r.View(); return v != nil && v.Alive == n })
	}
	return all
}

// A planned stop must appear as Left, and a process that ends without an announcement as Failed. The divisor must
// still count a failed member, and a member that joins again must be alive for all others.
func TestMembersJoinLeaveAndFail(t *testing.T) {
	t.Parallel()
	all := startAll(t, 5, newRing(t, newKey(t)))
	leaving := time.Now()
	all[4].Leave()
	for _, r := range all[:4] {
		waitFor(t, "m4 has left", 5*time.Second, r.has("m4", membership.Left))
	}
	t.Logf("m4 has left after %v", time.Since(leaving).Round(time.Millisecond))
	all[3].AbandonMembership() // as if its process had been killed: no announcement
	for _, r := range all[:3] {
		took := waitFor(t, "m3 has failed", testWait, r.has("m3", membership.Failed))
		t.Logf("m3 has failed after %v", took.Round(time.Millisecond))
	}
	if v := all[0].View(); v.Divisors.Cluster < 4 {
		t.Errorf("cluster divisor is %d right after a failure, want at least 4", v.Divisors.Cluster)
	}
	all[3].SetMember(true)
	for _, r := range all[:3] {
		waitFor(t, "m3 is alive again", testWait, r.has("m3", membership.Alive))
	}
}

// On a hot restart the replacement process continues the membership under the same name and address. No other member
// may see the instance fail or leave.
func TestHotRestartKeepsOneMember(t *testing.T) {
	t.Parallel()
	ring := newRing(t, newKey(t))
	all := startAll(t, 4, ring)
	replacement := start(t, "m3", all[3].cfg.Settings.Listen, ring, all[0].cfg.Settings.Listen)
	time.Sleep(500 * time.Millisecond)
	all[3].AbandonMembership()
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range all[:3] {
			if state, _ := r.state("m3"); state == membership.Failed || state == membership.Left {
				t.Fatalf("%s sees m3 as %v during the hot restart", r.cfg.Settings.Name, state)
			}
		}
	}
	waitFor(t, "the replacement process sees all members", testWait, func() bool {
		view := replacement.View()
		return view != nil && view.Alive == 4
	})
}

// If two live processes are configured with the same name, the process that started later must end its membership, and
// the first process must stay a member.
func TestSecondProcessOfOneNameIsRejected(t *testing.T) {
	t.Parallel()
	ring := newRing(t, newKey(t))
	all := startAll(t, 3, ring)
	time.Sleep(20 * time.Millisecond) // the second process must have a higher incarnation, which counts milliseconds
	second := start(t, "m2", freeAddress(t), ring, all[0].cfg.Settings.Listen)
	waitFor(t, "the second process has a view", testWait, func() bool { return second.View() != nil })
	waitFor(t, "the second process is rejected", testWait, func() bool { return second.View() == nil })
	if state, _ := all[0].state("m2"); state != membership.Alive || all[2].View() == nil {
		t.Errorf("m0 sees the first process as %v, want alive; the first process must keep its view", state)
	}
}

// An instance that fails and starts again at another address must become alive under its name. It could not if the
// library kept the name bound to the earlier address.
func TestInstanceMovesToAnotherAddress(t *testing.T) {
	t.Parallel()
	ring := newRing(t, newKey(t))
	all := startAll(t, 4, ring)
	all[3].AbandonMembership()
	moved := start(t, "m3", freeAddress(t), ring, all[0].cfg.Settings.Listen)
	for _, r := range all[:3] {
		waitFor(t, "m3 is alive at its new address", 2*testWait, func() bool {
			address := moved.cfg.Settings.Listen.String()
			for _, m := range r.View().Members {
				if m.Name == "m3" && m.State == membership.Alive && m.Address == address {
					return true
				}
			}
			return false
		})
	}
}

// Two clusters with different keys must not merge, even if an instance of one cluster has a seed in the other cluster.
// Their frames must be rejected and counted.
func TestClustersWithOtherKeysDoNotMerge(t *testing.T) {
	t.Parallel()
	ours := startAll(t, 2, newRing(t, newKey(t)))
	theirs := start(t, "x0", freeAddress(t), newRing(t, newKey(t)), ours[0].cfg.Settings.Listen)
	waitFor(t, "a frame is rejected", testWait, func() bool { return ours[0].Stats().Rejected > 0 })
	time.Sleep(2 * time.Second)
	if v := theirs.View(); v.Alive != 1 {
		t.Errorf("the instance with other keys sees %d live members, want only itself", v.Alive)
	}
	if v := ours[0].View(); v.Alive != 2 || len(v.Members) != 2 {
		t.Errorf("%d members, %d alive; want 2, 2", len(v.Members), v.Alive)
	}
}

// Anybody can send frames to the gossip address. Malformed, too long and replayed frames must be counted, and no
// member may be lost because of them.
func TestInvalidFramesAreCounted(t *testing.T) {
	t.Parallel()
	all := startAll(t, 3, newRing(t, newKey(t)))
	to := all[0].cfg.Settings.Listen
	conn, err := net.Dial("udp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	frame := []byte(strings.Repeat("invalid", 20))
	for range 3 {
		conn.Write(frame)
	}
	conn.Write(make([]byte, 8000))
	waitFor(t, "the rejected, replayed and too long datagrams are counted", testWait, func() bool {
		f := all[0].Stats()
		return f.Rejected >= 1 && f.Replayed >= 2 && f.TooLong >= 1
	})
	stream, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	before := all[0].Stats().Rejected
	stream.Write(frame)
	waitFor(t, "the stream is rejected", testWait, func() bool { return all[0].Stats().Rejected > before })
	if v := all[0].View(); v.Alive != 3 {
		t.Errorf("%d members alive after invalid frames, want 3", v.Alive)
	}
}

// Keys are rotated in three steps, as for session tokens: all members decrypt with the new key, then the new key
// encrypts, then the old key is removed. This test makes the first two steps at once and changes the keys of one member
// after another. All members must be alive at the end.
func TestKeysAreRotated(t *testing.T) {
	t.Parallel()
	old, next := newKey(t), newKey(t)
	next.NotBefore = old.NotBefore.Add(time.Second) // so that the new key encrypts as soon as it is installed
	all := startAll(t, 3, newRing(t, old))
	for _, ring := range []*token.Ring{newRing(t, old, next), newRing(t, next)} {
		for _, r := range all {
			r.SetKeys(ring)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second)
	for _, r := range all {
		if v := r.View(); v.Alive != 3 || v.Isolated {
			t.Errorf("%s: %d alive, isolated %v", r.cfg.Settings.Name, v.Alive, v.Isolated)
		}
	}
}

// An instance whose seeds do not answer must stay a cluster of one. It must not be admitted, and it must divide
// budgets by the configured fleet size, because other instances may be running.
func TestUnreachableSeeds(t *testing.T) {
	t.Parallel()
	r := start(t, "m0", freeAddress(t), newRing(t, newKey(t)), freeAddress(t), freeAddress(t))
	waitFor(t, "a view", testWait, func() bool { return r.View() != nil })
	time.Sleep(3 * time.Second)
	if v := r.View(); v.Alive != 1 || v.Divisors.Admitted || v.Divisors.Cluster != 5 {
		t.Errorf("with unreachable seeds: divisors %+v; want one live member, 5 for the cluster, not admitted", v.Divisors)
	}
}
