package quic

import (
	"net/netip"
	"strconv"
	"testing"
)

// A client that uses more than maxFlowIDs connection IDs does not fill the table: its flow keeps the latest ones
// only. A connection ID of another flow, or an empty one, is not added.
func TestFlowTableLimitsIDs(t *testing.T) {
	table := newFlowTable()
	fl, other := &flow{}, &flow{}
	table.add(other, []byte("other"))
	table.add(fl, []byte("0"))
	for i := 1; i <= maxFlowIDs; i++ {
		table.addID(fl, []byte(strconv.Itoa(i)))
	}
	if table.byID["0"] != nil || table.byID["1"] != fl || table.byID[strconv.Itoa(maxFlowIDs)] != fl {
		t.Errorf("the flow has the IDs %q, want only the latest ones", fl.ids)
	}
	table.addID(fl, []byte("other"))
	table.addID(fl, nil)
	if table.byID["other"] != other || len(table.byID) != maxFlowIDs+1 {
		t.Errorf("the table has %d IDs, or an ID was reassigned to another flow", len(table.byID))
	}
	table.remove(fl)
	if table.count != 1 || len(table.byID) != 1 {
		t.Errorf("%d flows and %d IDs after the removal, want 1 and 1", table.count, len(table.byID))
	}
}

// A flow is found only if both its server and its client's address match.
func TestFlowTableFind(t *testing.T) {
	table := newFlowTable()
	address := netip.MustParseAddrPort("127.0.0.1:1234")
	fl := &flow{server: 7, routedFrom: address}
	table.add(fl, []byte("id"))
	if got := table.find(7, address); got != fl {
		t.Errorf("found %p, want %p", got, fl)
	}
	if table.find(8, address) != nil || table.find(7, netip.MustParseAddrPort("127.0.0.1:1235")) != nil {
		t.Error("found a flow whose server or address does not match")
	}
}

// A stateless reset is smaller than the datagram that it answers, and its size is from minResetSize to maxResetSize.
func TestResetSize(t *testing.T) {
	for trigger, want := range map[int]int{0: 0, 21: 0, 22: 21, 30: 29, 43: 42, 44: 42, 1500: 42} {
		size, ok := resetSize(trigger)
		if ok != (want > 0) || ok && size != want {
			t.Errorf("resetSize(%d) = %d, %v, want %d", trigger, size, ok, want)
		}
	}
}
