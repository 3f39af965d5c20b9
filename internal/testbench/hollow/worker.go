package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cottonplank/internal/config"
	"cottonplank/internal/core"
	"cottonplank/internal/discovery/httpsource"

	"golang.org/x/sys/unix"
)

const (
	tellEvery  = 100 * time.Millisecond
	usageEvery = time.Second
	longLine   = 16 << 20
)

// Setup is what a worker is told first, on one line.
type Setup struct {
	KnownListPath string            `json:"Known"`    // path of the known list
	ConfigPaths   map[string]string `json:"Settings"` // paths of a balancer's configuration, by zone
	FullEngine    bool              `json:"Full"`     // each hollow balancer's module has the list
}

// Command is what a worker is told to do, on a line: start some, stop some, or tell how it ends.
type Command struct {
	Start  []NodeSpec `json:"Start"`
	Stop   []int      `json:"Stop"`
	Finish bool       `json:"End"`
}

// NodeSpec is one hollow balancer to start.
type NodeSpec struct {
	ID          int    `json:"Balancer"`
	Zone        string `json:"Zone"`
	Address     string `json:"Address"`
	NoKnownList bool   `json:"Cold"` // without the known list
}

// Usage is what a worker's process costs: its processor time since the last one, and its resident memory.
type Usage struct {
	CPU        time.Duration `json:"CPU"`
	Interval   time.Duration `json:"Over"`
	Running    int           `json:"Hollow"` // that run
	Connected  int           `json:"Begun"`  // whose watches have shown a sign of life
	ResidentMB float64       `json:"RSS"`
}

// Report is a line that a worker says.
type Report struct {
	Events []Event `json:"Events,omitempty"`
	Usage  *Usage  `json:"Usage,omitempty"`
	Done   bool    `json:"Done,omitempty"` // with the answer to Order.End
}

type worker struct {
	setup    Setup
	raw      []byte // the known list
	known    []core.Endpoint
	version  int64
	shared   *sharedList
	settings map[string]*config.Config
	hollow   map[int]*node
	cpu      time.Duration
	at       time.Time

	mu     sync.Mutex
	events []Event
	out    *json.Encoder
}

// RunWorker runs hollow balancers as in tells, and says what they do, until in ends.
func RunWorker(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longLine)
	w := &worker{hollow: map[int]*node{}, settings: map[string]*config.Config{}, out: json.NewEncoder(out), at: time.Now()}
	if !lines.Scan() {
		return errors.New("worker: no setup")
	}
	if err := w.open(lines.Bytes()); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	orders := make(chan Command)
	failed := make(chan error, 1)
	go func() {
		defer close(orders)
		for lines.Scan() {
			var o Command
			if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
				failed <- err
				return
			}
			select {
			case orders <- o:
			case <-ctx.Done():
				return
			}
		}
	}()
	tell, usage := time.NewTicker(tellEvery), time.NewTicker(usageEvery)
	defer tell.Stop()
	defer usage.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o, ok := <-orders:
			if !ok {
				select {
				case err = <-failed:
				default:
				}
				return err
			}
			err = w.do(ctx, o)
		case <-tell.C:
			err = w.say(Report{})
		case <-usage.C:
			err = w.use()
		}
		if err != nil {
			return fmt.Errorf("worker: %w", err)
		}
	}
}

func (w *worker) open(raw []byte) error {
	if err := json.Unmarshal(raw, &w.setup); err != nil {
		return err
	}
	list, err := os.ReadFile(w.setup.KnownListPath)
	if err != nil {
		return err
	}
	known, err := httpsource.DecodeListing(list)
	if err != nil {
		return err
	}
	w.raw, w.known, w.version = list, known.Endpoints, known.Generation
	w.shared = newSharedList(w.known, w.version)
	for zone, path := range w.setup.ConfigPaths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if w.settings[zone], err = config.Parse(raw, func(string) string { return "" }); err != nil {
			return err
		}
	}
	return w.use()
}

func (w *worker) do(ctx context.Context, o Command) error {
	for _, s := range o.Start {
		cfg := w.settings[s.Zone]
		if cfg == nil {
			return fmt.Errorf("zone %q has no settings", s.Zone)
		}
		settings := cfg.Settings
		settings.Seed += uint64(s.ID)
		h := &node{id: s.ID, fullEngine: w.setup.FullEngine, shared: w.shared, record: w.note}
		known, version := w.known, w.version
		if w.setup.FullEngine { // a copy of its own, as each process has one
			own, err := httpsource.DecodeListing(w.raw)
			if err != nil {
				return err
			}
			known = own.Endpoints
		}
		if s.NoKnownList {
			known, version = nil, 0
		}
		if err := startNode(ctx, h, core.Config{Settings: settings, ListPushed: cfg.ListPushed}, s.Address, known, version); err != nil {
			return err
		}
		w.hollow[s.ID] = h
	}
	var all sync.WaitGroup
	for _, id := range o.Stop {
		if h := w.hollow[id]; h != nil {
			all.Go(h.stop)
			delete(w.hollow, id)
		}
	}
	all.Wait()
	if !o.Finish {
		return nil
	}
	for _, h := range w.hollow {
		all.Go(func() { w.note(h.finalState()) })
	}
	all.Wait()
	return w.say(Report{Done: true})
}

func (w *worker) note(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

func (w *worker) say(r Report) error {
	w.mu.Lock()
	r.Events, w.events = w.events, nil
	w.mu.Unlock()
	if len(r.Events) == 0 && r.Usage == nil && !r.Done {
		return nil
	}
	return w.out.Encode(r)
}

func (w *worker) use() error {
	var ru unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &ru); err != nil {
		return err
	}
	cpu, at := time.Duration(ru.Utime.Nano()+ru.Stime.Nano()), time.Now()
	rss, err := ResidentMemory(os.Getpid())
	if err != nil {
		return err
	}
	u := Usage{CPU: cpu - w.cpu, Interval: at.Sub(w.at), Running: len(w.hollow), ResidentMB: rss}
	for _, h := range w.hollow {
		if h.connected() {
			u.Connected++
		}
	}
	w.cpu, w.at = cpu, at
	return w.say(Report{Usage: &u})
}

// ResidentMemory is a process's resident memory, in MB.
func ResidentMemory(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm: %q", raw)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fmt.Errorf("statm: %w", err)
	}
	return pages * float64(os.Getpagesize()) / (1 << 20), nil
}
