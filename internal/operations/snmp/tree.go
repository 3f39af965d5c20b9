package snmp

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/session/migration"

	"github.com/gosnmp/gosnmp"
)

// The module's place: RFC 5612's enterprise number for examples, see mibs/COTTONPLANK-MIB.txt.
const (
	mibRoot = ".1.3.6.1.4.1.32473.1"
	objects = mibRoot + ".1"
	entry   = objects + ".20.1"
	byClass = objects + ".21.1"
	byWhy   = objects + ".22.1"
	system  = ".1.3.6.1.2.1.1"
)

// object is one scalar, or one column of the subchannel table.
type object struct {
	name string // as in the MIB; empty for those of the system group
	oid  string
	kind gosnmp.Asn1BER
}

// scalar tells its value from a snapshot.
type scalar struct {
	object
	value func(name string, s *core.Snapshot) any
}

// column tells its value from a row of its table.
type column[R any] struct {
	object
	value func(r *R) any
}

// classRow is one class of requests.
type classRow struct {
	core.ClassCounters
	name string
}

func counter(name, arc string, pick func(*core.Snapshot) uint64) scalar {
	return scalar{object{name, objects + arc, gosnmp.Counter64},
		func(_ string, s *core.Snapshot) any { return pick(s) }}
}

func gauge(name, arc string, pick func(*core.Snapshot) int) scalar {
	return scalar{object{name, objects + arc, gosnmp.Gauge32},
		func(_ string, s *core.Snapshot) any { return uint32(max(pick(s), 0)) }}
}

var scalars = []scalar{
	{object{"", system + ".1", gosnmp.OctetString}, func(string, *core.Snapshot) any {
		return "cottonplank, balancer of long-lived connections"
	}},
	{object{"", system + ".2", gosnmp.ObjectIdentifier}, func(string, *core.Snapshot) any { return mibRoot }},
	{object{"", system + ".3", gosnmp.TimeTicks}, func(_ string, s *core.Snapshot) any {
		return uint32(time.Since(s.Started) / (10 * time.Millisecond))
	}},
	{object{"", system + ".5", gosnmp.OctetString}, func(name string, _ *core.Snapshot) any { return name }},

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
	{object{"cpServiceState", objects + ".14", gosnmp.Integer}, func(_ string, s *core.Snapshot) any {
		return map[core.ServiceState]int{core.Starting: 1, core.Serving: 2, core.LameDuck: 3, core.Stopping: 4}[s.Service]
	}},
	counter("cpMalformed", ".15", func(s *core.Snapshot) uint64 { return s.Malformed }),
	counter("cpTokensGiven", ".16", func(s *core.Snapshot) uint64 { return s.TokensIssued }),
	counter("cpTokensUnsealed", ".17", func(s *core.Snapshot) uint64 { return s.TokensUnsealed }),
	counter("cpSessionsResumed", ".18", func(s *core.Snapshot) uint64 { return s.Resumed }),
	counter("cpGeneration", ".19", func(s *core.Snapshot) uint64 { return s.Generation }),
}

var columns = []column[core.UpstreamStats]{
	{object{"cpSubchannelInstance", entry + ".2", gosnmp.OctetString}, func(r *core.UpstreamStats) any { return r.Name }},
	{object{"cpSubchannelAddress", entry + ".3", gosnmp.OctetString}, func(r *core.UpstreamStats) any { return r.Address }},
	{object{"cpSubchannelZone", entry + ".4", gosnmp.OctetString}, func(r *core.UpstreamStats) any { return r.Zone }},
	{object{"cpSubchannelState", entry + ".5", gosnmp.Integer}, func(r *core.UpstreamStats) any {
		return map[decide.State]int{decide.Ready: 1, decide.Draining: 2, decide.Removed: 3}[r.State]
	}},
	{object{"cpSubchannelOpen", entry + ".6", gosnmp.Gauge32}, func(r *core.UpstreamStats) any { return uint32(max(r.Connections, 0)) }},
	{object{"cpSubchannelAttempts", entry + ".7", gosnmp.Counter64}, func(r *core.UpstreamStats) any { return r.Attempts }},
	{object{"cpSubchannelLoad", entry + ".8", gosnmp.Integer}, func(r *core.UpstreamStats) any {
		if r.Load < 0 {
			return -1
		}
		return int(math.Round(min(r.Load, 1e6) * 1000))
	}},
}

func classCounter(name, arc string, pick func(*classRow) uint64) column[classRow] {
	return column[classRow]{object{name, byClass + arc, gosnmp.Counter64}, func(r *classRow) any { return pick(r) }}
}

var classColumns = []column[classRow]{
	{object{"cpClassName", byClass + ".2", gosnmp.OctetString}, func(r *classRow) any { return r.name }},
	classCounter("cpClassServed", ".3", func(r *classRow) uint64 { return r.Served }),
	classCounter("cpClassRefused", ".4", func(r *classRow) uint64 { return r.Rejected }),
	classCounter("cpClassFailed", ".5", func(r *classRow) uint64 { return r.Failed }),
	classCounter("cpClassAttempts", ".6", func(r *classRow) uint64 { return r.Attempts }),
}

// whyRow is one reason for which sessions had to start over.
type whyRow struct {
	word  string
	count uint64
}

var whyColumns = []column[whyRow]{
	{object{"cpStartOverReason", byWhy + ".2", gosnmp.OctetString}, func(r *whyRow) any { return r.word }},
	{object{"cpStartOverCount", byWhy + ".3", gosnmp.Counter64}, func(r *whyRow) any { return r.count }},
}

