package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// opened is a request that a room server has received.
type opened struct {
	id string
	at time.Time
}

// room is the stand-in for a room server. It brings up each connection at once and returns each line that a client
// sends.
type room struct {
	name     string
	address  string
	listener net.Listener

	mutex sync.Mutex
	open  map[net.Conn]bool
	got   []opened
}

func newRoom(name string) *room {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &room{name: name, address: listener.Addr().String(), listener: listener, open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// entry returns the room server's entry in discovery's list.
func (r *room) entry(lifecycle string) instance {
	return instance{InstanceID: r.name, HostPort: r.address, Zone: "rennes", MachineType: "fast-pair", Cell: 1,
		Lifecycle: lifecycle, Weight: 1}
}

// requests returns the requests that the room server has received so far.
func (r *room) requests() []opened {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]opened(nil), r.got...)
}

func (r *room) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		switch words := strings.Fields(line); {
		case len(words) == 1 && words[0] == "PING":
			fmt.Fprint(conn, "PONG\r\n")
		case len(words) == 1 && words[0] == "STATS":
			r.mutex.Lock()
			count := len(r.open)
			r.mutex.Unlock()
			fmt.Fprintf(conn, "PONG qps=1,inflight=%d,x0=%.3f\r\n", count, float64(count)/400)
		case len(words) == 4 && words[0] == "OPEN":
			r.hold(conn, reader, words[1])
			return
		default:
			record("%s: got %q", r.name, line)
			fmt.Fprint(conn, "SYNTAX\r\n")
			return
		}
	}
}

// hold serves a connection from its request to its end.
func (r *room) hold(conn net.Conn, reader *bufio.Reader, id string) {
	r.mutex.Lock()
	r.got = append(r.got, opened{id, time.Now()})
	r.open[conn] = true
	r.mutex.Unlock()
	record("%s: OPEN %s", r.name, id)
	defer func() {
		r.mutex.Lock()
		delete(r.open, conn)
		r.mutex.Unlock()
	}()
	fmt.Fprintf(conn, "UP %s-%s\r\n", r.name, id)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprint(conn, line); err != nil {
			return
		}
	}
}
