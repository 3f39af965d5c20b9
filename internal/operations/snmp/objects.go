package snmp

import (
	"math"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/gosnmp/gosnmp"
)

// Object identifiers. The MIB is below the enterprise number that RFC 5612 reserves for examples.
const (
	mibRootOID = ".1.3.6.1.4.1.32473.1"
	objectsOID = mibRootOID + ".1"
	// serverEntryOID is the entry object of cpSubchannelTable, the table of room servers; the columns are below it.
	serverEntryOID = objectsOID + ".20.1"
	// classEntryOID is the entry object of cpClassTable, the table of request classes.
	classEntryOID = objectsOID + ".21.1"
	// reasonEntryOID is the entry object of cpStartOverTable, the table of reasons for starting over.
	reasonEntryOID = objectsOID + ".22.1"
	// systemOID is the system group of SNMPv2-MIB (RFC 3418).
	systemOID = ".1.3.6.1.2.1.1"
)

// object describes a scalar, or a column of a table.
type object struct {
	// name is the object's name in the MIB; it is empty for objects of the system group.
	name string
	// oid is the object identifier without the instance part.
	oid string
	// syntax is the type of the object's values.
	syntax gosnmp.Asn1BER
}

// scalar is an object with one instance.
type scalar struct {
	object
	// value returns the value in a snapshot of the balancer with the given name.
	value func(balancer string, s *core.Snapshot) any
}

// column is an object with an instance for each row of type R.
type column[R any] struct {
	object
	// value returns the value for a row.
	value func(row *R) any
}

// classRow is a row of the table of request classes.
type classRow struct {
	core.ClassCounters
	// name is the name of the class.
	name string
}

// reasonRow is a row of the table of reasons for starting over.
type reasonRow struct {
	// word is the reason as it is sent to clients.
	word string
	// count is the number of clients that had to start over for this reason.
	count uint64
}

// Numbers of the states in the enumerations of the MIB.
var (
	serviceStateNumbers = map[core.ServiceState]int{
		core.Starting: 1,
		core.Serving:  2,
		core.LameDuck: 3,
		core.Stopping: 4,
	}
	serverStateNumbers = map[decide.State]int{
		decide.Ready:    1,
		decide.Draining: 2,
		decide.Removed:  3,
	}
)

// systemScalars are the objects of the system group that the agent provides: sysDescr, sysObjectID, sysUpTime and
// sysName.
var systemScalars = []scalar{
	{object{"", systemOID + ".1", gosnmp.OctetString}, func(string, *core.Snapshot) any {
		return "cottonplank, balancer of long-lived connections"
	}},
	{object{"", systemOID + ".2", gosnmp.ObjectIdentifier}, func(string, *core.Snapshot) any { return mibRootOID }},
	{object{"", systemOID + ".3", gosnmp.TimeTicks}, func(_ string, s *core.Snapshot) any {
		const tick = 10 * time.Millisecond
		return uint32(time.Since(s.Started) / tick)
	}},
	{object{"", systemOID + ".5", gosnmp.OctetString}, func(balancer string, _ *core.Snapshot) any { return balancer }},
}

// mibScalars are the scalar objects of the MIB, each with the function that returns its value.
var mibScalars = []scalar{
	counter("cpServed", ".1", func(s *core.Snapshot) uint64 { return s.Served }),
	counter("cpRefused", ".2", func(s *core.Snapshot) uint64 { return s.Rejected }),
	counter("cpFailed", ".3", func(s *core.Snapshot) uint64 { return s.Failed }),
	counter("cpAttempts", ".4", func(s *core.Snapshot) uint64 { return s.Attempts }),
	counter("cpMoves", ".5", func(s *core.Snapshot) uint64 { return s.Migrations }),
	counter("cpProbes", ".6", func(s *core.Snapshot) uint64 { return s.Probes }),
	counter("cpReopened", ".7", func(s *core.Snapshot) uint64 { return s.Restored }),
	gauge("cpListAge", ".8", func(s *core.Snapshot) int { return int(time.Since(s.ListUpdated) / time.Second) }),
	gauge("cpOpenChannels", ".9", func(s *core.Snapshot) int { return s.Clients }),
	gauge("cpWaitingRequests", ".10", func(s *core.Snapshot) int { return s.Waiting }),
	gauge("cpStandingConnections", ".11", func(s *core.Snapshot) int { return s.Established }),
	gauge("cpListedServers", ".12", func(s *core.Snapshot) int { return s.Listed }),
	gauge("cpAvoidedServers", ".13", func(s *core.Snapshot) int { return s.Ejected }),
	{object{"cpServiceState", objectsOID + ".14", gosnmp.Integer}, func(_ string, s *core.Snapshot) any {
		return serviceStateNumbers[s.Service]
	}},
	counter("cpMalformed", ".15", func(s *core.Snapshot) uint64 { return s.Malformed }),
	counter("cpTokensGiven", ".16", func(s *core.Snapshot) uint64 { return s.TokensIssued }),
	counter("cpTokensUnsealed", ".17", func(s *core.Snapshot) uint64 { return s.TokensUnsealed }),
	counter("cpSessionsResumed", ".18", func(s *core.Snapshot) uint64 { return s.Resumed }),
	counter("cpGeneration", ".19", func(s *core.Snapshot) uint64 { return s.Generation }),
}

