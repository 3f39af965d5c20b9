package snmp

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"

	"github.com/gosnmp/gosnmp"
	"github.com/sirupsen/logrus"
)

const testCommunity = "secret"

// testServers is the number of room servers in testSnapshot.
const testServers = 14

var testClasses = []string{"solo-play", "team-play"}

// testSnapshot returns a snapshot with counters and with testServers room servers.
func testSnapshot() *core.Snapshot {
	s := &core.Snapshot{
		ClassCounters: core.ClassCounters{Served: 5, Rejected: 4, Failed: 3, Attempts: 9},
		Classes:       []core.ClassCounters{{Served: 4}, {Served: 1, Rejected: 4}},
		Service:       core.LameDuck,
		Established:   8,
		Counters: core.Counters{
			Migrations: 2,
			Probes:     7,
			SessionCounters: core.SessionCounters{
				TokensIssued: 11,
				Resumed:      12,
				StartedOver:  map[core.Reason]uint64{"gone": 13},
			},
		},
		Started:     time.Now().Add(-time.Minute),
		ListUpdated: time.Now().Add(-3 * time.Second),
		Clients:     6,
		Waiting:     1,
	}
	for i := range testServers {
		name := fmt.Sprintf("s-%d", i)
		s.Upstreams = append(s.Upstreams, core.UpstreamStats{
			Upstream:    core.Upstream{ID: core.ServerID(name), Name: name, Address: "127.0.0.1:1"},
			Zone:        "a",
			State:       decide.Draining,
			Connections: i,
			Load:        0.5,
		})
	}
	slices.SortFunc(s.Upstreams, func(a, b core.UpstreamStats) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startAgent starts an agent that answers from testSnapshot, and returns a client that uses the given community. Both
// are closed at the end of the test.
func startAgent(t *testing.T, community string) *gosnmp.GoSNMP {
	t.Helper()
	s := testSnapshot()
	snapshot := func() *core.Snapshot { return s }
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	agent := New(conn, testCommunity, "n3", testClasses, snapshot, snapshot, discardLogger())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { agent.Serve(ctx, hotrestart.NewPauser(conn.SetReadDeadline)) })
	t.Cleanup(func() { cancel(); running.Wait() })
	client := &gosnmp.GoSNMP{
		Target:    "127.0.0.1",
		Port:      uint16(agent.Addr().Port),
		Community: community,
		Version:   gosnmp.Version2c,
		Timeout:   2 * time.Second,
		Retries:   2,
		MaxOids:   60,
	}
	if err := client.Connect(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Conn.Close() })
	return client
}

// serverOID returns the object identifier of a room server's instance in the column with the given suffix.
func serverOID(suffix, server string) string {
	return fmt.Sprintf("%s%s.%d", serverEntryOID, suffix, core.ServerID(server))
}
