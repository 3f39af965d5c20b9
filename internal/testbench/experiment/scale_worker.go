package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/testbench/hollow"
)

const (
	workerCommand = "scale-worker" // of the lab's own program
	longReport    = 16 << 20
)

// worker is a process of hollow balancers.
type worker struct {
	full    bool
	process *exec.Cmd
	orders  *json.Encoder
	stdin   io.Closer
	log     *os.File
	ended   chan struct{}
	done    chan struct{} // closed with its answer to the last order
	once    sync.Once

	mu     sync.Mutex
	events []hollow.Event
	usages []hollow.Usage
	start  int // of usages, those until all hollow balancers watched
	broken error
}

// started ends the part of the usages that is the start's.
func (w *worker) started() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.start = len(w.usages)
}

// startWorker runs the lab's program as one.
func startWorker(program, dir, name string, setup hollow.Setup) (*worker, error) {
	w := &worker{full: setup.FullEngine, ended: make(chan struct{}), done: make(chan struct{}), process: exec.Command(program, workerCommand)}
	var err error
	if w.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	w.process.Stderr = w.log
	// Ctrl-C is the lab's; a worker ends with its standard input at the latest.
	w.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	in, err := w.process.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := w.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.process.Start(); err != nil {
		return nil, fmt.Errorf("hollow balancers: %w", err)
	}
	w.stdin, w.orders = in, json.NewEncoder(in)
	go w.listen(out)
	if err := w.orders.Encode(setup); err != nil {
		w.stop()
		return nil, fmt.Errorf("hollow balancers: %w", err)
	}
	return w, nil
}

// listen takes all that the process says.
func (w *worker) listen(out io.Reader) {
	defer close(w.ended)
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, longReport)
	for lines.Scan() {
		var r hollow.Report
		err := json.Unmarshal(lines.Bytes(), &r)
		w.mu.Lock()
		if err != nil {
			w.broken = fmt.Errorf("hollow balancers: %w", err)
		}
		w.events = append(w.events, r.Events...)
		if r.Usage != nil {
			w.usages = append(w.usages, *r.Usage)
		}
		w.mu.Unlock()
		if r.Done {
			w.once.Do(func() { close(w.done) })
		}
	}
	w.process.Wait()
}

// last is its latest usage, and how much it has grown since it began.
func (w *worker) last() (u hollow.Usage, grown float64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.usages); n > 0 {
		u, grown = w.usages[n-1], w.usages[n-1].ResidentMB-w.usages[0].ResidentMB
	}
	select {
	case <-w.ended:
		text, _ := os.ReadFile(w.log.Name())
		return u, grown, fmt.Errorf("a process of hollow balancers ended: %s", strings.TrimSpace(string(text[max(len(text)-600, 0):])))
	default:
		return u, grown, w.broken
	}
}

// stop ends the process; one that does not end is killed.
func (w *worker) stop() {
	w.stdin.Close()
	select {
	case <-w.ended:
	case <-time.After(stopWait):
		w.process.Process.Kill()
		<-w.ended
	}
	w.log.Close()
}
