package snmp

import (
	"cmp"
	"slices"
	"strconv"

	"cottonplank/internal/core"
	"cottonplank/internal/session/migration"

	"github.com/gosnmp/gosnmp"
)

// mibView provides the instances of all objects to one request. It creates the instances of the table of room servers,
// which may be large, only when they are read, and holds all other instances from the beginning.
type mibView struct {
	// instances holds all instances outside the table of room servers, sorted by object identifier.
	instances []instance
	// detailed returns a snapshot with the room servers.
	detailed func() *core.Snapshot
	// servers holds the rows of the table of room servers, sorted by ID; nil unless serversLoaded is set.
	servers []core.UpstreamStats
	// serversLoaded is set once the detailed snapshot has been made.
	serversLoaded bool
}

// instance is an instance of an object.
type instance struct {
	// oid identifies the instance; pdu.Name is its dotted form.
	oid oid
	// pdu is the variable binding of the instance in a response.
	pdu gosnmp.SnmpPDU
}

// newView returns a view of a snapshot. balancer and classes are the names of the balancer and of its request classes.
// The view calls detailed when the table of room servers is read for the first time, so at most once.
func newView(balancer string, classes []string, s *core.Snapshot, detailed func() *core.Snapshot) *mibView {
	v := &mibView{detailed: detailed}
	for _, scalars := range [][]scalar{systemScalars, mibScalars} {
		for _, o := range scalars {
			v.add(o.oid+".0", o.syntax, o.value(balancer, s))
		}
	}
	for i := range min(len(classes), len(s.Classes)) {
		addRow(v, classColumns, i+1, &classRow{s.Classes[i], classes[i]})
	}
	for i, word := range migration.ReasonWords() {
		addRow(v, reasonColumns, i+1, &reasonRow{word, s.StartedOver[core.Reason(word)]})
	}
	slices.SortFunc(v.instances, func(a, b instance) int { return slices.Compare(a.oid, b.oid) })
	return v
}

// add appends an instance. The caller has to sort the instances afterwards.
func (v *mibView) add(name string, syntax gosnmp.Asn1BER, value any) {
	pdu := gosnmp.SnmpPDU{Name: name, Type: syntax, Value: value}
	v.instances = append(v.instances, instance{parseOID(name), pdu})
}

// addRow appends the instances of a row of a table.
func addRow[R any](v *mibView, columns []column[R], index int, row *R) {
	for _, c := range columns {
		v.add(c.oid+"."+strconv.Itoa(index), c.syntax, c.value(row))
	}
}

// get returns the variable binding of an instance. If there is none, the binding contains the exception
// noSuchInstance or noSuchObject.
func (v *mibView) get(name string) gosnmp.SnmpPDU {
	id := parseOID(name)
	if i, ok := v.find(id); ok {
		return v.instances[i].pdu
	}
	for i, column := range serverColumnOIDs {
		if len(id) != len(column)+1 || !id.hasPrefix(column) {
			continue
		}
		if row, ok := v.findServer(id[len(column)]); ok {
			return v.serverCell(&serverColumns[i], row)
		}
	}
	if slices.ContainsFunc(objectOIDs, id.hasPrefix) {
		return gosnmp.SnmpPDU{Name: name, Type: gosnmp.NoSuchInstance}
	}
	return gosnmp.SnmpPDU{Name: name, Type: gosnmp.NoSuchObject}
}

// next returns the first instance after an object identifier, in lexicographic order. After the last instance, the
// binding contains the exception endOfMibView.
func (v *mibView) next(name string) gosnmp.SnmpPDU {
	id := parseOID(name)
	i, found := v.find(id)
	if found {
		i++
	}
	// The next instance can be in the table of room servers only if instance i, the next one outside the table, comes
	// after the table's first column. The table is read only then.
	if i >= len(v.instances) || slices.Compare(v.instances[i].oid, serverColumnOIDs[0]) > 0 {
		if cell, ok := v.serverCellAfter(id); ok {
			return cell
		}
	}
	if i >= len(v.instances) {
		return gosnmp.SnmpPDU{Name: name, Type: gosnmp.EndOfMibView}
	}
	return v.instances[i].pdu
}

// find returns the position of the first instance that does not precede an object identifier. It also reports whether
// that instance has this identifier.
func (v *mibView) find(id oid) (int, bool) {
	return slices.BinarySearchFunc(v.instances, id, func(i instance, id oid) int { return slices.Compare(i.oid, id) })
}

// loadServers returns the rows of the table of room servers. All calls for one request return the same rows.
func (v *mibView) loadServers() []core.UpstreamStats {
	if !v.serversLoaded {
		v.servers, v.serversLoaded = v.detailed().Upstreams, true
	}
	return v.servers
}

// findServer returns the position of the first room server whose ID is not below index. It also reports whether that
// server has this ID.
func (v *mibView) findServer(index uint32) (int, bool) {
	compareID := func(s core.UpstreamStats, index uint32) int { return cmp.Compare(uint32(s.ID), index) }
	return slices.BinarySearchFunc(v.loadServers(), index, compareID)
}

// serverCell returns the instance in a column and a row of the table of room servers. The caller has to load the table
// first.
func (v *mibView) serverCell(c *column[core.UpstreamStats], row int) gosnmp.SnmpPDU {
	server := &v.servers[row]
	name := c.oid + "." + strconv.FormatUint(uint64(server.ID), 10)
	return gosnmp.SnmpPDU{Name: name, Type: c.syntax, Value: c.value(server)}
}

// serverCellAfter returns the first instance of the table of room servers after an object identifier, if there is one.
func (v *mibView) serverCellAfter(id oid) (cell gosnmp.SnmpPDU, ok bool) {
	for i, column := range serverColumnOIDs {
		row := 0
		if slices.Compare(id, column) > 0 {
			if !id.hasPrefix(column) {
				continue // the whole column precedes id
			}
			var found bool
			row, found = v.findServer(id[len(column)])
			if found {
				row++
			}
		}
		if row < len(v.loadServers()) {
			return v.serverCell(&serverColumns[i], row), true
		}
	}
	return gosnmp.SnmpPDU{}, false
}
