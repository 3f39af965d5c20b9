package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"cottonplank/internal/operations/management"
	"cottonplank/internal/testbench/emulator"
)

// Bounds of a slope's measurement.
const (
	slopeRooms  = 8                // that all entries of the list stand for: probes are answered, and nobody holds 20,000 ports
	slopeSettle = 3 * time.Second  // between the list and the first reading: what the start left behind is collected
	slopeList   = 30 * time.Second // until the whole list has to be in force
	slopeLook   = 20 * time.Millisecond
)

// ListSlope is what a list of so many room servers costs one balancer that holds no connection. It starts with no list
// and gets the whole of it from discovery.
type ListSlope struct {
	Servers   int     `json:"servers"`
	InForce   float64 `json:"in_force_s"`        // from the process's start until the whole list is; below 0: it never was
	Rest      float64 `json:"rest_ms_per_s"`     // processor time with no change and no request
	Change    float64 `json:"change_ms"`         // processor time of one change of one entry, beside the rest
	RSS       float64 `json:"rss_mb"`            // resident at the end
	Peak      float64 `json:"peak_mb"`           // the most that ever was
	RestKB    float64 `json:"rest_kb_per_s"`     // read by the process from all its sockets, probes' answers too
	ChangeKB  float64 `json:"change_kb_per_s"`   // the same with the changes
	StartKB   float64 `json:"start_kb"`          // read until the list was in force
	StartCPU  float64 `json:"start_cpu_ms"`      // processor time until then
	Discovery float64 `json:"discovery_calls_s"` // calls a second at rest
}

// ListSlopes measures lists of several lengths, one after the other, each for so many seconds at rest and as many with so many changes a
// second. One change in a second lies within the noise of the rest, 0.3 ms.
func ListSlopes(ctx context.Context, program string, servers []int, seconds, perSecond float64, say func(string)) (all []ListSlope, err error) {
	for _, n := range servers {
		s, err := listSlope(ctx, program, n, time.Duration(seconds*float64(time.Second)), perSecond, say)
		if err != nil {
			return nil, fmt.Errorf("%d room servers: %w", n, err)
		}
		all = append(all, s)
	}
	return all, nil
}

func listSlope(ctx context.Context, program string, n int, length time.Duration, perSecond float64, say func(string)) (s ListSlope, err error) {
	dir, err := os.MkdirTemp("", "cottonplank-lab-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	s = ListSlope{Servers: n, InForce: -1}
	var rooms []*emulator.RoomServer
	for i := range slopeRooms {
		room, err := emulator.NewRoomServer(emulator.RoomServerConfig{Name: fmt.Sprintf("s-%d", i)})
		if err != nil {
			return s, err
		}
		defer room.Stop()
		rooms = append(rooms, room)
	}
	entry := func(i int, weight float64) emulator.Entry {
		return emulator.Entry{Instance: fmt.Sprintf("s-%08x", i), Address: rooms[i%slopeRooms].Address(), Zone: []string{"a", "b", "c"}[i%3],
			Lifecycle: "active", Weight: weight}
	}
	discovery := emulator.NewDiscovery(nil)
	defer discovery.Stop()
	address, err := discovery.For("n0")
	if err != nil {
		return s, err
	}
	var all []emulator.Entry
	for i := range n {
		all = append(all, entry(i, 1))
	}
	discovery.Put(all...)
	known := json.RawMessage(`{"generation":0,"reset":true,"instances":[]}`)
	b, err := newBalancer(program, dir, "n0", Experiment{Balancers: 2300, Seed: 1, MemoryMB: 256, Patience: 2000, Sockets: 1024},
		place{zone: "a", zones: []string{"a", "b", "c"}, mode: "subscribe"}, address, known)
	if err != nil {
		return s, err
	}
	began := time.Now()
	if err := b.start(ctx); err != nil {
		return s, err
	}
	defer b.stop()
	for s.InForce < 0 && time.Since(began) < slopeList {
		figures, err := management.ParseMetrics(ctx, b.management)
		if err != nil {
			return s, err
		}
		if figures["registry_entries"] >= uint64(n) {
			s.InForce = time.Since(began).Seconds()
			break
		}
		if err := pause(ctx, slopeLook); err != nil {
			return s, err
		}
	}
	at, err := b.spent()
	if err != nil {
		return s, err
	}
	s.StartKB, s.StartCPU = at.kb, at.cpu.Seconds()*1000
	say(fmt.Sprintf("%d room servers: in force after %.2f s, %.0f KB", n, s.InForce, s.StartKB))
	if err := pause(ctx, slopeSettle); err != nil {
		return s, err
	}
	calls := discovery.Calls()
	rest, restKB, err := b.rate(ctx, length, func(context.Context) error { return nil })
	if err != nil {
		return s, err
	}
	s.Rest, s.RestKB, s.Discovery = rest, restKB, float64(discovery.Calls()-calls)/length.Seconds()
	changes := 0
	busy, busyKB, err := b.rate(ctx, length, func(ctx context.Context) error {
		for tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond)); ; {
			select {
			case <-ctx.Done():
				tick.Stop()
				return nil
			case <-tick.C:
				changes++
				discovery.Put(entry(changes*7919%n, 1+float64(changes%2)))
			}
		}
	})
	if err != nil {
		return s, err
	}
	s.ChangeKB = busyKB
	if changes > 0 {
		s.Change = (busy - rest) * length.Seconds() / float64(changes)
	}
	end, err := b.spent()
	s.RSS, s.Peak = end.rss, end.peak
	say(fmt.Sprintf("%d room servers: %.2f ms/s at rest, %.2f ms a change, %.1f MB", n, s.Rest, s.Change, s.Peak))
	return s, err
}

