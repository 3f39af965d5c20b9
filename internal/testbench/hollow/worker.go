package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"
)

const (
	// reportInterval is the time between two reports of events.
	reportInterval = 100 * time.Millisecond
	// usageInterval is the time between two reports of the resource usage.
	usageInterval = time.Second
	// maxLineBytes is the longest line that a worker reads, in bytes. A longer line is handled as the end of the
	// input, without an error of its own.
	maxLineBytes = 16 << 20
)

// errNoSetup is returned by RunWorker if its input ends before the setup.
var errNoSetup = errors.New("worker: the input has no setup line")

// worker runs nodes. The goroutine of RunWorker owns all fields but events.
type worker struct {
	setup Setup
	// knownRaw is the known list as JSON.
	knownRaw []byte
	// known is the known list, from which shared is built. version is its version.
	known   []core.Endpoint
	version int64
	shared  *sharedList
	configs map[string]*config.Config
	nodes   map[int]*node
	// lastCPU is the processor time at the last usage report.
	lastCPU time.Duration
	// lastUsage is when the usage was last reported.
	lastUsage time.Time
	out       *json.Encoder

	// mu guards events.
	mu     sync.Mutex
	events []Event
}

// RunWorker reads a Setup and then Commands from the input, executes the commands on hollow nodes, and writes Reports
// to the output. It returns nil at the end of the input, and an error if the input has no setup or an invalid line, a
// file of the setup cannot be read, a command cannot be executed, a report cannot be written, or ctx ends.
func RunWorker(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	w := &worker{
		configs:   map[string]*config.Config{},
		nodes:     map[int]*node{},
		lastUsage: time.Now(),
		out:       json.NewEncoder(out),
	}
	if !lines.Scan() {
		return errNoSetup
	}
	if err := w.setUp(lines.Bytes()); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	commands := make(chan Command)
	invalid := make(chan error, 1)
	go readCommands(ctx, lines, commands, invalid)
	return w.run(ctx, commands, invalid)
}

// readCommands reads commands and sends them on a channel until the input or ctx ends or a line is not a command. In
// the latter case it sends the error on invalid. It closes the channel of commands at the end.
func readCommands(ctx context.Context, lines *bufio.Scanner, commands chan<- Command, invalid chan<- error) {
	defer close(commands)
	for lines.Scan() {
		var c Command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			invalid <- err
			return
		}
		select {
		case commands <- c:
		case <-ctx.Done():
			return
		}
	}
}

// run executes commands and writes reports until the commands end.
func (w *worker) run(ctx context.Context, commands <-chan Command, invalid <-chan error) error {
	reports, usages := time.NewTicker(reportInterval), time.NewTicker(usageInterval)
	defer reports.Stop()
	defer usages.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c, ok := <-commands:
			if !ok {
				select {
				case err = <-invalid:
				default:
				}
				return err
			}
			err = w.execute(ctx, c)
		case <-reports.C:
			err = w.send(Report{})
		case <-usages.C:
			err = w.sendUsage()
		}
		if err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
}

// setUp decodes the setup, reads the files that it names, and writes the first usage report.
func (w *worker) setUp(line []byte) error {
	if err := json.Unmarshal(line, &w.setup); err != nil {
		return err
	}
	raw, err := os.ReadFile(w.setup.KnownListPath)
	if err != nil {
		return err
	}
	known, err := httpsource.DecodeListing(raw)
	if err != nil {
		return err
	}
	w.knownRaw, w.known, w.version = raw, known.Endpoints, known.Generation
	w.shared = newSharedList(w.known, w.version)
	for zone, path := range w.setup.ConfigPaths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if w.configs[zone], err = config.Parse(raw, func(string) string { return "" }); err != nil {
			return err
		}
	}
	return w.sendUsage()
}

// execute executes a command: first Start, then Stop, then Finish.
func (w *worker) execute(ctx context.Context, c Command) error {
	for _, spec := range c.Start {
		if err := w.start(ctx, spec); err != nil {
			return err
		}
	}
	w.stop(c.Stop)
	if !c.Finish {
		return nil
	}
	var nodes sync.WaitGroup
	for _, n := range w.nodes {
		nodes.Go(func() { w.record(n.finalState()) })
	}
	nodes.Wait()
	return w.send(Report{Done: true})
}

// start starts a node.
func (w *worker) start(ctx context.Context, spec NodeSpec) error {
	cfg := w.configs[spec.Zone]
	if cfg == nil {
		return fmt.Errorf("no configuration for zone %q", spec.Zone)
	}
	settings := cfg.Settings
	settings.Seed += uint64(spec.ID)
	start := nodeConfig{
		engine:  core.Config{Settings: settings, ListPushed: cfg.ListPushed},
		address: spec.Address,
		known:   w.known,
		version: w.version,
	}
	if w.setup.FullEngine {
		// Each engine gets a copy of its own, as in a process of its own, so that the memory usage is comparable.
		own, err := httpsource.DecodeListing(w.knownRaw)
		if err != nil {
			return err
		}
		start.known = own.Endpoints
	}
	if spec.NoKnownList {
		start.known, start.version = nil, 0
	}
	n := &node{id: spec.ID, fullEngine: w.setup.FullEngine, shared: w.shared, record: w.record}
	if err := startNode(ctx, n, start); err != nil {
		return err
	}
	w.nodes[spec.ID] = n
	return nil
}

// stop stops the given nodes. It ignores those that are not running.
func (w *worker) stop(ids []int) {
	var nodes sync.WaitGroup
	for _, id := range ids {
		if n := w.nodes[id]; n != nil {
			nodes.Go(n.stop)
			delete(w.nodes, id)
		}
	}
	nodes.Wait()
}

// record adds an event to the next report. Nodes call it from several goroutines.
func (w *worker) record(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// send adds the events since the last report to a report and writes it, unless it is empty.
func (w *worker) send(r Report) error {
	w.mu.Lock()
	r.Events, w.events = w.events, nil
	w.mu.Unlock()
	if len(r.Events) == 0 && r.Usage == nil && !r.Done {
		return nil
	}
	return w.out.Encode(r)
}

// sendUsage writes a report with the resource usage since the last one.
func (w *worker) sendUsage() error {
	cpu, err := ownCPU()
	if err != nil {
		return err
	}
	now := time.Now()
	resident, err := ResidentMemory(os.Getpid())
	if err != nil {
		return err
	}
	usage := Usage{CPU: cpu - w.lastCPU, Interval: now.Sub(w.lastUsage), Running: len(w.nodes), ResidentMB: resident}
	for _, n := range w.nodes {
		if n.connected() {
			usage.Connected++
		}
	}
	w.lastCPU, w.lastUsage = cpu, now
	return w.send(Report{Usage: &usage})
}
