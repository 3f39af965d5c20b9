package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cottonplank/internal/operations/management"

	"golang.org/x/sys/unix"
)

const (
	// startTimeout is how long a balancer may take from its start until it serves.
	startTimeout = 10 * time.Second
	// startPollInterval is the time between two checks whether a balancer serves.
	startPollInterval = 20 * time.Millisecond
	// stopTimeout is how long a process may take to end: a balancer after SIGTERM, a worker of hollow nodes after its
	// standard input was closed.
	stopTimeout = 6 * time.Second
	// maxStartAttempts is the number of attempts to start a balancer, each on other ports.
	maxStartAttempts = 3
	// logTailBytes is the number of bytes that an error quotes from the end of a process's log.
	logTailBytes = 600
)

// balancer is a balancer and its current process.
type balancer struct {
	name string
	// address is the address at which it listens for clients.
	address string
	// management is the address of the management protocol.
	management string
	// dir is the directory of the balancer's files.
	dir string
	// program is the path of the executable.
	program string
	// frontsFile is the path of the fronts file; empty if there is none.
	frontsFile string
	// environment holds environment variables that override the configuration.
	environment []string
	process     *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	log   *os.File
	// maxDescriptors is the resource limit on the process's descriptors; 0 if it inherits that of this process.
	maxDescriptors int
}

// balancerSpec describes a balancer to be started.
type balancerSpec struct {
	program string
	// dir is the run's directory, in which the balancer gets a directory of its own.
	dir        string
	name       string
	experiment Experiment
	placement  placement
	// discovery is the address of discovery.
	discovery string
	// known is the endpoint list in JSON that the balancer starts with.
	known json.RawMessage
}