// ListSlopeTable writes slopes for people.
func ListSlopeTable(out io.Writer, all []ListSlope) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "room servers\tin force, s\tstart KB\tstart CPU ms\trest ms/s\tchange ms\tMB\tMB, most\trest KB/s\tchanges KB/s\tcalls/s\t")
	for _, s := range all {
		fmt.Fprintf(w, "%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.3f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t\n", s.Servers, s.InForce, s.StartKB, s.StartCPU, s.Rest,
			s.Change, s.RSS, s.Peak, s.RestKB, s.ChangeKB, s.Discovery)
	}
	return w.Flush()
}

// pause waits, or ends with ctx.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// spending is what a process has used since its start.
type spending struct {
	cpu       time.Duration
	kb        float64 // read by it
	rss, peak float64 // MB
}

// spent reads it. The scheduler's own count is in nanoseconds, where /proc's ticks are a hundredth of a second.
func (b *balancer) spent() (s spending, err error) {
	rss, _, _, err := b.usage()
	if err != nil {
		return s, err
	}
	s.rss = rss
	dir := fmt.Sprintf("/proc/%d/", b.process.Process.Pid)
	tasks, err := os.ReadDir(dir + "task")
	if err != nil {
		return s, err
	}
	for _, t := range tasks {
		raw, err := os.ReadFile(dir + "task/" + t.Name() + "/schedstat")
		if os.IsNotExist(err) {
			continue // a thread that has just ended
		}
		if err != nil {
			return s, err
		}
		first, _, _ := strings.Cut(string(raw), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return s, fmt.Errorf("balancer %s: schedstat: %w", b.name, err)
		}
		s.cpu += time.Duration(ns)
	}
	if s.peak, err = field(dir+"status", "VmHWM:"); err != nil {
		return s, err
	}
	s.peak /= 1024
	read, err := field(dir+"io", "rchar:")
	s.kb = read / 1024
	return s, err
}

// field is the number of one line of a file of /proc.
func field(path, name string) (float64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return 0, fmt.Errorf("%s: no %s", path, name)
}

// rate is the processor time, in ms a second, and the KB a second that the process needs while something goes on.
func (b *balancer) rate(ctx context.Context, length time.Duration, goes func(context.Context) error) (cpu, kb float64, err error) {
	from, err := b.spent()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	during, stop := context.WithTimeout(ctx, length)
	defer stop()
	if err := goes(during); err != nil {
		return 0, 0, err
	}
	<-during.Done()
	if ctx.Err() != nil {
		return 0, 0, ctx.Err()
	}
	to, err := b.spent()
	seconds := time.Since(began).Seconds()
	return (to.cpu - from.cpu).Seconds() * 1000 / seconds, (to.kb - from.kb) / seconds, err
}
