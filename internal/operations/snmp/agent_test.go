package snmp

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cottonplank/internal/session/migration"

	"github.com/gosnmp/gosnmp"
)

// A walk returns each instance once, in the order of object identifiers, both with GetNextRequest and with
// GetBulkRequest.
func TestWalk(t *testing.T) {
	client := startAgent(t, testCommunity)
	wantCount := len(systemScalars) + len(mibScalars) + testServers*len(serverColumns) +
		len(testClasses)*len(classColumns) + len(migration.ReasonWords())*len(reasonColumns)
	wantValues := map[string]any{
		objectsOID + ".1.0":                          uint64(5),
		objectsOID + ".8.0":                          uint(3),
		objectsOID + ".9.0":                          uint(6),
		objectsOID + ".11.0":                         uint(8),
		objectsOID + ".14.0":                         3,
		objectsOID + ".16.0":                         uint64(11),
		objectsOID + ".18.0":                         uint64(12),
		reasonEntryOID + ".3.1":                      uint64(0),
		classEntryOID + ".4.2":                       uint64(4),
		serverOID(".5", "s-3"):                       2,
		serverOID(".8", "s-3"):                       500,
		reasonOID(".3", migration.HolderUnavailable): uint64(13),
	}
	for name, walk := range map[string]func(string) ([]gosnmp.SnmpPDU, error){
		"next": client.WalkAll,
		"bulk": client.BulkWalkAll,
	} {
		t.Run(name, func(t *testing.T) {
			all, err := walk(".1.3.6.1")
			if err != nil {
				t.Fatal(err)
			}
			if len(all) != wantCount {
				t.Errorf("%d instances, want %d", len(all), wantCount)
			}
			inOrder := func(a, b gosnmp.SnmpPDU) int { return slices.Compare(parseOID(a.Name), parseOID(b.Name)) }
			if !slices.IsSortedFunc(all, inOrder) {
				t.Error("the instances are not in the order of object identifiers")
			}
			values := map[string]any{}
			for _, v := range all {
				values[v.Name] = v.Value
			}
			for oid, want := range wantValues {
				if values[oid] != want {
					t.Errorf("%s is %v (%T), want %v", oid, values[oid], values[oid], want)
				}
			}
			if string(values[systemOID+".5.0"].([]byte)) != "n3" {
				t.Errorf("sysName is %s", values[systemOID+".5.0"])
			}
		})
	}
}

// reasonOID returns the object identifier of a reason's instance in the column with the given suffix.
func reasonOID(suffix string, reason migration.Reason) string {
	return fmt.Sprintf("%s%s.%d", reasonEntryOID, suffix, uint8(reason)+1)
}

// Requests for instances that do not exist, past the end of the MIB view, or that would set a value, get the exceptions
// and errors of SNMPv2c.
func TestExceptions(t *testing.T) {
	client := startAgent(t, testCommunity)
	names := []string{objectsOID + ".1.0", objectsOID + ".1.1", objectsOID + ".99.0", serverEntryOID + ".2.1"}
	want := []gosnmp.Asn1BER{gosnmp.Counter64, gosnmp.NoSuchInstance, gosnmp.NoSuchObject, gosnmp.NoSuchInstance}
	r, err := client.Get(names)
	if err != nil {
		t.Fatal(err)
	}
	for i, v := range r.Variables {
		if v.Type != want[i] {
			t.Errorf("GET %s: %v, want %v", v.Name, v.Type, want[i])
		}
	}
	if r, err = client.GetNext([]string{".1.3.7"}); err != nil || r.Variables[0].Type != gosnmp.EndOfMibView {
		t.Errorf("GETNEXT past the end: %+v, %v", r, err)
	}
	r, err = client.GetBulk([]string{objectsOID + ".1.0", objectsOID + ".9.0"}, 1, 3)
	if err != nil || len(r.Variables) != 4 ||
		r.Variables[0].Name != objectsOID+".2.0" || r.Variables[1].Name != objectsOID+".10.0" {
		t.Errorf("GETBULK: %+v, %v", r, err)
	}
	r, err = client.Set([]gosnmp.SnmpPDU{{Name: objectsOID + ".1.0", Type: gosnmp.Integer, Value: 1}})
	if err != nil || r.Error != gosnmp.NotWritable {
		t.Errorf("SET: %+v, %v", r, err)
	}
}

// Requests of another community and malformed requests get no response. The agent still answers valid requests
// afterwards.
func TestInvalidRequestsGetNoResponse(t *testing.T) {
	client := startAgent(t, "wrong")
	client.Timeout, client.Retries = 200*time.Millisecond, 0
	if r, err := client.Get([]string{objectsOID + ".1.0"}); err == nil {
		t.Errorf("a request of another community got the response %+v", r)
	}
	client.Conn.SetDeadline(time.Time{})
	for _, raw := range []string{"\x30", "\x30\x82\xff\xff\x02\x01\x01", "garbage", "\x30\x03\x02\x01\x01"} {
		if _, err := client.Conn.Write([]byte(raw)); err != nil {
			t.Fatal(err)
		}
	}
	client.Community, client.Timeout, client.Retries = testCommunity, 2*time.Second, 2
	if _, err := client.Get([]string{objectsOID + ".1.0"}); err != nil {
		t.Errorf("a valid request after malformed ones: %v", err)
	}
}
