package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
)

// startUnresponsiveServer is a stand-in room server that takes a first line and says nothing; told gets a word for each.
func startUnresponsiveServer(t *testing.T) (address string, told chan struct{}) {
	told = make(chan struct{}, 100)
	return startTCPServer(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := r.ReadString('\n'); err == nil {
			told <- struct{}{}
		}
		io.Copy(io.Discard, r)
	}), told
}

// A process is told to end while its room server hangs with every request: each client has its one answer and then the
// end, and the process ends by itself. A second SIGTERM and a SIGHUP meanwhile change nothing.
func TestShutdownWithUnresponsiveServer(t *testing.T) {
	d := newDeployment(t)
	var told chan struct{}
	d.server, told = startUnresponsiveServer(t)
	p := d.start(d.startDiscovery(false)).waitReady()
	var clients []testClient
	for range 10 {
		c := d.dial()
		io.WriteString(c, d.openLine()+"\r\n")
		clients = append(clients, c)
	}
	<-told // the attempts are out
	p.signal(syscall.SIGTERM)
	for range 3 { // they come after the signal, as new connections do for a while
		c := d.dial()
		io.WriteString(c, d.openLine()+"\r\n")
		clients = append(clients, c)
	}
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	for i, c := range clients {
		line, err := c.reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "BUSY") {
			t.Errorf("client %d reads %q, %v", i, line, err)
		}
		if more, err := c.reader.ReadString('\n'); !errors.Is(err, io.EOF) || more != "" {
			t.Errorf("client %d then reads %q, %v", i, more, err)
		}
		c.Close()
	}
	p.waitExit()
}
