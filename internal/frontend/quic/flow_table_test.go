package quic

import (
	"net/netip"
	"strconv"
	"testing"
)

// A client that uses many connection IDs does not fill the table, and its flow is found by the latest ones.
func TestFlowTableLimitsIDs(t *testing.T) {
	table := newFlowTable()
	fl, other := &flow{}, &flow{}
	table.add(other, []byte("other"))
	table.add(fl, []byte("0"))
	for i := 1; i <= maxFlowIDs; i++ {
		table.addID(fl, []byte(strconv.Itoa(i)))
	}
	if table.byID["0"] != nil || table.byID["1"] != fl || table.byID[strconv.Itoa(maxFlowIDs)] != fl {
		t.Errorf("the IDs of the flow are %q", fl.ids)
	}
	table.addID(fl, []byte("other"))
	table.addID(fl, nil)
	if table.byID["other"] != other || len(table.byID) != maxFlowIDs+1 {
		t.Errorf("%d IDs, or an ID changed its flow", len(table.byID))
	}
	table.remove(fl)
	if table.count != 1 || len(table.byID) != 1 {
		t.Errorf("%d flows and %d IDs after the removal, want 1 and 1", table.count, len(table.byID))
	}
}

// A flow is found by its server and its client's address, both.
func TestFlowTableFind(t *testing.T) {
	table := newFlowTable()
	address := netip.MustParseAddrPort("127.0.0.1:1234")
	fl := &flow{server: 7, routedFrom: address}
	table.add(fl, []byte("id"))
	if got := table.find(7, address); got != fl {
		t.Errorf("found %p, want %p", got, fl)
	}
	if table.find(8, address) != nil || table.find(7, netip.MustParseAddrPort("127.0.0.1:1235")) != nil {
		t.Error("found by the server or the address alone")
	}
}

// A reset is smaller than the datagram that it answers, and neither too small nor needlessly large.
func TestResetSize(t *testing.T) {
	for trigger, want := range map[int]int{0: 0, 21: 0, 22: 21, 30: 29, 43: 42, 44: 42, 1500: 42} {
		size, ok := resetSize(trigger)
		if ok != (want > 0) || ok && size != want {
			t.Errorf("%d bytes are answered with %d, %v, want %d", trigger, size, ok, want)
		}
	}
}
