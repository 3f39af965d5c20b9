package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes what it receives on each connection, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// openPort opens a port of a link.
func openPort(t *testing.T, link *Link, balancer int) *Port {
	t.Helper()
	port, err := link.Port(balancer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Close)
	return port
}

// dial connects to a port.
func dial(t *testing.T, port *Port) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", port.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// echoed writes a message and reports whether it is echoed.
func echoed(conn net.Conn, message string) bool {
	if _, err := io.WriteString(conn, message); err != nil {
		return false
	}
	got := make([]byte, len(message))
	_, err := io.ReadFull(conn, got)
	return err == nil && string(got) == message
}