// tree is all that one request may see. What there is once stands in the order of the object identifiers; the rows of room
// servers, which may be many, are made once they are looked at, and their values where they are read.
type tree struct {
	bindings []binding
	detailed func() *core.Snapshot
	rows     []core.UpstreamStats // by ID
	made     bool
}

type binding struct {
	oid []uint32
	pdu gosnmp.SnmpPDU
}

func newTree(name string, classes []string, s *core.Snapshot, detailed func() *core.Snapshot) *tree {
	t := &tree{detailed: detailed}
	for _, o := range scalars {
		t.add(o.oid+".0", o.kind, o.value(name, s))
	}
	for i := range min(len(classes), len(s.Classes)) {
		addRow(t, classColumns, uint64(i+1), &classRow{s.Classes[i], classes[i]})
	}
	for i, word := range migration.ReasonWords() {
		addRow(t, whyColumns, uint64(i+1), &whyRow{word, s.StartedOver[core.Reason(word)]})
	}
	slices.SortFunc(t.bindings, func(a, b binding) int { return slices.Compare(a.oid, b.oid) })
	return t
}

// subchannels are the rows of the room servers, the same ones for all of a request.
func (t *tree) subchannels() []core.UpstreamStats {
	if !t.made {
		t.rows, t.made = t.detailed().Upstreams, true
	}
	return t.rows
}

// findRow finds the first row that is not before an index.
func (t *tree) findRow(index uint32) (int, bool) {
	return slices.BinarySearchFunc(t.subchannels(), index, func(r core.UpstreamStats, i uint32) int { return cmp.Compare(uint32(r.ID), i) })
}

func (t *tree) cell(c *column[core.UpstreamStats], i int) gosnmp.SnmpPDU {
	r := &t.rows[i]
	return gosnmp.SnmpPDU{Name: c.oid + "." + strconv.FormatUint(uint64(r.ID), 10), Type: c.kind, Value: c.value(r)}
}

// cellAfter is the first cell of the room servers' table after an object identifier.
func (t *tree) cellAfter(oid []uint32) (gosnmp.SnmpPDU, bool) {
	for k, column := range columnOIDs {
		i := 0
		switch {
		case slices.Compare(oid, column) <= 0:
		case slices.Equal(oid[:min(len(oid), len(column))], column):
			var there bool
			if i, there = t.findRow(oid[len(column)]); there {
				i++
			}
		default:
			continue // past this column
		}
		if i < len(t.subchannels()) {
			return t.cell(&columns[k], i), true
		}
	}
	return gosnmp.SnmpPDU{}, false
}

func addRow[R any](t *tree, columns []column[R], index uint64, row *R) {
	for _, c := range columns {
		t.add(c.oid+"."+strconv.FormatUint(index, 10), c.kind, c.value(row))
	}
}

func (t *tree) add(oid string, kind gosnmp.Asn1BER, value any) {
	t.bindings = append(t.bindings, binding{parseOID(oid), gosnmp.SnmpPDU{Name: oid, Type: kind, Value: value}})
}

func (t *tree) find(oid []uint32) (int, bool) {
	return slices.BinarySearchFunc(t.bindings, oid, func(b binding, o []uint32) int { return slices.Compare(b.oid, o) })
}

// get is the value of exactly this object, or the exception that tells why there is none.
func (t *tree) get(name string) gosnmp.SnmpPDU {
	oid := parseOID(name)
	if i, ok := t.find(oid); ok {
		return t.bindings[i].pdu
	}
	for k, column := range columnOIDs {
		if len(oid) == len(column)+1 && slices.Equal(oid[:len(column)], column) {
			if i, ok := t.findRow(oid[len(column)]); ok {
				return t.cell(&columns[k], i)
			}
		}
	}
	for _, o := range known {
		if len(oid) >= len(o) && slices.Equal(oid[:len(o)], o) {
			return gosnmp.SnmpPDU{Name: name, Type: gosnmp.NoSuchInstance}
		}
	}
	return gosnmp.SnmpPDU{Name: name, Type: gosnmp.NoSuchObject}
}

// next is the first value after an object identifier.
func (t *tree) next(name string) gosnmp.SnmpPDU {
	oid := parseOID(name)
	i, ok := t.find(oid)
	if ok {
		i++
	}
	// The table lies between what comes before it and what comes after, so that most requests need no look at it.
	if i >= len(t.bindings) || slices.Compare(t.bindings[i].oid, columnOIDs[0]) > 0 {
		if cell, ok := t.cellAfter(oid); ok {
			return cell
		}
	}
	if i >= len(t.bindings) {
		return gosnmp.SnmpPDU{Name: name, Type: gosnmp.EndOfMibView}
	}
	return t.bindings[i].pdu
}

// columnOIDs are the columns of the room servers' table.
var columnOIDs = func() (all [][]uint32) {
	for _, c := range columns {
		all = append(all, parseOID(c.oid))
	}
	return all
}()

// known are the objects that exist, with an instance or without.
var known = func() (all [][]uint32) {
	for _, o := range scalars {
		all = append(all, parseOID(o.oid))
	}
	for _, c := range columns {
		all = append(all, parseOID(c.oid))
	}
	for _, c := range classColumns {
		all = append(all, parseOID(c.oid))
	}
	for _, c := range whyColumns {
		all = append(all, parseOID(c.oid))
	}
	return all
}()

// parseOID reads an object identifier in dots; the codec has checked its form.
func parseOID(name string) (oid []uint32) {
	for arc := range strings.SplitSeq(strings.TrimPrefix(name, "."), ".") {
		n, err := strconv.ParseUint(arc, 10, 32)
		if err != nil {
			return oid
		}
		oid = append(oid, uint32(n))
	}
	return oid
}
