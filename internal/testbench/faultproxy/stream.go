package faultproxy

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// bufferSize is the size of a stream's read buffer in bytes, and so the largest size of a packet.
	bufferSize = 4096
	// maxQueuedPackets is the number of packets of one direction that may wait before reading stops.
	maxQueuedPackets = 64
)

// packet holds the bytes of a stream that one read has returned.
type packet struct {
	data []byte
	// due is the earliest time at which the packet may be written; zero if it is not delayed.
	due time.Time
}

// copy copies one direction of a connection over a path until it ends, and then calls end, which closes both
// connections.
func (p *Port) copy(ctx context.Context, to io.Writer, from io.Reader, path *Path, end func()) {
	packets := make(chan packet, maxQueuedPackets)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer end()
	reader.Go(func() { readPackets(ctx, from, path, packets) })
	for next := range packets {
		if !path.waitToWrite(ctx, next) {
			return
		}
		p.bytes.Add(uint64(len(next.data)))
		if _, err := to.Write(next.data); err != nil {
			return
		}
	}
}

// readPackets reads a stream and sends its bytes as packets until the stream or ctx ends, and then closes the channel.
func readPackets(ctx context.Context, from io.Reader, path *Path, packets chan<- packet) {
	defer close(packets)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			conditions, _, _ := path.current()
			next := packet{data: append([]byte(nil), buffer[:n]...)}
			if conditions.Delay > 0 {
				next.due = time.Now().Add(conditions.Delay)
			}
			select {
			case packets <- next:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToWrite waits until a packet may be written: its delay and any cut have ended, and the bandwidth limit allows it.
// It reports false if ctx ends first.
func (p *Path) waitToWrite(ctx context.Context, next packet) bool {
	if !next.due.IsZero() {
		select {
		case <-time.After(time.Until(next.due)):
		case <-ctx.Done():
			return false
		}
	}
	if !p.waitWhileCut(ctx) {
		return false
	}
	_, limit, _ := p.current()
	return limit == nil || limit.WaitN(ctx, len(next.data)) == nil
}

// waitWhileCut waits while the path is cut. It reports false if ctx ends before the cut does.
func (p *Path) waitWhileCut(ctx context.Context) bool {
	for {
		conditions, _, changed := p.current()
		if !conditions.Cut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
