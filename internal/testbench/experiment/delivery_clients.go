package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxConcurrentConnects is the largest number of clients that connect at the same time.
	maxConcurrentConnects = 64
	// connectTimeout is how long a client may take to establish its connection, including all retries.
	connectTimeout = 30 * time.Second
	// connectRetryDelay is the time before a rejected client retries.
	connectRetryDelay = 100 * time.Millisecond
	// clientBufferBytes is the size of a client's read buffer in bytes.
	clientBufferBytes = 512
)

// errRejected is returned for a request that was answered BUSY. Callers of connect receive it only if the retries end
// at connectTimeout, as its text says.
var errRejected = errors.New("still rejected with BUSY at the time-out")

// deliveryClients hold connections through a balancer and measure the latencies of the lines that they receive.
type deliveryClients struct {
	// mu guards the other fields.
	mu    sync.Mutex
	conns []net.Conn
	// latencies holds the times from when each line was due until it was read, in microseconds.
	latencies *hdrhistogram.Histogram
}

// connectClients establishes n connections. The caller must close the clients, even if there is an error.
func connectClients(ctx context.Context, address string, n int) (*deliveryClients, error) {
	c := &deliveryClients{latencies: newDeliveryHistogram()}
	var connecting sync.WaitGroup
	errs := make(chan error, n)
	semaphore := make(chan struct{}, maxConcurrentConnects)
	for i := range n {
		if ctx.Err() != nil {
			return c, ctx.Err()
		}
		semaphore <- struct{}{}
		connecting.Go(func() {
			defer func() { <-semaphore }()
			if err := c.connect(ctx, address, i); err != nil {
				errs <- err
			}
		})
	}
	connecting.Wait()
	select {
	case err := <-errs:
		return c, fmt.Errorf("at least one of %d connections was not established: %w", n, err)
	default:
		return c, nil
	}
}

// connect establishes the connection of a client. A client that is rejected with BUSY retries until connectTimeout;
// other errors are returned immediately.
func (c *deliveryClients) connect(ctx context.Context, address string, client int) error {
	for end := time.Now().Add(connectTimeout); ; {
		err := c.attempt(ctx, address, client, end)
		if !errors.Is(err, errRejected) || time.Now().After(end) {
			return err
		}
		if err := sleep(ctx, connectRetryDelay); err != nil {
			return err
		}
	}
}

// attempt makes one request. If the answer is UP, another goroutine reads lines until the connection is closed.
func (c *deliveryClients) attempt(ctx context.Context, address string, client int, end time.Time) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, clientBufferBytes)
	if err := request(conn, reader, client, end); err != nil {
		conn.Close()
		return err
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	go c.readLines(reader)
	return nil
}

// request sends the first line of a client and reads the answer. It returns an error if the answer is not UP.
func request(conn net.Conn, reader *bufio.Reader, client int, end time.Time) error {
	conn.SetReadDeadline(end)
	requestID := rand.Uint64() // not from a seed: it has no effect on the measurement
	_, err := fmt.Fprintf(conn, "OPEN %016x %016x c=%s,t=%s,d=4000\r\n", requestID, client+1, playerClass, tenantName)
	if err != nil {
		return err
	}
	line, err := reader.ReadString('\n')
	switch {
	case err != nil:
		return err
	case strings.HasPrefix(line, "BUSY"):
		return errRejected
	case !strings.HasPrefix(line, "UP "):
		return errors.New("unexpected answer " + strconv.Quote(line))
	}
	conn.SetReadDeadline(time.Time{})
	return nil
}

// readLines records the latency of each delivered line until the connection ends.
func (c *deliveryClients) readLines(reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		now := time.Since(deliveryEpoch).Microseconds()
		text, ok := strings.CutPrefix(line, "AT ")
		if !ok {
			continue
		}
		micros, _, _ := strings.Cut(text, " ")
		dueAt, err := strconv.ParseInt(micros, 10, 64)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.latencies.RecordValue(max(now-dueAt, 1))
		c.mu.Unlock()
	}
}

// resetLatencies discards the latencies that were recorded so far.
func (c *deliveryClients) resetLatencies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencies = newDeliveryHistogram()
}

// readLatencies returns a copy of the latencies that were recorded since the last reset.
func (c *deliveryClients) readLatencies() *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.latencies.Export())
}

// close closes all connections.
func (c *deliveryClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
