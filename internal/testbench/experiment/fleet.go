package experiment

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cottonplank/internal/operations/management"
	"cottonplank/internal/session/token"

	"golang.org/x/sys/unix"
)

const (
	startWait = 10 * time.Second // until a balancer answers PING
	stopWait  = 6 * time.Second  // from SIGTERM to the end
)

// What a room server bears while it is cold, as the balancers' settings say.
const (
	coldShare    = 0.4
	coldFor      = 6 * time.Second
	fallMultiple = 4
)

// balancer is one process.
type balancer struct {
	name       string
	address    string
	management string
	dir        string
	program    string
	fronts     string
	variables  []string // of its environment, beside its configuration
	process    *exec.Cmd
	ended      chan struct{}
	log        *os.File
	sockets    int // descriptors that it may open; 0: as many as the lab
}

// freePort is an address on loopback that nobody listens at.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// place is where a balancer stands.
type place struct {
	zone  string
	zones []string
	mode  string // its membership_mode
	quiet bool   // it probes nobody
}

// onlyPlace is that of experiments without zones.
var onlyPlace = place{zone: "a", zones: []string{"a"}, mode: "subscribe"}

// newBalancer writes a balancer's files; start runs it.
func newBalancer(program, dir, name string, e Experiment, at place, discovery string, known json.RawMessage) (*balancer, error) {
	b := &balancer{name: name, dir: filepath.Join(dir, name), program: program}
	if err := os.MkdirAll(filepath.Join(b.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	var err error
	if b.address, err = freePort(); err != nil {
		return nil, err
	}
	if b.management, err = freePort(); err != nil {
		return nil, err
	}
	b.sockets = e.Sockets
	cfg := e.config(name, b.address, b.management, at, discovery, known)
	raw, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(b.dir, "config.json"), raw, 0o600); err != nil {
		return nil, err
	}
	if e.Tokens || e.ListFile {
		b.fronts = filepath.Join(dir, "fronts.json")
	}
	return b, nil
}

// config is the configuration of a balancer.
func (e Experiment) config(name, listen, management string, at place, discovery string, known json.RawMessage) map[string]any {
	patience := float64(e.Patience) / 1000
	return map[string]any{"name": name, "listen": listen, "management": management, "discovery": discovery,
		"seed":   strconv.FormatUint(e.Seed+uint64(len(name)), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": e.MemoryMB, "sockets": cmp.Or(e.Sockets, 4096+4*e.Sessions)}, "known": known,
		"settings": map[string]any{"zone": at.zone, "areas": at.zones, "balancers": e.Balancers, "membership_mode": at.mode,
			"profiles": []any{map[string]any{"name": "solo-play", "aim_s": 0.3, "give_up_s": patience, "repeat": "idempotent"}},
			"limits": map[string]any{"connect_timeout_s": 0.25, "retry_after": true, "max_retry_after_s": 1.5, "may_probe": !at.quiet,
				"most_tries": 3},
			"rules": map[string]any{"must_ask_in_s": 10, "drain_grace_s": drainGrace.Seconds(), "cold_share": coldShare, "cold_s": coldFor.Seconds(),
				"fall_multiple": fallMultiple, "fall_s": 1},
			"penalties": map[string]any{"probe": 0.0018, "moves": 0.019, "cross_zone": 0.16},
			"specifics": map[string]any{"groups": true, "message_aim_s": []float64{0.06}}}}
}

// start runs the process and waits until it serves.
func (b *balancer) start(ctx context.Context) error {
	var err error
	if b.log, err = os.OpenFile(filepath.Join(b.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	args := []string{"serve"}
	if b.fronts != "" {
		args = append(args, "--fronts", b.fronts)
	}
	b.process = exec.Command(b.program, args...)
	b.process.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(b.dir, "config.json"), "PROXY_NAME=", "PROXY_LISTEN=",
		"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "TMPDIR="+filepath.Join(b.dir, "tmp"))
	b.process.Env = append(b.process.Env, b.variables...)
	b.process.Stdout, b.process.Stderr = b.log, b.log
	// Ctrl-C is the lab's, which stops them in order; they do not outlive it where it is killed.
	b.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := b.process.Start(); err != nil {
		b.log.Close()
		return fmt.Errorf("balancer %s: %w", b.name, err)
	}
	if n := uint64(b.sockets); n > 0 {
		if err := unix.Prlimit(b.process.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
			return fmt.Errorf("balancer %s: descriptors: %w", b.name, err)
		}
	}
	b.ended = make(chan struct{})
	go func() {
		b.process.Wait()
		close(b.ended)
	}()
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if lines, err := management.Query(ctx, b.management, "PING"); err == nil && strings.HasPrefix(lines[0], "200 ") {
			return nil
		}
		select {
		case <-b.ended:
			return fmt.Errorf("balancer %s ended at once: %s", b.name, b.tail())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
	}
	return fmt.Errorf("balancer %s does not serve after %v: %s", b.name, startWait, b.tail())
}

// tail is the end of the process's log.
func (b *balancer) tail() string {
	raw, _ := os.ReadFile(filepath.Join(b.dir, "log"))
	return strings.TrimSpace(string(raw[max(len(raw)-600, 0):]))
}

// renew starts a new version beside the running one, which hands its sockets over, and stops the old one once the new one
// serves. It returns the new one's process under the same name and address.
func (b *balancer) renew(ctx context.Context) (*balancer, error) {
	next := &balancer{name: b.name, sockets: b.sockets, address: b.address, dir: b.dir, program: b.program, fronts: b.fronts}
	var err error
	if next.management, err = freePort(); err != nil {
		return nil, err
	}
	next.variables = []string{"PROXY_MANAGEMENT=" + next.management}
	if err := next.start(ctx); err != nil {
		return nil, err
	}
	return next, b.stop()
}

// kill ends the process as a crash does.
func (b *balancer) kill() {
	b.process.Process.Kill()
	<-b.ended
	b.log.Close()
}

// stop ends the process in order; one that does not end is killed, and that is an error.
func (b *balancer) stop() error {
	defer b.log.Close()
	b.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-b.ended:
		return nil
	case <-time.After(stopWait):
		b.process.Process.Kill()
		<-b.ended
		return fmt.Errorf("balancer %s did not end within %v of SIGTERM", b.name, stopWait)
	}
}

// figures adds the balancer's own counts to a table.
func (b *balancer) figures(into map[string]uint64) error {
	figures, err := management.ParseMetrics(context.Background(), b.management)
	if err != nil {
		return fmt.Errorf("balancer %s: %w", b.name, err)
	}
	for name, n := range figures {
		into[name] += n
	}
	return nil
}

// keys is the ring's file that all balancers of a run share.
type keys struct {
	path string
	all  []token.Key
}

// add makes a new key that seals from now on, as long as a run may last.
func (k *keys) add() error {
	now := time.Now()
	key, err := token.NewKey(now.Add(-time.Second), now.Add(time.Hour), rand.Reader)
	if err != nil {
		return err
	}
	k.all = append(k.all, key)
	raw, err := token.FormatKeys(k.all)
	if err != nil {
		return err
	}
	if err := os.WriteFile(k.path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(k.path+".new", k.path)
}
