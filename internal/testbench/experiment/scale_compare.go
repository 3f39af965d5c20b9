package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
	"cottonplank/internal/testbench/hollow"

	"golang.org/x/sys/unix"
)

const (
	compareSettle = 7 * time.Second // the modules' first polls are over by then
	compareEvery  = 200 * time.Millisecond
)

// Costs is what one balancer takes in the mean.
type Costs struct {
	CPU float64 `json:"cpu_ms_per_s"`
	KB  float64 `json:"kb_per_s"`
	MB  float64 `json:"mb"`
}

// Compared is the costs before a list of one size.
type Compared struct {
	Servers int   `json:"servers"`
	Hollow  Costs `json:"hollow"`
	Real    Costs `json:"real"`
}

// Comparison is hollow balancers beside real ones. The slopes are for 1,000 room servers more; MB of a hollow one is by
// how much its process has grown, of a real one all of its process, so that only their slopes compare.
type Comparison struct {
	Sizes  []Compared `json:"sizes"`
	Hollow Costs      `json:"hollow_slope"`
	Real   Costs      `json:"real_slope"`
}

// Compare measures hollow balancers whose modules have the list, and as many real ones, before lists of several sizes
// and the same changes, five a second. Neither have clients, nor probe.
func Compare(ctx context.Context, p Programs, servers []int, each int, seconds float64, say func(string)) (c Comparison, err error) {
	if len(servers) < 2 || each < 1 || seconds <= 0 {
		return c, errors.New("two sizes, one balancer and some seconds are the least")
	}
	for _, n := range servers {
		say(fmt.Sprintf("%d room servers", n))
		one, err := compareAt(ctx, p, n, each, time.Duration(seconds*float64(time.Second)))
		if err != nil {
			return c, fmt.Errorf("%d room servers: %w", n, err)
		}
		c.Sizes = append(c.Sizes, one)
	}
	first, last := c.Sizes[0], c.Sizes[len(c.Sizes)-1]
	if first.Servers == last.Servers {
		return c, errors.New("the first size and the last are the same")
	}
	slope := func(a, b Costs) Costs {
		by := float64(last.Servers-first.Servers) / 1000
		return Costs{(b.CPU - a.CPU) / by, (b.KB - a.KB) / by, (b.MB - a.MB) / by}
	}
	c.Hollow, c.Real = slope(first.Hollow, last.Hollow), slope(first.Real, last.Real)
	return c, nil
}

func compareAt(ctx context.Context, p Programs, servers, each int, lasts time.Duration) (c Compared, err error) {
	dir, err := os.MkdirTemp("", "cottonplank-compare-")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	var entries []emulator.Entry
	for i := range servers {
		entries = append(entries, emulator.Entry{Instance: fmt.Sprintf("h-%d", i), Address: nowhere(i), Zone: "a", Lifecycle: "active", Weight: 1})
	}
	roster := emulator.NewEndpointTable(entries)
	source := emulator.NewListServer(roster)
	defer source.Stop()
	address, err := source.Listen(nil)
	if err != nil {
		return c, err
	}
	link := faultproxy.NewLink(func(*faultproxy.Port) string { return address })
	at := onlyPlace
	at.mode, at.quiet = "automatic", true
	e := Experiment{Seed: 1, Balancers: 2 * each, Sessions: 1, Patience: 2000, MemoryMB: 512}
	list := roster.Snapshot(known)
	var reals []*balancer
	var ports []*faultproxy.Port // of the real ones, then of the hollow ones
	defer func() {
		for _, b := range reals {
			b.stop()
		}
		for _, port := range ports {
			port.Close()
		}
	}()
	for i := range 2 * each {
		port, err := link.Port(i)
		if err != nil {
			return c, err
		}
		if ports = append(ports, port); i >= each {
			continue
		}
		b, err := newBalancer(p.Balancer, dir, realName(i), e, at, port.Address, json.RawMessage(list))
		if err != nil {
			return c, err
		}
		if err := b.start(ctx); err != nil {
			if b.process != nil && b.process.Process != nil {
				b.kill()
			}
			return c, err
		}
		reals = append(reals, b)
	}
	setup := hollow.Setup{KnownListPath: filepath.Join(dir, "known.json"), ConfigPaths: map[string]string{"a": filepath.Join(dir, "a.json")}, FullEngine: true}
	if err := os.WriteFile(setup.KnownListPath, list, 0o600); err != nil {
		return c, err
	}
	if err := writeHollow(setup.ConfigPaths["a"], e, at); err != nil {
		return c, err
	}
	w, err := startWorker(p.Lab, dir, "hollow", setup)
	if err != nil {
		return c, err
	}
	defer w.stop()
	var order hollow.Command
	for i := range each {
		order.Start = append(order.Start, hollow.NodeSpec{ID: i, Zone: "a", Address: ports[each+i].Address})
	}
	if err := w.orders.Encode(order); err != nil {
		return c, err
	}
	select {
	case <-ctx.Done():
		return c, ctx.Err()
	case <-time.After(compareSettle):
	}
	read := func() (realCosts, hollowCosts Costs, err error) {
		for i, b := range reals {
			cpu, err := processCPU(b.process.Process.Pid)
			if err != nil {
				return realCosts, hollowCosts, err
			}
			mb, err := hollow.ResidentMemory(b.process.Process.Pid)
			if err != nil {
				return realCosts, hollowCosts, err
			}
			n, _ := ports[i].Counts()
			realCosts.CPU, realCosts.MB, realCosts.KB = realCosts.CPU+cpu, realCosts.MB+mb, realCosts.KB+float64(n)/kb
			n, _ = ports[each+i].Counts()
			hollowCosts.KB += float64(n) / kb
		}
		if hollowCosts.CPU, err = processCPU(w.process.Process.Pid); err != nil {
			return realCosts, hollowCosts, err
		}
		_, hollowCosts.MB, err = w.last()
		return realCosts, hollowCosts, err
	}
	began := time.Now()
	real, hollow, err := read()
	if err != nil {
		return c, err
	}
	change := time.NewTicker(compareEvery)
	defer change.Stop()
	for n := 0; time.Since(began) < lasts; n++ {
		select {
		case <-ctx.Done():
			return c, ctx.Err()
		case <-change.C:
		}
		one := entries[n%len(entries)]
		if one.Lifecycle = "leaving"; n/len(entries)%2 == 1 {
			one.Lifecycle = "active"
		}
		source.AdvanceTo(roster.Publish(one))
	}
	real2, hollow2, err := read()
	if err != nil {
		return c, err
	}
	over := time.Since(began).Seconds() * float64(each)
	mean := func(a, b Costs) Costs {
		return Costs{(b.CPU - a.CPU) / over, (b.KB - a.KB) / over, b.MB / float64(each)}
	}
	return Compared{Servers: servers, Hollow: mean(hollow, hollow2), Real: mean(real, real2)}, nil
}

// processCPU is a process's processor time so far, in ms.
func processCPU(pid int) (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil { // the process's clock, as clock_getcpuclockid names it
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return float64(t.Nano()) / 1e6, nil
}

// Table writes the comparison for people.
func (c Comparison) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "room servers\thollow CPU ms/s\treal\thollow KB/s\treal\thollow MB\treal\t")
	row := func(name string, h, r Costs) {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, h.CPU, r.CPU, h.KB, r.KB, h.MB, r.MB)
	}
	for _, s := range c.Sizes {
		row(fmt.Sprint(s.Servers), s.Hollow, s.Real)
	}
	row("1,000 more", c.Hollow, c.Real)
	return w.Flush()
}
