package snmp

import (
	"fmt"
	"strconv"
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/gosnmp/gosnmp"
)

// A detailed snapshot is made only for a request that may read the table of room servers, and only once per request.
// The number of allocations for a request does not grow with the table.
func TestDetailedSnapshotOnDemand(t *testing.T) {
	for _, servers := range []int{600, 5000, 20_000} {
		t.Run(strconv.Itoa(servers), func(t *testing.T) {
			s := snapshotWithServers(servers)
			calls := 0
			detailed := func() *core.Snapshot { calls++; return s }
			createView := func() *mibView { return newView("n3", testClasses, s, detailed) }
			createView().get(objectsOID + ".1.0")
			createView().next(".1.3.6.1")
			createView().next(objectsOID + ".18.0")
			createView().next(classEntryOID + ".2.1")
			createView().get(serverEntryOID)
			if calls != 0 {
				t.Error("a detailed snapshot was made for requests that do not read the table")
			}
			checkTable(t, createView(), 7*(servers-1))
			if calls != 1 {
				t.Errorf("%d detailed snapshots were made for one request", calls)
			}
			allocations := testing.AllocsPerRun(10, func() { createView().next(serverEntryOID + ".4.700") })
			if allocations > 1000 {
				t.Errorf("a request makes %.0f allocations", allocations)
			}
		})
	}
}

// snapshotWithServers returns a snapshot with room servers whose IDs are the first multiples of 7.
func snapshotWithServers(n int) *core.Snapshot {
	s := testSnapshot()
	s.Upstreams = nil
	for i := range n {
		upstream := core.Upstream{ID: decide.ServerID(7 * i), Name: "s"}
		s.Upstreams = append(s.Upstreams, core.UpstreamStats{Upstream: upstream})
	}
	return s
}

// checkTable checks the order of the instances in the table of room servers, whose IDs are multiples of 7 up to lastID,
// and the neighbouring instances of other objects.
func checkTable(t *testing.T, view *mibView, lastID int) {
	t.Helper()
	for oid, want := range map[string]string{
		objectsOID + ".19.0":                           serverEntryOID + ".2.0",
		objectsOID + ".20.0":                           serverEntryOID + ".2.0",
		serverEntryOID:                                 serverEntryOID + ".2.0",
		serverEntryOID + ".1.9":                        serverEntryOID + ".2.0",
		serverEntryOID + ".2.0":                        serverEntryOID + ".2.7",
		serverEntryOID + ".2.1":                        serverEntryOID + ".2.7",
		serverEntryOID + ".2.7.5":                      serverEntryOID + ".2.14",
		fmt.Sprintf("%s.2.%d", serverEntryOID, lastID): serverEntryOID + ".3.0",
		fmt.Sprintf("%s.8.%d", serverEntryOID, lastID): classEntryOID + ".2.1",
		serverEntryOID + ".9":                          classEntryOID + ".2.1",
	} {
		if got := view.next(oid).Name; got != want {
			t.Errorf("the instance after %s is %s, want %s", oid, got, want)
		}
	}
	if v := view.get(serverEntryOID + ".2.7"); v.Value != "s" {
		t.Errorf("the name of the server with ID 7 is %+v", v)
	}
	if v := view.get(serverEntryOID + ".2.8"); v.Type != gosnmp.NoSuchInstance {
		t.Errorf("the name of a server that does not exist is %+v", v)
	}
}
