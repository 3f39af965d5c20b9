package faultproxy

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDatagramBytes is the size of the receive buffer in bytes. No UDP datagram is larger.
const maxDatagramBytes = 64 << 10

// DatagramProxy forwards UDP datagrams from its address to a target. It has one direction: datagrams of the target
// are not sent back.
type DatagramProxy struct {
	conn     *net.UDPConn
	target   netip.AddrPort
	path     *Path
	receiver sync.WaitGroup
}

// NewDatagramProxy listens on an address and forwards the datagrams that arrive there to the target until Close, with
// the faults of the path.
func NewDatagramProxy(listen, target netip.AddrPort, path *Path) (*DatagramProxy, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("datagram proxy: %w", err)
	}
	d := &DatagramProxy{conn: conn, target: target, path: path}
	d.receiver.Go(d.forward)
	return d, nil
}

// Close stops forwarding. Datagrams that still wait for their delay are lost.
func (d *DatagramProxy) Close() {
	d.conn.Close()
	d.receiver.Wait()
}

// forward receives datagrams until the connection is closed.
func (d *DatagramProxy) forward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		d.applyConditions(buffer[:n])
	}
}

// applyConditions applies the path's conditions to a datagram: it drops the datagram, or sends it once or twice after a
// delay.
func (d *DatagramProxy) applyConditions(datagram []byte) {
	conditions, _, _ := d.path.current()
	if conditions.Cut || d.path.chance(conditions.Loss) {
		return
	}
	copies := 1
	if d.path.chance(conditions.Duplicate) {
		copies = 2
	}
	for range copies {
		delay := conditions.Delay + d.path.randomDelay(conditions.Jitter)
		if d.path.chance(conditions.Reorder) {
			delay += reorderDelay
		}
		d.send(append([]byte(nil), datagram...), delay)
	}
}

// send sends a datagram after a delay, without waiting for it.
func (d *DatagramProxy) send(datagram []byte, delay time.Duration) {
	if delay <= 0 {
		d.conn.WriteToUDPAddrPort(datagram, d.target)
		return
	}
	time.AfterFunc(delay, func() { d.conn.WriteToUDPAddrPort(datagram, d.target) })
}
