package snmp

import (
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"

	"github.com/gosnmp/gosnmp"
)

// respond does not panic and its response is not larger than maxResponseBytes, whatever bytes the request consists of.
// This does not hold for a GetBulkRequest with many non-repeaters; see the known fault of respondToBulk.
func FuzzRespond(f *testing.F) {
	agent := New(nil, testCommunity, "n3", testClasses, testSnapshot, testSnapshot, discardLogger())
	var valid [][]byte
	for _, pduType := range []gosnmp.PDUType{gosnmp.GetRequest, gosnmp.GetNextRequest, gosnmp.GetBulkRequest} {
		request := &gosnmp.SnmpPacket{
			Version:        gosnmp.Version2c,
			Community:      testCommunity,
			PDUType:        pduType,
			MaxRepetitions: 9,
			Variables:      []gosnmp.SnmpPDU{{Name: objectsOID + ".1.0", Type: gosnmp.Null}},
		}
		raw, err := request.MarshalMsg()
		if err != nil {
			f.Fatal(err)
		}
		valid = append(valid, raw)
	}
	fuzzcorpus.Add(f, valid...)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if response := agent.respond(raw); len(response) > maxResponseBytes {
			t.Errorf("request %x: the response has %d bytes", raw, len(response))
		}
	})
}
