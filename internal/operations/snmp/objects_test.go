package snmp

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/gosnmp/gosnmp"
)

// mibObjects returns the syntax of each readable object of the MIB file. A key is the object's name and its object
// identifier, separated by a space.
func mibObjects(t *testing.T) map[string]gosnmp.Asn1BER {
	t.Helper()
	raw, err := os.ReadFile("../../../mibs/COTTONPLANK-MIB.txt")
	if err != nil {
		t.Fatal(err)
	}
	syntaxes := map[string]gosnmp.Asn1BER{
		"Counter64":     gosnmp.Counter64,
		"Gauge32":       gosnmp.Gauge32,
		"DisplayString": gosnmp.OctetString,
		"INTEGER":       gosnmp.Integer,
		"Integer32":     gosnmp.Integer,
	}
	definition := regexp.MustCompile(
		`(?ms)^(\w+) +(?:OBJECT-TYPE|MODULE-IDENTITY|OBJECT IDENTIFIER)(.*?)::= \{ (\w+) ([\d ]+) \}`)
	syntax := regexp.MustCompile(`SYNTAX\s+(\w+)`)
	oids := map[string]string{"enterprises": ".1.3.6.1.4.1"}
	objects := map[string]gosnmp.Asn1BER{}
	for _, match := range definition.FindAllStringSubmatch(string(raw), -1) {
		name, body, parent, suffix := match[1], match[2], match[3], match[4]
		oids[name] = oids[parent] + "." + strings.ReplaceAll(suffix, " ", ".")
		if strings.Contains(body, "read-only") {
			objects[name+" "+oids[name]] = syntaxes[syntax.FindStringSubmatch(body)[1]]
		}
	}
	return objects
}

// The agent provides exactly the readable objects of the MIB file, with the same names, identifiers and syntaxes.
func TestObjectsMatchMIB(t *testing.T) {
	want := mibObjects(t)
	got := map[string]gosnmp.Asn1BER{}
	add := func(o object) { got[o.name+" "+o.oid] = o.syntax }
	for _, o := range mibScalars {
		add(o.object)
	}
	for _, c := range serverColumns {
		add(c.object)
	}
	for _, c := range classColumns {
		add(c.object)
	}
	for _, c := range reasonColumns {
		add(c.object)
	}
	if len(want) != len(got) {
		t.Errorf("the MIB has %d objects, the agent %d", len(want), len(got))
	}
	for name, syntax := range want {
		if got[name] != syntax {
			t.Errorf("%s: the syntax is %v in the MIB, %v in the agent", name, syntax, got[name])
		}
	}
}

// Monitoring systems request these object identifiers, so they must not change.
func TestObjectIdentifiers(t *testing.T) {
	for _, v := range []struct{ got, want string }{
		{mibRootOID, ".1.3.6.1.4.1.32473.1"},
		{objectsOID, ".1.3.6.1.4.1.32473.1.1"},
		{serverEntryOID, ".1.3.6.1.4.1.32473.1.1.20.1"},
		{classEntryOID, ".1.3.6.1.4.1.32473.1.1.21.1"},
		{reasonEntryOID, ".1.3.6.1.4.1.32473.1.1.22.1"},
		{systemOID, ".1.3.6.1.2.1.1"},
	} {
		if v.got != v.want {
			t.Errorf("object identifier %s, want %s", v.got, v.want)
		}
	}
}

func TestSystemGroup(t *testing.T) {
	view := newView("n3", testClasses, testSnapshot(), testSnapshot)
	for oid, want := range map[string]any{
		".1.3.6.1.2.1.1.1.0": "cottonplank, balancer of long-lived connections",
		".1.3.6.1.2.1.1.2.0": ".1.3.6.1.4.1.32473.1",
		".1.3.6.1.2.1.1.5.0": "n3",
	} {
		if got := view.get(oid).Value; got != want {
			t.Errorf("%s is %v, want %v", oid, got, want)
		}
	}
	uptime := view.get(".1.3.6.1.2.1.1.3.0")
	if uptime.Type != gosnmp.TimeTicks || uptime.Value.(uint32) < 6000 {
		t.Errorf("sysUpTime is %+v, want at least 60 s in hundredths", uptime)
	}
}

// The numbers of the service states must match the enumeration in the MIB.
func TestServiceStateNumbers(t *testing.T) {
	for state, want := range map[core.ServiceState]int{
		core.Starting: 1,
		core.Serving:  2,
		core.LameDuck: 3,
		core.Stopping: 4,
	} {
		s := testSnapshot()
		s.Service = state
		view := newView("n3", testClasses, s, testSnapshot)
		if got := view.get(".1.3.6.1.4.1.32473.1.1.14.0").Value; got != want {
			t.Errorf("service state %v is %v, want %d", state, got, want)
		}
	}
}

// The numbers of the server states must match the enumeration in the MIB. The load of a server without a load report
// is -1.
func TestServerStateNumbers(t *testing.T) {
	for state, want := range map[decide.State]int{decide.Ready: 1, decide.Draining: 2, decide.Removed: 3} {
		s := testSnapshot()
		s.Upstreams = []core.UpstreamStats{{Upstream: core.Upstream{ID: 7}, State: state, Load: -1}}
		view := newView("n3", testClasses, s, func() *core.Snapshot { return s })
		if got := view.get(".1.3.6.1.4.1.32473.1.1.20.1.5.7").Value; got != want {
			t.Errorf("server state %v is %v, want %d", state, got, want)
		}
		if got := view.get(".1.3.6.1.4.1.32473.1.1.20.1.8.7").Value; got != -1 {
			t.Errorf("the load of a server without a load report is %v, want -1", got)
		}
	}
}
