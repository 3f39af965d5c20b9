package snmp

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/operations/hotrestart"
	"cottonplank/internal/session/migration"

	"github.com/gosnmp/gosnmp"
	"github.com/sirupsen/logrus"
)

var classes = []string{"solo-play", "team-play"}

func snapshot() *core.Snapshot {
	s := &core.Snapshot{ClassCounters: core.ClassCounters{Served: 5, Rejected: 4, Failed: 3, Attempts: 9},
		Classes: []core.ClassCounters{{Served: 4}, {Served: 1, Rejected: 4}}, Service: core.LameDuck, Established: 8,
		Counters: core.Counters{Migrations: 2, Probes: 7, SessionCounters: core.SessionCounters{TokensIssued: 11, Resumed: 12,
			StartedOver: map[core.Reason]uint64{"gone": 13}}},
		Started: time.Now().Add(-time.Minute), ListUpdated: time.Now().Add(-3 * time.Second), Clients: 6, Waiting: 1}
	for i := range 14 {
		name := fmt.Sprintf("s-%d", i)
		s.Upstreams = append(s.Upstreams, core.UpstreamStats{Zone: "a", State: decide.Draining, Connections: i, Load: 0.5,
			Upstream: core.Upstream{ID: core.ServerID(name), Name: name, Address: "127.0.0.1:1"}})
	}
	slices.SortFunc(s.Upstreams, func(a, b core.UpstreamStats) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

func start(t *testing.T, community string) *gosnmp.GoSNMP {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := snapshot()
	get := func() *core.Snapshot { return s }
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	a := New(conn, "secret", "n3", classes, get, get, log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.Serve(ctx, hotrestart.NewPauser(conn.SetReadDeadline)) })
	t.Cleanup(func() { cancel(); running.Wait() })
	client := &gosnmp.GoSNMP{Target: "127.0.0.1", Port: uint16(a.Addr().Port), Community: community,
		Version: gosnmp.Version2c, Timeout: 2 * time.Second, Retries: 2, MaxOids: 60}
	if err := client.Connect(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Conn.Close() })
	return client
}

// mibObjects reads names, identifiers and syntaxes of the objects that the MIB lets be read.
func mibObjects(t *testing.T) map[string]gosnmp.Asn1BER {
	t.Helper()
	raw, err := os.ReadFile("../../../mibs/COTTONPLANK-MIB.txt")
	if err != nil {
		t.Fatal(err)
	}
	at := map[string]string{"enterprises": ".1.3.6.1.4.1"}
	found := map[string]gosnmp.Asn1BER{}
	kinds := map[string]gosnmp.Asn1BER{"Counter64": gosnmp.Counter64, "Gauge32": gosnmp.Gauge32,
		"DisplayString": gosnmp.OctetString, "INTEGER": gosnmp.Integer, "Integer32": gosnmp.Integer}
	definition := regexp.MustCompile(`(?ms)^(\w+) +(?:OBJECT-TYPE|MODULE-IDENTITY|OBJECT IDENTIFIER)(.*?)::= \{ (\w+) ([\d ]+) \}`)
	syntax := regexp.MustCompile(`SYNTAX\s+(\w+)`)
	for _, m := range definition.FindAllStringSubmatch(string(raw), -1) {
		at[m[1]] = at[m[3]] + "." + strings.ReplaceAll(m[4], " ", ".")
		if strings.Contains(m[2], "read-only") {
			found[m[1]+" "+at[m[1]]] = kinds[syntax.FindStringSubmatch(m[2])[1]]
		}
	}
	return found
}

func TestMIBAndAgentAgree(t *testing.T) {
	want := mibObjects(t)
	got := map[string]gosnmp.Asn1BER{}
	for _, s := range scalars {
		if s.name != "" {
			got[s.name+" "+s.oid] = s.kind
		}
	}
	for _, c := range columns {
		got[c.name+" "+c.oid] = c.kind
	}
	for _, c := range classColumns {
		got[c.name+" "+c.oid] = c.kind
	}
	for _, c := range whyColumns {
		got[c.name+" "+c.oid] = c.kind
	}
	if len(want) != len(got) {
		t.Errorf("the MIB has %d objects, the agent %d", len(want), len(got))
	}
	for name, kind := range want {
		if got[name] != kind {
			t.Errorf("%s: the MIB says %v, the agent %v", name, kind, got[name])
		}
	}
}

// A walk, by GETNEXT and by GETBULK, shows each object once, in order.
func TestWalk(t *testing.T) {
	client := start(t, "secret")
	for name, walk := range map[string]func(string) ([]gosnmp.SnmpPDU, error){
		"next": client.WalkAll, "bulk": client.BulkWalkAll} {
		all, err := walk(".1.3.6.1")
		if err != nil {
			t.Fatal(err)
		}
		if n := len(scalars) + 14*len(columns) + len(classes)*len(classColumns) + len(migration.ReasonWords())*len(whyColumns); len(all) != n {
			t.Errorf("%s: %d values, want %d", name, len(all), n)
		}
		if !slices.IsSortedFunc(all, func(a, b gosnmp.SnmpPDU) int { return slices.Compare(parseOID(a.Name), parseOID(b.Name)) }) {
			t.Errorf("%s: not in order", name)
		}
		values := map[string]any{}
		for _, v := range all {
			values[v.Name] = v.Value
		}
		for oid, want := range map[string]any{objects + ".1.0": uint64(5), objects + ".9.0": uint(6),
			objects + ".8.0": uint(3), objects + ".11.0": uint(8), objects + ".14.0": 3, objects + ".16.0": uint64(11), objects + ".18.0": uint64(12),
			byWhy + ".3." + fmt.Sprint(int(migration.HolderUnavailable)+1): uint64(13), byWhy + ".3.1": uint64(0), byClass + ".4.2": uint64(4), entry + ".5." + fmt.Sprint(core.ServerID("s-3")): 2,
			entry + ".8." + fmt.Sprint(core.ServerID("s-3")): 500} {
			if values[oid] != want {
				t.Errorf("%s: %s is %v (%T), want %v", name, oid, values[oid], values[oid], want)
			}
		}
		if string(values[system+".5.0"].([]byte)) != "n3" {
			t.Errorf("sysName is %s", values[system+".5.0"])
		}
	}
}

