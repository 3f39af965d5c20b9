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

// startUnresponsiveServer starts a room server that reads a request and answers nothing; requests gets an element for
// each.
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

// A process shuts down while its room server answers no request: each client has its one response and then the end of
// the connection, and the process exits by itself. A second SIGTERM and a SIGHUP in the meantime change nothing.
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
	<-requests // the attempts are sent
	p.signal(syscall.SIGTERM)
	for range 3 { // they connect after the signal, as new clients do for a while
		client := d.dial()
		io.WriteString(client, d.openLine()+"\r\n")
		clients = append(clients, client)
	}
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	for i, client := range clients {
		line, err := client.reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "BUSY") {
			t.Errorf("client %d reads %q, %v", i, line, err)
		}
		if more, err := client.reader.ReadString('\n'); !errors.Is(err, io.EOF) || more != "" {
			t.Errorf("client %d then reads %q, %v", i, more, err)
		}
		client.Close()
	}
	p.waitExit()
}
