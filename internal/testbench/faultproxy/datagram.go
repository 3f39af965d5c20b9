package faultproxy

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const maxDatagram = 64 << 10

// Datagrams carries datagrams one way, from whoever sends to its address to another one.
type Datagrams struct {
	conn     *net.UDPConn
	to       netip.AddrPort
	path     *Path
	receiver sync.WaitGroup
}

// NewDatagrams opens an address, whose datagrams go to another one over a path.
func NewDatagrams(listen, to netip.AddrPort, path *Path) (*Datagrams, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	d := &Datagrams{conn: conn, to: to, path: path}
	d.receiver.Go(d.forward)
	return d, nil
}

// Close ends it.
func (d *Datagrams) Close() {
	d.conn.Close()
	d.receiver.Wait()
}

func (d *Datagrams) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		now, _, _ := d.path.state()
		if now.Cut || d.path.chance(now.Loss) {
			continue
		}
		copies := 1
		if d.path.chance(now.Duplicate) {
			copies = 2
		}
		for range copies {
			wait := now.Delay + d.path.randomDelay(now.Jitter)
			if d.path.chance(now.Reorder) {
				wait += reorderDelay
			}
			d.send(append([]byte(nil), buffer[:n]...), wait)
		}
	}
}

func (d *Datagrams) send(datagram []byte, wait time.Duration) {
	if wait <= 0 {
		d.conn.WriteToUDPAddrPort(datagram, d.to)
		return
	}
	time.AfterFunc(wait, func() { d.conn.WriteToUDPAddrPort(datagram, d.to) }) // after Close it fails, and is lost
}
