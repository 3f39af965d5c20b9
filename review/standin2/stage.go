package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes the record of a case, a line for each event with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	r.file.WriteString(line)
}

// stage holds what all cases share: the record, a temporary folder, and the processes and listeners to end.
type stage struct {
	record  *recorder
	dir     string
	trouble bool // whether the disruption takes place

	mu      sync.Mutex
	closers []func()
}

func newStage() (*stage, error) {
	path := os.Getenv("RECORD")
	if path == "" {
		return nil, errors.New("RECORD names no file")
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &stage{
		record:  &recorder{file: file, start: time.Now()},
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	s.onClose(func() { os.RemoveAll(dir) })
	s.record.add("disruption: %v", s.trouble)
	return s, nil
}

func (s *stage) onClose(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, do)
}

// close ends everything that the case has started, the latest first.
func (s *stage) close() {
	s.mu.Lock()
	closers := s.closers
	s.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	s.record.file.Close()
}

// freeTCP returns a free loopback address for TCP.
func freeTCP() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// freeUDP returns a free loopback address for UDP.
func freeUDP() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.LocalAddr().String(), nil
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		rest, ok := strings.CutPrefix(line, key+" = \"")
		if !ok {
			continue
		}
		if command, _, ok := strings.Cut(rest, "\""); ok {
			return command, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no command %q", key)
}

// object is a JSON object.
type object = map[string]any

// balancer is a balancer that is started with the command run of the deploy file.
type balancer struct {
	stage      *stage
	name       string
	listen     string
	quicListen string // empty: without the QUIC frontend
	discovery  string
	known      object
	settings   object
	starts     int
	process    *exec.Cmd
	exited     chan struct{}
}

// start starts the process and waits until it answers PING with PONG.
func (b *balancer) start() error {
	run, err := deployCommand("run")
	if err != nil {
		return err
	}
	b.starts++
	config := object{
		"name": b.name, "listen": b.listen, "discovery": b.discovery, "seed": fmt.Sprintf("8c1f30d2%x", b.starts),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1100},
		"known":    b.known,
		"settings": b.settings,
	}
	configFile, err := b.writeJSON("config", config)
	if err != nil {
		return err
	}
	if b.quicListen != "" {
		fronts, err := b.writeJSON("fronts", object{"quic": quicSettings(b.settings, b.quicListen)})
		if err != nil {
			return err
		}
		run += " -fronts " + fronts
	}
	temporary := filepath.Join(b.stage.dir, fmt.Sprintf("%s-tmp-%d", b.name, b.starts))
	if err := os.Mkdir(temporary, 0o700); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.stage.dir, fmt.Sprintf("%s-%d.log", b.name, b.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	b.process = exec.Command("/bin/sh", "-c", run)
	b.process.Env = append(os.Environ(), "PROXY_CONFIG="+configFile, "PROXY_NAME="+b.name, "PROXY_LISTEN="+b.listen,
		"PROXY_DISCOVERY="+b.discovery, "TMPDIR="+temporary)
	b.process.Stdout, b.process.Stderr = log, log
	if err := b.process.Start(); err != nil {
		return err
	}
	b.stage.record.add("balancer %s: started", b.name)
	process, exited := b.process, make(chan struct{})
	b.exited = exited
	go func() { process.Wait(); close(exited) }()
	b.stage.onClose(func() { process.Process.Signal(syscall.SIGKILL); <-exited })
	return b.awaitReady(log.Name())
}

func (b *balancer) writeJSON(kind string, value object) (string, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	path := filepath.Join(b.stage.dir, fmt.Sprintf("%s-%s-%d.json", b.name, kind, b.starts))
	return path, os.WriteFile(path, raw, 0o600)
}

func (b *balancer) awaitReady(log string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-b.exited:
			raw, _ := os.ReadFile(log)
			return fmt.Errorf("balancer %s: ended at its start: %s", b.name, raw)
		default:
		}
		if b.answersPing() {
			b.stage.record.add("balancer %s: answers PONG", b.name)
			return nil
		}
	}
	return fmt.Errorf("balancer %s: no PONG", b.name)
}

func (b *balancer) answersPing() bool {
	conn, err := net.Dial("tcp", b.listen)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "PONG\r\n"
}

// kill ends the process without a warning.
func (b *balancer) kill() {
	b.process.Process.Signal(syscall.SIGKILL)
	<-b.exited
	b.stage.record.add("balancer %s: killed", b.name)
}

// alive reports whether the process runs.
func (b *balancer) alive() bool {
	select {
	case <-b.exited:
		return false
	default:
		return true
	}
}
