package experiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cottonplank/internal/testbench/hollow"
)

const (
	// workerCommand is the argument that makes Programs.Worker call hollow.RunWorker.
	workerCommand = "scale-worker"
	// maxReportBytes is the length of the longest report that is read from a worker, in bytes.
	maxReportBytes = 16 << 20
)

// workerProcess is a process that runs hollow nodes.
type workerProcess struct {
	// fullEngines says whether the engines of the nodes hold the whole list.
	fullEngines bool
	process     *exec.Cmd
	stdin       io.WriteCloser
	log         *os.File
	// ended is closed when the process has ended.
	ended chan struct{}
	// finished is closed when the process has reported the final states of its nodes.
	finished chan struct{}
	finish   sync.Once

	// sending guards commands: several goroutines send commands.
	sending  sync.Mutex
	commands *json.Encoder

	// mu guards the fields below.
	mu     sync.Mutex
	events []hollow.Event
	usages []hollow.Usage
	// startUsages is the number of usages that were reported during the start of the nodes.
	startUsages int
	// invalid is the error of the latest report that could not be decoded.
	invalid error
}

// startWorker starts a worker, which logs to a file in the given directory, and sends it the setup.
func startWorker(program, dir, name string, setup hollow.Setup) (*workerProcess, error) {
	w := &workerProcess{
		fullEngines: setup.FullEngine,
		process:     exec.Command(program, workerCommand),
		ended:       make(chan struct{}),
		finished:    make(chan struct{}),
	}
	var err error
	logPath := filepath.Join(dir, name+".log")
	if w.log, err = os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	w.process.Stderr = w.log
	// The worker has its own process group, because an interrupt from the terminal must not reach it: this process
	// stops it by closing its standard input. Pdeathsig kills the worker if this process is killed.
	w.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if w.stdin, err = w.process.StdinPipe(); err != nil {
		return nil, err
	}
	reports, err := w.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.process.Start(); err != nil {
		return nil, fmt.Errorf("hollow nodes: %w", err)
	}
	w.commands = json.NewEncoder(w.stdin)
	go w.readReports(reports) // ends with the process; stop waits for that
	if err := w.write(setup); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

// send sends a command to the worker.
func (w *workerProcess) send(c hollow.Command) error { return w.write(c) }

// write writes a message to the worker's standard input, as a line of JSON.
func (w *workerProcess) write(message any) error {
	w.sending.Lock()
	defer w.sending.Unlock()
	if err := w.commands.Encode(message); err != nil {
		return fmt.Errorf("hollow nodes: %w", err)
	}
	return nil
}

// readReports adds the worker's reports until its standard output ends, and waits for the end of the process.
func (w *workerProcess) readReports(reports io.Reader) {
	defer close(w.ended)
	lines := bufio.NewScanner(reports)
	lines.Buffer(nil, maxReportBytes)
	for lines.Scan() {
		var report hollow.Report
		err := json.Unmarshal(lines.Bytes(), &report)
		w.add(report, err)
		if report.Done {
			w.finish.Do(func() { close(w.finished) })
		}
	}
	w.process.Wait()
}

// add adds the events and the usage of a report. If decoding the report has failed, it records the error.
func (w *workerProcess) add(report hollow.Report, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.invalid = fmt.Errorf("hollow nodes: %w", err)
	}
	w.events = append(w.events, report.Events...)
	if report.Usage != nil {
		w.usages = append(w.usages, *report.Usage)
	}
}

// endStartPhase records that the start phase of the nodes has ended: later usages do not belong to it.
func (w *workerProcess) endStartPhase() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startUsages = len(w.usages)
}

// latestUsage returns the latest usage, and the growth of the resident memory since the first usage in MiB. It returns
// an error if the process has ended or has sent an invalid report.
func (w *workerProcess) latestUsage() (usage hollow.Usage, growthMB float64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.usages); n > 0 {
		usage = w.usages[n-1]
		growthMB = usage.ResidentMB - w.usages[0].ResidentMB
	}
	select {
	case <-w.ended:
		return usage, growthMB, fmt.Errorf("a worker process of hollow nodes has ended: %s", fileTail(w.log.Name()))
	default:
		return usage, growthMB, w.invalid
	}
}

// stop closes the standard input of the process, which ends it, and kills it if it does not end within stopTimeout.
func (w *workerProcess) stop() {
	w.stdin.Close()
	select {
	case <-w.ended:
	case <-time.After(stopTimeout):
		w.process.Process.Kill()
		<-w.ended
	}
	w.log.Close()
}
