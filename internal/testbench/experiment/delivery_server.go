package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// deliveryTick is the interval at which lines that are due are written together.
	deliveryTick = time.Millisecond
	// deliveryLineBytes is the length of a line, with its end.
	deliveryLineBytes = 200
	// deliveryCapacity is the number of connections that the server claims to have capacity for.
	deliveryCapacity = 1 << 20
	// maxRequestLineBytes is the longest line that the server reads.
	maxRequestLineBytes = 4096
)

// deliveryEpoch is the time from which the times in delivered lines are counted. One process writes and reads them.
var deliveryEpoch = time.Now()

// deliveryServer emulates a room server that writes lines on its own initiative.
type deliveryServer struct {
	listener net.Listener
	// goroutines counts those that end with the listener and the connections.
	goroutines sync.WaitGroup

	// mu guards conns.
	mu sync.Mutex
	// conns holds the established connections.
	conns []net.Conn
}

// newDeliveryServer starts a server at a free address on loopback.
func newDeliveryServer() (*deliveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &deliveryServer{listener: listener}
	s.goroutines.Go(s.accept)
	return s, nil
}

func (s *deliveryServer) address() string { return s.listener.Addr().String() }

// accept accepts connections until the listener is closed.
func (s *deliveryServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

// serve answers probes, establishes each request, and answers further lines as room servers do, until the connection
// ends.
func (s *deliveryServer) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	lines.Buffer(make([]byte, 512), maxRequestLineBytes)
	for lines.Scan() {
		word, _, _ := strings.Cut(lines.Text(), " ")
		if _, err := io.WriteString(conn, s.answer(word, lines.Text())+"\r\n"); err != nil {
			return
		}
		if word == "OPEN" {
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
		}
	}
}

// answer returns the answer to a line that begins with a word.
func (s *deliveryServer) answer(word, line string) string {
	switch word {
	case "PING":
		return "PONG"
	case "STATS":
		s.mu.Lock()
		established := len(s.conns)
		s.mu.Unlock()
		utilization := float64(established) / deliveryCapacity
		return fmt.Sprintf("PONG qps=0,inflight=%d,x0=%.6f", established, utilization)
	case "OPEN":
		return "UP 0123456789abcdef"
	}
	return "RE " + line
}

// deliver writes lines at a rate per second, each on a random connection, until ctx ends or a connection fails. It
// returns the number of lines, and a histogram of the microseconds by which they were written too late.
func (s *deliveryServer) deliver(ctx context.Context, rate float64) (sent int, delays *hdrhistogram.Histogram) {
	delays = newDeliveryHistogram()
	rng := rand.New(rand.NewPCG(1, 2))
	s.mu.Lock()
	conns := s.conns
	s.mu.Unlock()
	ticker := time.NewTicker(deliveryTick)
	defer ticker.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return sent, delays
		case <-ticker.C:
		}
		for due := int(time.Since(start).Seconds() * rate); sent < due; sent++ {
			dueAt := start.Add(seconds(float64(sent) / rate))
			delays.RecordValue(max(time.Since(dueAt).Microseconds(), 1))
			if _, err := io.WriteString(conns[rng.IntN(len(conns))], deliveryLine(dueAt)); err != nil {
				return sent, delays // the result shows that the others are missing
			}
		}
	}
}

// deliveryPadding fills a line up to its length.
var deliveryPadding = strings.Repeat("x", deliveryLineBytes)

// deliveryLine returns a line with the time at which it was due, in microseconds since deliveryEpoch.
func deliveryLine(dueAt time.Time) string {
	line := fmt.Sprintf("AT %d %s", dueAt.Sub(deliveryEpoch).Microseconds(), deliveryPadding)
	return line[:deliveryLineBytes-2] + "\r\n"
}

func newDeliveryHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDeliveryMicros, histogramDigits)
}

// close closes the listener and the established connections.
func (s *deliveryServer) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}
