package gossip

import "sync/atomic"

// Stats counts gossip frames since the start of the process. A frame is a UDP datagram or a TCP stream.
type Stats struct {
	// BytesSent counts the bytes sent in datagrams and in the streams that this instance has opened. Known fault: the
	// answers in streams that other members have opened are not counted.
	BytesSent uint64
	// FramesSent counts the datagrams that were sent and the streams that were opened.
	FramesSent uint64
	// TooLong counts the received datagrams that were dropped because of their length.
	TooLong uint64
	// Replayed counts the received datagrams that were dropped because they had been received before.
	Replayed uint64
	// Rejected counts the received frames that were malformed, encrypted with an unknown key or otherwise rejected by
	// the library.
	Rejected uint64
}

// counters are the counts behind Stats.
type counters struct {
	bytesSent  atomic.Uint64
	framesSent atomic.Uint64
	tooLong    atomic.Uint64
	replayed   atomic.Uint64
	rejected   atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{
		BytesSent:  c.bytesSent.Load(),
		FramesSent: c.framesSent.Load(),
		TooLong:    c.tooLong.Load(),
		Replayed:   c.replayed.Load(),
		Rejected:   c.rejected.Load(),
	}
}
