package gossip

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/config"
	"cottonplank/internal/session/token"

	"github.com/sirupsen/logrus"
)

// hollowMembers are members in one process, which share nothing but it.
type hollowMembers struct {
	b      *testing.B
	all    []*Cluster
	cancel []context.CancelFunc
	ended  sync.WaitGroup
}

// startHollow starts n members within a span, and waits until all see each other.
func startHollow(b *testing.B, n int, within time.Duration) *hollowMembers {
	key, err := token.NewKey(time.Now().Add(-time.Minute), time.Now().Add(time.Hour), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	ring, err := token.NewRing([]token.Key{key}, time.Minute)
	if err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.ErrorLevel)
	h := &hollowMembers{b: b}
	// Addresses of their own, 250 a host of 127.90.0.0/16, so that no port is taken meanwhile.
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 90, byte(i / 250), byte(1 + i%250)}), 7946)
	}
	for i := range n {
		c := New(Config{Settings: config.Membership{Name: fmt.Sprintf("m%04d", i), Listen: address(i), Zone: "a", Region: "x",
			Seeds: []netip.AddrPort{address(0), address(n / 3), address(2 * n / 3)}, PartitionHold: time.Hour}, Ring: ring, ConfiguredSize: decide.FleetSize{Fleet: n, Zone: n},
			Version: "bench", Log: log})
		ctx, cancel := context.WithCancel(context.Background())
		h.all, h.cancel = append(h.all, c), append(h.cancel, cancel)
		h.ended.Go(func() { c.Run(ctx) })
		time.Sleep(within / time.Duration(n))
	}
	return h
}

// together waits until each of the first n sees so many alive, and tells how long that took; below 0: not within 2 minutes.
func (h *hollowMembers) together(first, alive int) time.Duration {
	began := time.Now()
	for time.Since(began) < 2*time.Minute {
		seen := 0
		for _, c := range h.all[:first] {
			if v := c.View(); v != nil && v.Alive == alive {
				seen++
			}
		}
		if seen == first {
			return time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return -1
}

func (h *hollowMembers) stop() {
	for i, c := range h.all {
		c.silent.Store(true)
		h.cancel[i]()
	}
	h.ended.Wait()
}

// spent is what all have used so far.
type spent struct {
	at            time.Time
	bytes, frames uint64
	cpu           time.Duration
}

func (h *hollowMembers) spent() spent {
	s := spent{at: time.Now()}
	for _, c := range h.all {
		f := c.Stats()
		s.bytes += f.BytesSent
		s.frames += f.FramesSent
	}
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return s
}

// report tells what one member has spent in a second of a span.
func (h *hollowMembers) report(name string, from spent, members int) {
	to := h.spent()
	seconds := to.at.Sub(from.at).Seconds() * float64(members)
	h.b.ReportMetric(float64(to.bytes-from.bytes)/seconds, name+"-B/s")
	h.b.ReportMetric(float64(to.frames-from.frames)/seconds, name+"-frames/s")
	h.b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/1000/seconds, name+"-cpu-ms/s")
}

// BenchmarkMembers measures what one member costs among so many: started within a minute at 2,000, at rest, and with a
// ninth lost at once. Frames and bytes are those sent; processor time is that of the whole process over its members.
//
//	go test -run XXX -bench Members -benchtime 1x -timeout 30m ./internal/cluster/gossip
func BenchmarkMembers(b *testing.B) {
	const span = 20 * time.Second
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				h := &hollowMembers{b: b}
				from := h.spent()
				h = startHollow(b, n, time.Duration(n)*time.Minute/2000)
				joined := h.together(n, n)
				h.report("start", from, n)
				b.ReportMetric(joined.Seconds(), "together-s")
				time.Sleep(5 * time.Second)
				from = h.spent()
				time.Sleep(span)
				h.report("rest", from, n)
				lost := n / 9
				for _, c := range h.all[n-lost:] {
					c.AbandonMembership()
				}
				from = h.spent()
				time.Sleep(2 * span)
				h.report("ninth", from, n-lost)
				told := h.together(n-lost, n-lost)
				b.ReportMetric(told.Seconds()+2*span.Seconds(), "ninth-told-s")
				h.stop()
			}
		})
	}
}
