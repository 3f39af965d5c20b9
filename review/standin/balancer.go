package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// class is a class of requests in a balancer's settings.
type class struct {
	Name     string  `json:"name"`
	Aim      float64 `json:"aim_s"`
	GiveUp   float64 `json:"give_up_s"`
	Repeat   string  `json:"repeat"`
	KeyScope string  `json:"key_scope"`
	Window   float64 `json:"window_s"`
	Worth    float64 `json:"points"`
	Streamed bool    `json:"streamed"`
}

// fleetSize is the number of balancers in the settings. A case starts one or two of them.
const fleetSize = 3

// deployment holds what differs between the balancers of the cases.
type deployment struct {
	mode      string // membership_mode
	classes   []class
	sockets   int
	tries     int  // most_tries
	noProbes  bool // room servers may not be probed
	known     []instance
	discovery string
}

// starts counts the configurations, as the seed is new with each start.
var starts uint64

// config returns a balancer's configuration file for one start, in the form of the deployment page.
func (d deployment) config(name, listen, management string) []byte {
	starts++
	raw, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "management": management, "discovery": d.discovery,
		"seed":   fmt.Sprintf("%016x", 0x8c1f30d27a5be964+starts),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": d.sockets},
		"known":  listing{Generation: 1, Reset: true, Instances: d.known},
		"settings": map[string]any{
			"zone": "rennes", "areas": []string{"rennes"}, "balancers": fleetSize,
			"membership_mode": d.mode, "profiles": d.classes,
			"limits": map[string]any{
				"cancel": true, "connect_timeout_s": 0.06, "max_retry_after_s": 1.5, "may_probe": !d.noProbes,
				"most_tries": d.tries, "retry_after": true, "second_copies": false,
			},
			"rules": map[string]any{
				"answer_slack_s": 0.008, "cold_s": 7.7, "cold_share": 0.37, "drain_grace_s": 0.5,
				"fall_multiple": 4.0, "fall_s": 1.0, "must_ask_in_s": 10.0,
			},
			"penalties": map[string]any{"probe": 0.0018, "moves": 0.019, "cross_zone": 0.16},
			"specifics": map[string]any{"groups": false, "message_aim_s": []float64{0.06}},
		},
	}, "", " ")
	must(err)
	return raw
}

// soloPlay and classRoom are two of the classes of the deployment armor-rooms.
var (
	soloPlay = class{Name: "solo-play", Aim: 0.3, GiveUp: 1.2, Repeat: "idempotent", KeyScope: "all", Window: 5,
		Worth: 1, Streamed: true}
	classRoom = class{Name: "class-room", Aim: 0.5, GiveUp: 3, Repeat: "idempotent", KeyScope: "all", Window: 5,
		Worth: 2, Streamed: true}
)

// balancer is a process that the deploy file's run command has started.
type balancer struct {
	name   string
	listen string
	cmd    *exec.Cmd
	exited chan struct{}
}

// runCommand returns the command run of the deploy file.
func runCommand() string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	must(err)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command
		}
	}
	fatal("deploy/balancer.toml has no run command")
	return ""
}

// startBalancer starts a balancer with its configuration in folder, which is also its TMPDIR. Arguments are appended
// to the run command.
func startBalancer(folder, name, listen string, config []byte, arguments ...string) *balancer {
	path := filepath.Join(folder, name+".json")
	must(os.WriteFile(path, config, 0o600))
	if _, err := os.Stat("bin/cottonplank"); err != nil {
		fatal("the deploy file's build has not run: %v", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	must(err)
	cmd := exec.Command("/bin/sh", "-c", strings.Join(append([]string{runCommand()}, arguments...), " "))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "TMPDIR="+folder)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	b := &balancer{name: name, listen: listen, cmd: cmd, exited: make(chan struct{})}
	cleanups = append(cleanups, func() { _ = cmd.Process.Kill(); <-b.exited })
	go func() { _ = cmd.Wait(); close(b.exited) }()
	record("started balancer %s, pid %d", name, cmd.Process.Pid)
	return b
}

// signal sends a signal to the balancer.
func (b *balancer) signal(s syscall.Signal) {
	record("%v to balancer %s", s, b.name)
	_ = b.cmd.Process.Signal(s)
}

// The answers to PING of the two addresses.
const (
	wordPong       = "PONG"
	wordManagement = "200"
)

// waitPong waits until a PING at the address is answered with a line that begins with word.
func waitPong(address, word string, limit time.Duration) bool {
	start := time.Now()
	for time.Since(start) < limit {
		if answer := ping(address); strings.HasPrefix(answer, word) {
			record("%s answered PING with %q after %d ms", address, answer, time.Since(start).Milliseconds())
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	record("%s did not answer PING with %s within %v", address, word, limit)
	return false
}

func ping(address string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "PING\r\n")
	raw := make([]byte, 256)
	n, _ := conn.Read(raw)
	return strings.TrimSpace(string(raw[:n]))
}

// freeAddress returns a loopback address whose TCP and UDP port are free.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
}
