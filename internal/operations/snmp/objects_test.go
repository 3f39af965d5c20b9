package snmp

import (
	"testing"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/gosnmp/gosnmp"
)

// Monitoring systems ask for these object identifiers.
func TestObjectIdentifiers(t *testing.T) {
	for _, v := range []struct{ got, want string }{
		{mibRoot, ".1.3.6.1.4.1.32473.1"},
		{objects, ".1.3.6.1.4.1.32473.1.1"},
		{entry, ".1.3.6.1.4.1.32473.1.1.20.1"},
		{byClass, ".1.3.6.1.4.1.32473.1.1.21.1"},
		{byWhy, ".1.3.6.1.4.1.32473.1.1.22.1"},
		{system, ".1.3.6.1.2.1.1"},
	} {
		if v.got != v.want {
			t.Errorf("object identifier %s, want %s", v.got, v.want)
		}
	}
}

func TestSystemGroup(t *testing.T) {
	tree := newTree("n3", classes, snapshot(), snapshot)
	for oid, want := range map[string]any{
		".1.3.6.1.2.1.1.1.0": "cottonplank, balancer of long-lived connections",
		".1.3.6.1.2.1.1.2.0": ".1.3.6.1.4.1.32473.1",
		".1.3.6.1.2.1.1.5.0": "n3",
	} {
		if got := tree.get(oid).Value; got != want {
			t.Errorf("%s is %v, want %v", oid, got, want)
		}
	}
	if uptime := tree.get(".1.3.6.1.2.1.1.3.0"); uptime.Type != gosnmp.TimeTicks || uptime.Value.(uint32) < 6000 {
		t.Errorf("sysUpTime is %+v, want at least 60 s in hundredths", uptime)
	}
}

// The MIB names these numbers.
func TestStateNumbers(t *testing.T) {
	for state, want := range map[core.ServiceState]int{core.Starting: 1, core.Serving: 2, core.LameDuck: 3, core.Stopping: 4} {
		s := snapshot()
		s.Service = state
		if got := newTree("n3", classes, s, snapshot).get(".1.3.6.1.4.1.32473.1.1.14.0").Value; got != want {
			t.Errorf("service state %v is %v, want %d", state, got, want)
		}
	}
	for state, want := range map[decide.State]int{decide.Ready: 1, decide.Draining: 2, decide.Removed: 3} {
		s := snapshot()
		s.Upstreams = []core.UpstreamStats{{Upstream: core.Upstream{ID: 7}, State: state, Load: -1}}
		tree := newTree("n3", classes, s, func() *core.Snapshot { return s })
		if got := tree.get(".1.3.6.1.4.1.32473.1.1.20.1.5.7").Value; got != want {
			t.Errorf("server state %v is %v, want %d", state, got, want)
		}
		if got := tree.get(".1.3.6.1.4.1.32473.1.1.20.1.8.7").Value; got != -1 {
			t.Errorf("the load of a server without a report is %v, want -1", got)
		}
	}
}
