package quic

import (
	"encoding/binary"
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Layout of struct sock_extended_err (ip(7), IP_RECVERR): the error number, and one byte for what has caused it.
const (
	extendedErrorOrigin  = 4
	extendedErrorMinSize = 16
)

// enableErrorQueue makes the kernel keep each ICMP error of a socket, and the datagram that has caused it, for
// countUndelivered. Without that, the socket has room for a single error.
func enableErrorQueue(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		if unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1) == nil {
			optionErr = nil
		}
	})
	return errors.Join(err, optionErr)
}

// countUndelivered returns how many of the datagrams that were written to the socket were reported by ICMP as not
// delivered, since the last call.
func countUndelivered(conn *net.UDPConn) (count int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	// An error of Control means that the socket is closed; what was counted before stands.
	_ = raw.Control(func(fd uintptr) {
		control := make([]byte, 512)
		for {
			_, n, _, _, err := unix.Recvmsg(int(fd), nil, control, unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			if err != nil {
				return
			}
			if isICMPError(control[:n]) {
				count++
			}
		}
	})
	return count
}

// isICMPError reports whether the control messages of an entry of the error queue describe an ICMP error.
func isICMPError(control []byte) bool {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return false
	}
	for _, m := range messages {
		received := m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_RECVERR ||
			m.Header.Level == unix.IPPROTO_IPV6 && m.Header.Type == unix.IPV6_RECVERR
		if !received || len(m.Data) < extendedErrorMinSize || binary.NativeEndian.Uint32(m.Data) == 0 {
			continue
		}
		origin := m.Data[extendedErrorOrigin]
		return origin == unix.SO_EE_ORIGIN_ICMP || origin == unix.SO_EE_ORIGIN_ICMP6
	}
	return false
}

// isPortClosed reports whether an error of a connected socket means that the peer's port, or its protocol, was not
// there for an earlier datagram.
func isPortClosed(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ENOPROTOOPT)
}

// isPathError reports whether an error of a connected socket concerns single datagrams on their way: the next one may
// arrive.
func isPathError(err error) bool {
	return errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH) ||
		errors.Is(err, unix.EHOSTDOWN) || errors.Is(err, unix.EMSGSIZE)
}