// newBalancer chooses free ports for a balancer and writes its files. It does not start the process.
func newBalancer(spec balancerSpec) (*balancer, error) {
	b := &balancer{
		name:           spec.name,
		dir:            filepath.Join(spec.dir, spec.name),
		program:        spec.program,
		maxDescriptors: spec.experiment.MaxDescriptors,
	}
	if err := os.MkdirAll(filepath.Join(b.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	var err error
	if b.address, err = freeAddress(); err != nil {
		return nil, err
	}
	if b.management, err = freeAddress(); err != nil {
		return nil, err
	}
	a := addresses{listen: b.address, management: b.management, discovery: spec.discovery}
	cfg := spec.experiment.config(spec.name, spec.placement, a, spec.known)
	raw, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(b.configPath(), raw, 0o600); err != nil {
		return nil, err
	}
	if spec.experiment.ResumesSessions || spec.experiment.ListFile {
		b.frontsFile = filepath.Join(spec.dir, frontsFileName)
	}
	return b, nil
}

// startBalancer writes the files of a balancer and starts it. Another socket, such as that of an outgoing connection,
// may take a free port before the balancer listens on it. In that case the balancer is started again on other ports.
func startBalancer(ctx context.Context, spec balancerSpec) (b *balancer, err error) {
	for range maxStartAttempts {
		if b, err = newBalancer(spec); err != nil {
			return nil, err
		}
		if err = b.start(ctx); err == nil {
			return b, nil
		}
		b.killIfStarted()
		if !addressInUse(err) {
			break
		}
	}
	return nil, err
}

// addressInUse reports whether an error of start contains the message that an address is in use, quoted from the log.
func addressInUse(err error) bool {
	return strings.Contains(err.Error(), syscall.EADDRINUSE.Error())
}

// freeAddress returns an address on loopback whose TCP port is free at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (b *balancer) configPath() string { return filepath.Join(b.dir, "config.json") }

func (b *balancer) logPath() string { return filepath.Join(b.dir, "log") }

// pid returns the process's ID.
func (b *balancer) pid() int { return b.process.Process.Pid }

// start starts the process and waits until it serves.
func (b *balancer) start(ctx context.Context) error {
	var err error
	if b.log, err = os.OpenFile(b.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	b.process = b.command()
	if err := b.process.Start(); err != nil {
		b.log.Close()
		return fmt.Errorf("balancer %s: %w", b.name, err)
	}
	b.ended = make(chan struct{})
	go func() { // ends with the process; kill and stop wait for that
		b.process.Wait()
		close(b.ended)
	}()
	if err := b.limitDescriptors(); err != nil {
		return err
	}
	return b.waitUntilServing(ctx)
}

// command returns the command of the process. Empty variables override those that this process has inherited, so that
// the configuration file applies.
func (b *balancer) command() *exec.Cmd {
	args := []string{"serve"}
	if b.frontsFile != "" {
		args = append(args, "--fronts", b.frontsFile)
	}
	c := exec.Command(b.program, args...)
	c.Env = append(os.Environ(),
		"PROXY_CONFIG="+b.configPath(),
		"PROXY_NAME=",
		"PROXY_LISTEN=",
		"PROXY_DISCOVERY=",
		"PROXY_MANAGEMENT=",
		"TMPDIR="+filepath.Join(b.dir, "tmp"))
	c.Env = append(c.Env, b.environment...)
	c.Stdout, c.Stderr = b.log, b.log
	// The balancer has its own process group, because an interrupt from the terminal must not reach it: this process
	// stops it gracefully. Pdeathsig kills the balancer if this process is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return c
}

// limitDescriptors sets the resource limit on the descriptors of the running process.
func (b *balancer) limitDescriptors() error {
	n := uint64(b.maxDescriptors)
	if n == 0 {
		return nil
	}
	if err := unix.Prlimit(b.pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		return fmt.Errorf("balancer %s: descriptors: %w", b.name, err)
	}
	return nil
}

// waitUntilServing waits until the balancer answers PING of the management protocol with status 200.
func (b *balancer) waitUntilServing(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startPollInterval) {
		lines, err := management.Query(ctx, b.management, "PING")
		if err == nil && strings.HasPrefix(lines[0], "200 ") {
			return nil
		}
		select {
		case <-b.ended:
			return fmt.Errorf("balancer %s ended before it served: %s", b.name, b.logTail())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
	}
	return fmt.Errorf("balancer %s does not serve %v after its start: %s", b.name, startTimeout, b.logTail())
}

// logTail returns the end of the process's log.
func (b *balancer) logTail() string { return fileTail(b.logPath()) }

// fileTail returns the end of a log file; empty if it cannot be read.
func fileTail(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw[max(len(raw)-logTailBytes, 0):]))
}

// hotRestart starts a replacement process that takes over the sockets of the running one, and stops the running one
// once the replacement serves. If the running process does not stop in time, it returns the replacement and an error.
func (b *balancer) hotRestart(ctx context.Context) (*balancer, error) {
	replacement := &balancer{
		name:           b.name,
		address:        b.address,
		dir:            b.dir,
		program:        b.program,
		frontsFile:     b.frontsFile,
		maxDescriptors: b.maxDescriptors,
	}
	var err error
	if replacement.management, err = freeAddress(); err != nil {
		return nil, err
	}
	replacement.environment = []string{"PROXY_MANAGEMENT=" + replacement.management}
	if err := replacement.start(ctx); err != nil {
		return nil, err
	}
	return replacement, b.stop()
}

// signal sends a signal to the process.
func (b *balancer) signal(s syscall.Signal) {
	b.process.Process.Signal(s)
}

// kill kills the process by SIGKILL and waits for its end.
func (b *balancer) kill() {
	b.process.Process.Kill()
	<-b.ended
	b.log.Close()
}

// killIfStarted kills the process of a balancer whose start failed, if the process was started.
func (b *balancer) killIfStarted() {
	if b.process != nil && b.process.Process != nil {
		b.kill()
	}
}

// stop stops the process gracefully. It kills a process that does not end within stopTimeout, and returns an error.
func (b *balancer) stop() error {
	defer b.log.Close()
	b.signal(syscall.SIGTERM)
	select {
	case <-b.ended:
		return nil
	case <-time.After(stopTimeout):
		b.process.Process.Kill()
		<-b.ended
		return fmt.Errorf("balancer %s did not end within %v of SIGTERM", b.name, stopTimeout)
	}
}

// addMetrics adds each metric of the balancer to the entry of sums with the metric's name.
func (b *balancer) addMetrics(sums map[string]uint64) error {
	metrics, err := management.QueryMetrics(context.Background(), b.management)
	if err != nil {
		return fmt.Errorf("balancer %s: %w", b.name, err)
	}
	for name, value := range metrics {
		sums[name] += value
	}
	return nil
}
