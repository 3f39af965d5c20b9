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

// network joins members by a relay for each ordered pair.
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

// open starts the relay from one member to another.
func (w *network) open(t *testing.T, i, j int) netip.AddrPort {
	t.Helper()
	address, to := freeAddress(t), w.addresses[j].String()
	datagrams, err := faultproxy.NewDatagrams(address, w.addresses[j], w.paths[i][j])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(datagrams.Close)
	streams, err := faultproxy.NewLinkOver(w.paths[i][j], w.paths[j][i], func(*faultproxy.Port) string { return to }).PortAt(i, address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(streams.Close)
	return address
}

// set gives all paths that are chosen their conditions.
func (w *network) set(c faultproxy.Conditions, chosen func(from, to int) bool) {
	for i := range w.paths {
		for j := range w.paths {
			if i != j && chosen(i, j) {
				w.paths[i][j].Set(c)
			}
		}
	}
}

func (w *network) start(t *testing.T, ring *token.Ring) (all []*running) {
	t.Helper()
	for i, address := range w.addresses {
		all = append(all, startVia(t, fmt.Sprintf("m%d", i), address, ring, w.via[i], w.addresses[0]))
	}
	return all
}

func waitAlive(t *testing.T, all []*running, within time.Duration) {
	t.Helper()
	for _, r := range all {
		waitFor(t, r.cfg.Settings.Name+" sees all alive", within, func() bool { v := r.View(); return v != nil && v.Alive == len(all) })
	}
}

// All start while 40 % of the datagrams and the dials are lost: they find each other, and nobody fails. A bound: the
// library alone was measured to hold it.
func TestStartUnderLoss(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 5)
	w.set(faultproxy.Conditions{Loss: 0.4}, func(int, int) bool { return true })
	all := w.start(t, newRing(t, newKey(t)))
	waitAlive(t, all, testWait)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range all {
			if v := r.View(); v.Failed > 0 {
				t.Fatalf("%s has %d failed under loss", r.cfg.Settings.Name, v.Failed)
			}
		}
	}
}

// One that hears all and is heard by none, or the other way round, finds that it is cut off itself, fails nobody and
// keeps its size. The keys are exchanged in the middle of the cut; after it all find each other without help.
func TestOneSidedCutsOfOneMember(t *testing.T) {
	t.Parallel()
	const cutOff = 3
	for name, cuts := range map[string]func(from, to int) bool{
		"mute": func(from, _ int) bool { return from == cutOff },
		"deaf": func(_, to int) bool { return to == cutOff },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newNetwork(t, 5)
			old, next := newKey(t), newKey(t)
			next.NotBefore = old.NotBefore.Add(time.Second)
			all := w.start(t, newRing(t, old))
			waitAlive(t, all, testWait)
			w.set(faultproxy.Conditions{Cut: true}, cuts)
			waitFor(t, "it knows that it is isolated", testWait, func() bool { return all[cutOff].View().Isolated })
			for _, r := range all {
				r.SetKeys(newRing(t, old, next))
			}
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if v := all[cutOff].View(); v.Failed > 0 || v.Divisors.Zone < 5 {
					t.Fatalf("cut off: %d failed, size %d", v.Failed, v.Divisors.Zone)
				}
				for i, r := range all {
					if state, _ := r.state("m0"); i != cutOff && state != membership.Alive {
						t.Fatalf("%s sees m0 %v", r.cfg.Settings.Name, state)
					}
				}
			}
			w.set(faultproxy.Conditions{}, cuts)
			waitAlive(t, all, testWait)
		})
	}
}

// A cut of one direction between two members fails neither: the third ones' word counts. A bound: so it is with the
// library alone.
func TestOneWayCutOfAPair(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 5)
	all := w.start(t, newRing(t, newKey(t)))
	waitAlive(t, all, testWait)
	w.set(faultproxy.Conditions{Cut: true}, func(from, to int) bool { return from == 1 && to == 2 })
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range all {
			if v := r.View(); v.Failed > 0 || v.Isolated {
				t.Fatalf("%s: %d failed, isolated %v", r.cfg.Settings.Name, v.Failed, v.Isolated)
			}
		}
	}
}
