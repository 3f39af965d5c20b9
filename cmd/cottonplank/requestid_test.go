package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startSilentServer starts a room server that answers no request. It sends each request line to requests.
func startSilentServer(t *testing.T) (address string, requests chan string) {
	requests = make(chan string, 100)
	address = startTCPServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if line, err := reader.ReadString('\n'); err == nil && strings.HasPrefix(line, "OPEN ") {
			requests <- line
		}
		io.Copy(io.Discard, reader)
	})
	return address, requests
}

// Guards against a request that is run twice during an upgrade: its ID is in use at one process, or was when its client
// left, and comes again at the other.
func TestRequestIDIsNotRepeatedAtOtherProcess(t *testing.T) {
	for name, leaves := range map[string]bool{"the client waits": false, "the client has left": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var requests chan string
			d.server, requests = startSilentServer(t)
			discovery := d.startDiscovery(false)
			previous := d.start(discovery).waitReady()
			client := d.dial()
			line := d.openLine()
			io.WriteString(client, line+"\r\n")
			<-requests // the request has reached the room server
			if leaves {
				client.Close()
			}
			next := d.start(discovery).waitReady()
			previous.signal(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond) // from then on only the replacement process accepts
			for range 3 {
				d.exchange(d.dial(), line, "ERR")
			}
			previous.waitExit()
			d.exchange(d.dial(), line, "ERR")
			select {
			case repeated := <-requests:
				t.Errorf("the room server received %q again", repeated)
			default:
			}
			next.signal(syscall.SIGTERM)
			next.waitExit()
		})
	}
}

// Guards against request lines that are lost at an upgrade because the previous process has read a part of them: it
// serves them, also when the rest comes after its SIGTERM. An ID that was used so is not run again by the new process.
func TestHalfReadLinesAreServedAcrossUpgrade(t *testing.T) {
	const clients = 100 // below what each of two processes may serve
	d := newDeployment(t)
	discovery := d.startDiscovery(false)
	previous := d.start(discovery).waitReady()
	next := d.start(discovery)
	var half []testClient
	var lines []string
	for range clients { // begun before the new process is ready, and so accepted by the previous one
		client, line := d.dial(), d.openLine()+"\r\n"
		io.WriteString(client, line[:len(line)/2])
		half, lines = append(half, client), append(lines, line)
	}
	next.waitReady()
	previous.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	for i, client := range half {
		io.WriteString(client, lines[i][len(lines[i])/2:])
	}
	for i, client := range half {
		if answer, err := client.reader.ReadString('\n'); err != nil || answer != "UP receipt\r\n" {
			t.Errorf("client %d: %q, %v, want UP", i, answer, err)
		}
	}
	d.exchange(d.dial(), strings.TrimSuffix(lines[0], "\r\n"), "ERR")
	for _, client := range half {
		client.Close()
	}
	previous.waitExit()
	next.signal(syscall.SIGTERM)
	next.waitExit()
}
