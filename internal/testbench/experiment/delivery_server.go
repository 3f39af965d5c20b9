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
	// deliveryTick is the interval at which the lines that are due are written.
	deliveryTick = time.Millisecond
	// deliveryLineBytes is the length of a delivered line in bytes, including CR LF.
	deliveryLineBytes = 200
	// deliveryCapacity is the number of connections at which the server's load reports show full utilization.
	deliveryCapacity = 1 << 20
	// maxRequestLineBytes is the length of the longest line that the server reads, in bytes.
	maxRequestLineBytes = 4096
)

// deliveryEpoch is the time that the times in delivered lines are relative to. The same process writes and reads the
// lines.
var deliveryEpoch = time.Now()

// deliveryServer emulates a room server that sends unsolicited lines to clients.
type deliveryServer struct {
	listener net.Listener
	// goroutines counts the goroutines that accept and serve connections. They end when the listener and their
	// connections are closed; nothing waits for that.
	goroutines sync.WaitGroup

	// mu guards conns.
	mu sync.Mutex
	// conns holds the connections that were established, including those that have ended.
	conns []net.Conn
}

// newDeliveryServer starts a server on a free loopback port.
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

// serve answers the lines of a connection until it ends: it answers probes, establishes all requests and echoes other
// lines.
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

// answer returns the answer to a line whose first word is given.
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

// deliver writes a number of lines per second, each to a random connection, until ctx ends or a connection fails. It
// returns the number of lines written, and a histogram of the delays from when lines were due until they were written,
// in microseconds.
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
				return sent, delays // DeliveryCost.Rate shows that lines are missing
			}
		}
	}
}

// deliveryPadding fills a line up to deliveryLineBytes.
var deliveryPadding = strings.Repeat("x", deliveryLineBytes)

// deliveryLine returns a line that contains the time at which it is due, in microseconds since deliveryEpoch.
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