// serverColumns are the columns of the table of room servers, sorted by object identifier. A row's index is the ID of
// its room server.
var serverColumns = []column[core.UpstreamStats]{
	serverColumn("cpSubchannelInstance", ".2", gosnmp.OctetString, func(r *core.UpstreamStats) any { return r.Name }),
	serverColumn("cpSubchannelAddress", ".3", gosnmp.OctetString, func(r *core.UpstreamStats) any { return r.Address }),
	serverColumn("cpSubchannelZone", ".4", gosnmp.OctetString, func(r *core.UpstreamStats) any { return r.Zone }),
	serverColumn("cpSubchannelState", ".5", gosnmp.Integer, func(r *core.UpstreamStats) any {
		return serverStateNumbers[r.State]
	}),
	serverColumn("cpSubchannelOpen", ".6", gosnmp.Gauge32, func(r *core.UpstreamStats) any {
		return gaugeValue(r.Connections)
	}),
	serverColumn("cpSubchannelAttempts", ".7", gosnmp.Counter64, func(r *core.UpstreamStats) any { return r.Attempts }),
	serverColumn("cpSubchannelLoad", ".8", gosnmp.Integer, func(r *core.UpstreamStats) any {
		return loadValue(r.Load)
	}),
}

// classColumns are the columns of the table of request classes. A row's index is the class index plus 1.
var classColumns = []column[classRow]{
	{object{"cpClassName", classEntryOID + ".2", gosnmp.OctetString}, func(r *classRow) any { return r.name }},
	classCounter("cpClassServed", ".3", func(r *classRow) uint64 { return r.Served }),
	classCounter("cpClassRefused", ".4", func(r *classRow) uint64 { return r.Rejected }),
	classCounter("cpClassFailed", ".5", func(r *classRow) uint64 { return r.Failed }),
	classCounter("cpClassAttempts", ".6", func(r *classRow) uint64 { return r.Attempts }),
}

// reasonColumns are the columns of the table of reasons for starting over. A row's index is the number of its reason
// plus 1.
var reasonColumns = []column[reasonRow]{
	{object{"cpStartOverReason", reasonEntryOID + ".2", gosnmp.OctetString}, func(r *reasonRow) any { return r.word }},
	{object{"cpStartOverCount", reasonEntryOID + ".3", gosnmp.Counter64}, func(r *reasonRow) any { return r.count }},
}

// counter returns a scalar of type Counter64. suffix is its object identifier relative to objectsOID.
func counter(name, suffix string, value func(*core.Snapshot) uint64) scalar {
	return scalar{
		object{name, objectsOID + suffix, gosnmp.Counter64},
		func(_ string, s *core.Snapshot) any { return value(s) },
	}
}

// gauge returns a scalar of type Gauge32. suffix is its object identifier relative to objectsOID.
func gauge(name, suffix string, value func(*core.Snapshot) int) scalar {
	return scalar{
		object{name, objectsOID + suffix, gosnmp.Gauge32},
		func(_ string, s *core.Snapshot) any { return gaugeValue(value(s)) },
	}
}

// serverColumn returns a column of the table of room servers. suffix is its object identifier relative to
// serverEntryOID.
func serverColumn(name, suffix string, syntax gosnmp.Asn1BER,
	value func(*core.UpstreamStats) any) column[core.UpstreamStats] {
	return column[core.UpstreamStats]{object{name, serverEntryOID + suffix, syntax}, value}
}

// classCounter returns a column of type Counter64 of the table of request classes. suffix is its object identifier
// relative to classEntryOID.
func classCounter(name, suffix string, value func(*classRow) uint64) column[classRow] {
	return column[classRow]{
		object{name, classEntryOID + suffix, gosnmp.Counter64},
		func(r *classRow) any { return value(r) },
	}
}

// gaugeValue converts a number to the value of a Gauge32. A negative number becomes 0.
func gaugeValue(n int) uint32 { return uint32(max(n, 0)) }

// loadValue returns a load, which is relative to the server's capacity, in thousandths. A negative load means that the
// server has sent no load report; the result is then -1.
func loadValue(load float64) int {
	const (
		unknown       = -1
		maxLoad       = 1e6 // the MIB limits cpSubchannelLoad to 1000000000 thousandths
		perUnitOfLoad = 1000
	)
	if load < 0 {
		return unknown
	}
	return int(math.Round(min(load, maxLoad) * perUnitOfLoad))
}