func TestExceptions(t *testing.T) {
	client := start(t, "secret")
	r, err := client.Get([]string{objects + ".1.0", objects + ".1.1", objects + ".99.0", entry + ".2.1"})
	if err != nil {
		t.Fatal(err)
	}
	want := []gosnmp.Asn1BER{gosnmp.Counter64, gosnmp.NoSuchInstance, gosnmp.NoSuchObject, gosnmp.NoSuchInstance}
	for i, v := range r.Variables {
		if v.Type != want[i] {
			t.Errorf("GET %s: %v, want %v", v.Name, v.Type, want[i])
		}
	}
	if r, err = client.GetNext([]string{".1.3.7"}); err != nil || r.Variables[0].Type != gosnmp.EndOfMibView {
		t.Errorf("GETNEXT past the end: %+v, %v", r, err)
	}
	r, err = client.GetBulk([]string{objects + ".1.0", objects + ".9.0"}, 1, 3)
	if err != nil || len(r.Variables) != 4 || r.Variables[0].Name != objects+".2.0" || r.Variables[1].Name != objects+".10.0" {
		t.Errorf("GETBULK: %+v, %v", r, err)
	}
	r, err = client.Set([]gosnmp.SnmpPDU{{Name: objects + ".1.0", Type: gosnmp.Integer, Value: 1}})
	if err != nil || r.Error != gosnmp.NotWritable {
		t.Errorf("SET: %+v, %v", r, err)
	}
}

// Another community hears nothing, and neither does garbage; the agent goes on.
func TestSilentToStrangers(t *testing.T) {
	client := start(t, "wrong")
	client.Timeout, client.Retries = 200*time.Millisecond, 0
	if r, err := client.Get([]string{objects + ".1.0"}); err == nil {
		t.Errorf("another community was answered %+v", r)
	}
	client.Conn.SetDeadline(time.Time{})
	for _, raw := range []string{"\x30", "\x30\x82\xff\xff\x02\x01\x01", "garbage", "\x30\x03\x02\x01\x01"} {
		if _, err := client.Conn.Write([]byte(raw)); err != nil {
			t.Fatal(err)
		}
	}
	client.Community, client.Timeout, client.Retries = "secret", 2*time.Second, 2
	if _, err := client.Get([]string{objects + ".1.0"}); err != nil {
		t.Errorf("after garbage: %v", err)
	}
}

// Rows are looked at by those requests alone that may be answered from them, and a request takes no more memory where they are many.
func TestRowsAreMadeForWhoAsks(t *testing.T) {
	for _, n := range []int{600, 5000, 20_000} {
		s := snapshot()
		s.Upstreams = nil
		for i := range n {
			s.Upstreams = append(s.Upstreams, core.UpstreamStats{Upstream: core.Upstream{ID: decide.ServerID(7 * i), Name: "s"}})
		}
		made := 0
		see := func() *tree { return newTree("n3", classes, s, func() *core.Snapshot { made++; return s }) }
		see().get(objects + ".1.0")
		see().next(".1.3.6.1")
		see().next(objects + ".18.0")
		see().next(byClass + ".2.1")
		see().get(entry)
		if made != 0 {
			t.Errorf("%d room servers: rows were made for who looks elsewhere", n)
		}
		t1 := see()
		for oid, want := range map[string]string{objects + ".19.0": entry + ".2.0", entry: entry + ".2.0", objects + ".20.0": entry + ".2.0",
			entry + ".1.9": entry + ".2.0", entry + ".2.0": entry + ".2.7", entry + ".2.1": entry + ".2.7", entry + ".2.7.5": entry + ".2.14",
			entry + ".2." + strconv.Itoa(7*(n-1)): entry + ".3.0", entry + ".8." + strconv.Itoa(7*(n-1)): byClass + ".2.1", entry + ".9": byClass + ".2.1"} {
			if got := t1.next(oid).Name; got != want {
				t.Errorf("after %s comes %s, want %s", oid, got, want)
			}
		}
		if v := t1.get(entry + ".2.7"); v.Value != "s" || t1.get(entry+".2.8").Type != gosnmp.NoSuchInstance {
			t.Errorf("%+v", v)
		}
		if made != 1 {
			t.Errorf("rows were made %d times for one request", made)
		}
		if got := testing.AllocsPerRun(10, func() { see().next(entry + ".4.700") }); got > 1000 {
			t.Errorf("%d room servers: a request takes %.0f allocations", n, got)
		}
	}
}
