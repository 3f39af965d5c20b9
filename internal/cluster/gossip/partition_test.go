package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cottonplank/internal/cluster/membership"
	"cottonplank/internal/session/token"
	"cottonplank/internal/testbench/faultproxy"
)

// network connects members through a separate fault-injecting proxy for each ordered pair of members.
type network struct {
	addresses []netip.AddrPort
	paths     [][]*faultproxy.Path
	via       []map[netip.AddrPort]netip.AddrPort
}

func newNetwork(t *testing.T, n int) *network {
	t.Helper()
	w := &network{}
	for i := range n {
		w.addresses = append(w.addresses, freeAddress(t))
		w.paths = append(w.paths, nil)
		w.via = append(w.via, map[netip.AddrPort]netip.AddrPort{})
		for j := range n {
			w.paths[i] = append(w.paths[i], faultproxy.NewPath(uint64(i*n+j)))
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				w.via[i][w.addresses[j]] = w.open(t, i, j)
			}
		}
	}
	return w
}

// open starts the proxy for frames from member i to member j and returns the proxy's address.
func (w *network) open(t *testing.T, i, j int) netip.AddrPort {
	t.Helper()
	address := w.openStreams(t, i, j)
	datagrams, err := faultproxy.NewDatagramProxy(address, w.addresses[j], w.paths[i][j])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(datagrams.Close)
	return address
}

// openStreams is like open for streams only: datagrams from member i to member j are lost.
func (w *network) openStreams(t *testing.T, i, j int) netip.AddrPort {
	t.Helper()
	address, to := freeAddress(t), w.addresses[j].String()
	link := faultproxy.NewLinkWithPaths(w.paths[i][j], w.paths[j][i], func(*faultproxy.Port) string { return to })
	streams, err := link.PortAt(i, address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(streams.Close)
	return address
}

// set applies network conditions to the selected paths.
func (w *network) set(c faultproxy.Conditions, selected func(from, to int) bool) {
	for i := range w.paths {
		for j := range w.paths {
			if i != j && selected(i, j) {
				w.paths[i][j].Set(c)
			}
		}
	}
}

func (w *network) start(t *testing.T, ring *token.Ring) (all []*runningCluster) {
	t.Helper()
	for i, address := range w.addresses {
		all = append(all, startVia(t, fmt.Sprintf("m%d", i), address, ring, w.via[i], w.addresses[0]))
	}
	return all
}

func waitAlive(t *testing.T, all []*runningCluster, within time.Duration) {
	t.Helper()
	for _, r := range all {
		waitFor(t, r.cfg.Settings.Name+" sees all members alive", within, func() bool {
			view := r.View()
			return view != nil && view.Alive == len(all)
		})
	}
}

// If 40 % of the datagrams and dials are lost while all members start, they must still discover each other, and none
// may be declared failed. The library without this package's state machine passes this test as well.
func TestStartUnderLoss(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 5)
	w.set(faultproxy.Conditions{Loss: 0.4}, func(int, int) bool { return true })
	all := w.start(t, newRing(t, newKey(t)))
	waitAlive(t, all, testWait)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range all {
			if v := r.View(); v.Failed > 0 {
				t.Fatalf("%s sees %d failed members under packet loss, want 0", r.cfg.Settings.Name, v.Failed)
			}
		}
	}
}

// Guards against a member that learns of another one only after 30 s or more, with the library's own exchanges of
// states, because the gossip about it was lost. Here all datagrams to the member are lost.
//
// Known fault: this test fails (KNOWN-RED.txt).
func TestLostGossipIsMadeUpAfterStart(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 3)
	for _, from := range []int{0, 2} {
		w.via[from][w.addresses[1]] = w.openStreams(t, from, 1)
	}
	ring := newRing(t, newKey(t))
	start := func(i int) *runningCluster {
		return startVia(t, fmt.Sprintf("m%d", i), w.addresses[i], ring, w.via[i], w.addresses[0])
	}
	start(0)
	member := start(1)
	waitFor(t, "m1 knows m0", testWait, member.has("m0", membership.Alive))
	start(2)
	waitFor(t, "m1 knows m2", 20*time.Second, member.has("m2", membership.Alive))
}

// If a fault of the network blocks one direction, a member only receives, or only sends. It must recognize that it is
// isolated, declare no member failed and keep its divisor. Keys are replaced during the fault; after the fault, all
// members must discover each other without intervention.
func TestAsymmetricPartitionOfOneMember(t *testing.T) {
	t.Parallel()
	const isolated = 3
	for name, lostPaths := range map[string]func(from, to int) bool{
		"only receives": func(from, _ int) bool { return from == isolated },
		"only sends":    func(_, to int) bool { return to == isolated },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newNetwork(t, 5)
			old, next := newKey(t), newKey(t)
			next.NotBefore = old.NotBefore.Add(time.Second)
			all := w.start(t, newRing(t, old))
			waitAlive(t, all, testWait)
			w.set(faultproxy.Conditions{Cut: true}, lostPaths)
			waitFor(t, "the member is isolated", testWait, func() bool { return all[isolated].View().Isolated })
			for _, r := range all {
				r.SetKeys(newRing(t, old, next))
			}
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if v := all[isolated].View(); v.Failed > 0 || v.Divisors.Zone < 5 {
					t.Fatalf("the isolated member has %d failed members, divisor %d; want 0, at least 5",
						v.Failed, v.Divisors.Zone)
				}
				for i, r := range all {
					if state, _ := r.state("m0"); i != isolated && state != membership.Alive {
						t.Fatalf("%s sees m0 as %v, want alive", r.cfg.Settings.Name, state)
					}
				}
			}
			w.set(faultproxy.Conditions{}, lostPaths)
			waitAlive(t, all, testWait)
		})
	}
}

// If one direction between two members is lost, neither may be declared failed, because indirect probes through other
// members succeed. The library without this package's state machine passes this test as well.
func TestOneWayLossBetweenTwoMembers(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 5)
	all := w.start(t, newRing(t, newKey(t)))
	waitAlive(t, all, testWait)
	w.set(faultproxy.Conditions{Cut: true}, func(from, to int) bool { return from == 1 && to == 2 })
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range all {
			if v := r.View(); v.Failed > 0 || v.Isolated {
				t.Fatalf("%s: %d failed, isolated %v; want 0, false", r.cfg.Settings.Name, v.Failed, v.Isolated)
			}
		}
	}
}
