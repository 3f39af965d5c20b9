package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cottonplank/internal/testbench/emulator"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a delivery's measurement.
const (
	deliveryTick  = time.Millisecond       // lines that fall due within it are written together
	deliveryOpens = 64                     // set-ups that are under way at once
	deliverySpare = 500 * time.Millisecond // for the last lines to arrive
	deliveryLine  = 200                    // bytes of a line
	deliveryWait  = 30 * time.Second       // until a connection stands, refusals included
	deliveryRest  = 100 * time.Millisecond // a client that was refused comes again after it
	deliveryHolds = 1 << 20                // connections that the room server says it could hold
)

// Delivery is what lines from room servers to clients cost one balancer.
type Delivery struct {
	Connections int     `json:"connections"`
	Rate        float64 `json:"deliveries_per_s"` // that were written
	Lost        int     `json:"lost"`             // and had not arrived 0.5 s after the end
	CPU         float64 `json:"cpu_ms_per_s"`     // of the balancer
	Each        float64 `json:"cpu_us_each"`      // beside what the connections cost at rest
	P50         float64 `json:"p50_ms"`           // from the moment at which a line was due until the client has it
	P99         float64 `json:"p99_ms"`
	Late        float64 `json:"lab_late_p99_ms"` // of that, how late the lab itself wrote
	RSS         float64 `json:"rss_mb"`
}

// Deliveries lets so many connections stand through one balancer, and delivers at several rates a second, one after the other.
func Deliveries(ctx context.Context, program string, connections int, rates []float64, seconds float64, say func(string)) (all []Delivery, err error) {
	dir, err := os.MkdirTemp("", "cottonplank-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	source, err := newSource()
	if err != nil {
		return nil, err
	}
	defer source.close()
	discovery := emulator.NewDiscovery(nil)
	defer discovery.Stop()
	address, err := discovery.For("n0")
	if err != nil {
		return nil, err
	}
	discovery.Put(emulator.Entry{Instance: "s-0", Address: source.l.Addr().String(), Zone: "a", Lifecycle: "active", Weight: 1})
	b, err := newBalancer(program, dir, "n0", Experiment{Balancers: 1, Seed: 1, MemoryMB: 4096, Patience: 5000,
		Sockets: 4*connections + 4096}, onlyPlace, address, discovery.Known())
	if err != nil {
		return nil, err
	}
	b.sockets = 0 // the limit of the configuration is enough; the process has the lab's
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	defer b.stop()
	clients, err := openClients(ctx, b.address, connections)
	defer clients.close()
	if err != nil {
		return nil, err
	}
	say(fmt.Sprintf("%d connections stand", connections))
	if err := pause(ctx, slopeSettle); err != nil {
		return nil, err
	}
	length := time.Duration(seconds * float64(time.Second))
	rest, _, err := b.rate(ctx, length, func(context.Context) error { return nil })
	if err != nil {
		return nil, err
	}
	for _, rate := range append([]float64{0}, rates...) {
		d := Delivery{Connections: connections}
		clients.reset()
		var sent int
		var late *hdrhistogram.Histogram
		if d.CPU, _, err = b.rate(ctx, length, func(ctx context.Context) error {
			sent, late = source.deliver(ctx, rate)
			return nil
		}); err != nil {
			return nil, err
		}
		if err := pause(ctx, deliverySpare); err != nil {
			return nil, err
		}
		took := clients.read()
		d.Rate, d.Lost = float64(sent)/seconds, sent-int(took.TotalCount())
		if sent > 0 {
			d.Each = (d.CPU - rest) / d.Rate * 1000
			d.P50, d.P99 = float64(took.ValueAtQuantile(50))/1000, float64(took.ValueAtQuantile(99))/1000
			d.Late = float64(late.ValueAtQuantile(99)) / 1000
		}
		at, err := b.spent()
		if err != nil {
			return nil, err
		}
		d.RSS = at.rss
		say(fmt.Sprintf("%.0f deliveries a second: %.0f ms/s, %.1f us each, p99 %.2f ms, %d lost", d.Rate, d.CPU, d.Each, d.P99, d.Lost))
		all = append(all, d)
	}
	return all, nil
}

// DeliveryTable writes deliveries for people.
func DeliveryTable(out io.Writer, all []Delivery) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "connections\tdeliveries/s\tlost\tCPU ms/s\tus each\tp50 ms\tp99 ms\tlab late p99 ms\tMB\t")
	for _, d := range all {
		fmt.Fprintf(w, "%d\t%.0f\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t\n", d.Connections, d.Rate, d.Lost, d.CPU, d.Each, d.P50, d.P99, d.Late, d.RSS)
	}
	return w.Flush()
}

// source is a room server that speaks of itself on all its connections.
type source struct {
	l     net.Listener
	mu    sync.Mutex
	conns []net.Conn
	all   sync.WaitGroup
}

// clock is what the lines carry: microseconds since the measurement's start, of the one process that writes and reads them.
var clock = time.Now()

