package platform

import (
	"net"

	"golang.org/x/sys/unix"
)

const (
	// maxUnsentBytes limits the data in the kernel that was not sent to the client of an established connection yet.
	// The kernel's send buffer is larger as a rule, so a migration can still write to a client that has stopped reading.
	maxUnsentBytes = 16 << 10
	// unlimitedUnsentBytes lifts the limit, so that only the kernel's send buffer limits unsent data.
	unlimitedUnsentBytes = 1<<31 - 1
)

// limitUnsentBytes limits the data in the kernel that was not sent to the peer of conn yet (TCP_NOTSENT_LOWAT). A write
// that is blocked continues if a higher limit allows it. On an error the limit stays as it was: writes work without it.
func limitUnsentBytes(conn *net.TCPConn, limit int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, limit)
	})
}
