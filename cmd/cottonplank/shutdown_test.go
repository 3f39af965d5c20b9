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

// startUnresponsiveServer starts a room server that never answers. It sends an element to requests for each connection
// on which it has read a request.
func startUnresponsiveServer(t *testing.T) (address string, requests chan struct{}) {
	requests = make(chan struct{}, 100)
	address = startTCPServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := reader.ReadString('\n'); err == nil {
			requests <- struct{}{}
		}
		io.Copy(io.Discard, reader)
	})
	return address, requests
}

// Guards against a shutdown that hangs, or leaves clients without a response, because the room server answers no
// request. Each client receives BUSY and then the end of the connection, and the process exits with status 0. A second
// SIGTERM and a SIGHUP during the shutdown do not end the process early.
func TestShutdownWithUnresponsiveServer(t *testing.T) {
	d := newDeployment(t)
	var requests chan struct{}
	d.server, requests = startUnresponsiveServer(t)
	p := d.start(d.startDiscovery(false)).waitReady()
	var clients []testClient
	for range 10 {
		client := d.dial()
		io.WriteString(client, d.openLine()+"\r\n")
		clients = append(clients, client)
	}
	<-requests // a request has reached the room server
	p.signal(syscall.SIGTERM)
	for range 3 { // the platform still sends new clients for up to 0.4 s after the signal
		client := d.dial()
		io.WriteString(client, d.openLine()+"\r\n")
		clients = append(clients, client)
	}
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	for i, client := range clients {
		line, err := client.reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "BUSY") {
			t.Errorf("client %d received %q, %v, want BUSY", i, line, err)
		}
		if more, err := client.reader.ReadString('\n'); !errors.Is(err, io.EOF) || more != "" {
			t.Errorf("client %d then received %q, %v, want the end of the connection", i, more, err)
		}
		client.Close()
	}
	p.waitExit()
}