func newSource() (*source, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &source{l: l}
	s.all.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.all.Go(func() { s.serve(conn) })
		}
	})
	return s, nil
}

// serve answers probes, and lets each request stand; then it reads until the end, answering lines as room servers do.
func (s *source) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	in.Buffer(make([]byte, 512), 4096)
	for in.Scan() {
		answer := "RE " + in.Text()
		switch word, _, _ := strings.Cut(in.Text(), " "); word {
		case "PING":
			answer = "PONG"
		case "STATS":
			s.mu.Lock()
			open := len(s.conns)
			s.mu.Unlock()
			answer = fmt.Sprintf("PONG qps=0,inflight=%d,x0=%.6f", open, float64(open)/deliveryHolds)
		case "OPEN":
			answer = "UP 0123456789abcdef"
		}
		if _, err := io.WriteString(conn, answer+"\r\n"); err != nil {
			return
		}
		if strings.HasPrefix(answer, "UP ") {
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
		}
	}
}

// deliver writes so many lines a second, each on a connection drawn anew, until ctx ends.
func (s *source) deliver(ctx context.Context, rate float64) (sent int, late *hdrhistogram.Histogram) {
	late = hdrhistogram.New(1, 60_000_000, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	s.mu.Lock()
	conns := s.conns
	s.mu.Unlock()
	pad := strings.Repeat("x", deliveryLine)
	tick := time.NewTicker(deliveryTick)
	defer tick.Stop()
	for began := time.Now(); ; {
		select {
		case <-ctx.Done():
			return sent, late
		case <-tick.C:
		}
		for due := int(time.Since(began).Seconds() * rate); sent < due; sent++ {
			at := began.Add(time.Duration(float64(sent) / rate * float64(time.Second)))
			late.RecordValue(max(time.Since(at).Microseconds(), 1))
			line := fmt.Sprintf("AT %d %s", at.Sub(clock).Microseconds(), pad)[:deliveryLine-2] + "\r\n"
			if _, err := io.WriteString(conns[rng.IntN(len(conns))], line); err != nil {
				return sent, late // the count shows that the rest is missing
			}
		}
	}
}

func (s *source) close() {
	s.l.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

// clients hold connections through a balancer and take the time of what arrives.
type clients struct {
	mu    sync.Mutex
	conns []net.Conn
	took  *hdrhistogram.Histogram
}

func openClients(ctx context.Context, address string, n int) (*clients, error) {
	c := &clients{took: hdrhistogram.New(1, 60_000_000, 3)}
	var all sync.WaitGroup
	errs := make(chan error, n)
	room := make(chan struct{}, deliveryOpens)
	for i := range n {
		if ctx.Err() != nil {
			return c, ctx.Err()
		}
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			if err := c.open(ctx, address, i); err != nil {
				errs <- err
			}
		})
	}
	all.Wait()
	select {
	case err := <-errs:
		return c, fmt.Errorf("of %d connections one did not stand: %w", n, err)
	default:
		return c, nil
	}
}

// open lets one connection stand. One that is refused comes again, as clients do.
func (c *clients) open(ctx context.Context, address string, i int) error {
	for end := time.Now().Add(deliveryWait); ; {
		err := c.try(ctx, address, i, end)
		if !errors.Is(err, errBusy) || time.Now().After(end) {
			return err
		}
		if err := pause(ctx, deliveryRest); err != nil {
			return err
		}
	}
}

var errBusy = errors.New("refused for so long")

func (c *clients) try(ctx context.Context, address string, i int, end time.Time) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn.SetReadDeadline(end)
	id := rand.Uint64() // new with every connection; nothing that is measured hangs on it
	if _, err := fmt.Fprintf(conn, "OPEN %016x %016x c=solo-play,t=lab,d=4000\r\n", id, i+1); err != nil {
		conn.Close()
		return err
	}
	in := bufio.NewReaderSize(conn, 512)
	line, err := in.ReadString('\n')
	switch {
	case err != nil:
		conn.Close()
		return err
	case strings.HasPrefix(line, "BUSY"):
		conn.Close()
		return errBusy
	case !strings.HasPrefix(line, "UP "):
		conn.Close()
		return errors.New("answered " + strconv.Quote(line))
	}
	conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	go c.hear(in)
	return nil
}

// hear takes the time of each line, until the connection ends.
func (c *clients) hear(in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		now := time.Since(clock).Microseconds()
		text, ok := strings.CutPrefix(line, "AT ")
		if !ok {
			continue
		}
		figure, _, _ := strings.Cut(text, " ")
		if at, err := strconv.ParseInt(figure, 10, 64); err == nil {
			c.mu.Lock()
			c.took.RecordValue(max(now-at, 1))
			c.mu.Unlock()
		}
	}
}

func (c *clients) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.took = hdrhistogram.New(1, 60_000_000, 3)
}

func (c *clients) read() *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.took.Export())
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
