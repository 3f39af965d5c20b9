package snmp

import (
	"io"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"

	"github.com/gosnmp/gosnmp"
	"github.com/sirupsen/logrus"
)

func FuzzRespond(f *testing.F) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &Agent{log: log, community: "secret", name: "n3", classes: classes, snapshot: snapshot, detailed: snapshot,
		codec: &gosnmp.GoSNMP{Version: gosnmp.Version2c, Community: "secret"}}
	var valid [][]byte
	for _, kind := range []gosnmp.PDUType{gosnmp.GetRequest, gosnmp.GetNextRequest, gosnmp.GetBulkRequest} {
		raw, err := (&gosnmp.SnmpPacket{Version: gosnmp.Version2c, Community: "secret", PDUType: kind, MaxRepetitions: 9,
			Variables: []gosnmp.SnmpPDU{{Name: objects + ".1.0", Type: gosnmp.Null}}}).MarshalMsg()
		if err != nil {
			f.Fatal(err)
		}
		valid = append(valid, raw)
	}
	fuzzcorpus.Add(f, valid...)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if out := a.respond(raw); len(out) > maxResponse {
			t.Errorf("%x is answered with %d bytes", raw, len(out))
		}
	})
}
