package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pieceInterval is the time between two pieces of a room server's lines.
	pieceInterval = 200 * time.Millisecond
	// movedClients is the number of connections that stand when the balancer is told to end.
	movedClients = 24
	// killAfter is when SIGKILL comes after SIGTERM: the longest deadline, 3 s, and 0.7 s.
	killAfter = 3700 * time.Millisecond
)

// pieceRoom is the stand-in for a room server that sends lines of its own all the time and returns each line of a
// client. Its lines come whole, or in pieces that end in the middle of a line.
type pieceRoom struct {
	name     string
	listener net.Listener
	inPieces bool

	mutex sync.Mutex
	wrote map[string]time.Time // by request: when the latest bytes were written to its connection
}

func newPieceRoom(name string, inPieces bool) *pieceRoom {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &pieceRoom{name: name, listener: listener, inPieces: inPieces, wrote: map[string]time.Time{}}
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

func (r *pieceRoom) entry() instance {
	return instance{InstanceID: r.name, HostPort: r.listener.Addr().String(), Zone: "rennes", MachineType: "fast-pair",
		Cell: 1, Lifecycle: "active", Weight: 1}
}

func (r *pieceRoom) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.Fields(line); len(words) == 4 && words[0] == "OPEN" {
			r.hold(conn, reader, words[1])
			return
		}
		fmt.Fprint(conn, "PONG qps=1,inflight=10,x0=0.1\r\n")
	}
}

// hold serves a connection from its request to its end.
func (r *pieceRoom) hold(conn net.Conn, reader *bufio.Reader, id string) {
	record("%s: OPEN %s", r.name, id)
	lines := make(chan string, 64)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				record("%s: the connection of %s ended: %v", r.name, id, err)
				return
			}
			lines <- strings.TrimSpace(line)
		}
	}()
	rest := fmt.Sprintf("UP %s-%s\r\n", r.name, id)
	for n := 0; ; n++ {
		next := fmt.Sprintf("NEWS %d of the room", n)
		select {
		case next = <-lines:
		default:
		}
		piece := rest + next + "\r\n"
		rest = ""
		if r.inPieces {
			half := len(piece) - len(next)/2 - 2
			piece, rest = piece[:half], piece[half:]
		}
		if _, err := fmt.Fprint(conn, piece); err != nil {
			return
		}
		record("%s: wrote %q to %s", r.name, piece, id)
		r.mutex.Lock()
		r.wrote[id] = time.Now()
		r.mutex.Unlock()
		select {
		case <-ended:
			return
		case <-time.After(pieceInterval):
		}
	}
}

// answers returns whether the room server has written to a request's connection within the second before a time.
func (r *pieceRoom) answers(id string, at time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return at.Sub(r.wrote[id]) < time.Second
}

// playPieces tells a balancer with standing connections to end. The disruption is that the lines of half of the room
// servers come in pieces. The rule is broken if a connection whose room server still answers ends without MOVE, or is
// still held when SIGKILL comes.
func playPieces(folder string) bool {
	rooms := map[string]*pieceRoom{}
	var entries []instance
	for _, name := range []string{"s-1", "s-2", "s-3", "s-4"} {
		rooms[name] = newPieceRoom(name, trouble && (name == "s-1" || name == "s-2"))
		entries = append(entries, rooms[name].entry())
	}
	d := newDiscovery(entries...)
	d.up()
	plan := deployment{mode: "subscribe", classes: []class{soloPlay, classRoom}, sockets: 512, tries: 3, known: entries,
		discovery: d.address}
	listen := freeAddress()
	b := startBalancer(folder, "n1", listen, plan.config("n1", listen, freeAddress()))
	if !waitPong(listen, wordPong, 30*time.Second) {
		fatal("the balancer is not ready")
	}
	time.Sleep(1500 * time.Millisecond)
	var mutex sync.Mutex
	var running sync.WaitGroup
	count := map[string]int{}
	for i := range movedClients {
		c := dial(listen)
		if c == nil || c.open("solo-play", 1200*time.Millisecond) != served {
			fatal("connection %d was not brought up", i)
		}
		running.Go(func() {
			outcome := c.playUntilEnd(rooms)
			mutex.Lock()
			defer mutex.Unlock()
			count[outcome]++
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	b.signal(syscall.SIGTERM)
	select {
	case <-b.exited:
		record("the balancer has ended")
	case <-time.After(killAfter):
		b.signal(syscall.SIGKILL)
	}
	running.Wait()
	say("ends of the connections: %v", count)
	return count[cutOff] > 0
}

// Ends of a standing connection.
const (
	moved       = "moved"
	cutOff      = "cut off without MOVE while the room server answers"
	endedByRoom = "ended without MOVE, the room server silent"
)

// playUntilEnd sends a line every 2 s and reads until the connection ends. It returns how that ended.
func (c *client) playUntilEnd(rooms map[string]*pieceRoom) string {
	defer c.close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 0; ; n++ {
			if _, err := fmt.Fprintf(c.conn, "STEP %d\r\n", n); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
		}
	}()
	name := strings.TrimPrefix(strings.TrimSuffix(c.answer, "-"+c.id), "UP ")
	last := ""
	for {
		line, err := c.reader.ReadString('\n')
		if line == "MOVE\r\n" {
			record("client %s at %s: MOVE", c.id, name)
			return moved
		}
		if err != nil {
			outcome := endedByRoom
			if rooms[name].answers(c.id, time.Now()) {
				outcome = cutOff
			}
			record("client %s: %s %s, last line %q, then %q and %v", c.id, outcome, name, last, line, err)
			return outcome
		}
		last = line
	}
}
