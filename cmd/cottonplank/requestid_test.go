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
