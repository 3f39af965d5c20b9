package snmp

import (
	"slices"
	"strconv"
	"strings"
)

// oid is an object identifier.
type oid []uint32

// hasPrefix reports whether the identifier begins with prefix or equals it.
func (id oid) hasPrefix(prefix oid) bool {
	return len(id) >= len(prefix) && slices.Equal(id[:len(prefix)], prefix)
}

// parseOID parses an object identifier in dotted form, such as .1.3.6. It ignores the first invalid part and all that
// follow. Identifiers in requests are valid, because the codec has decoded them.
func parseOID(text string) oid {
	var id oid
	for part := range strings.SplitSeq(strings.TrimPrefix(text, "."), ".") {
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return id
		}
		id = append(id, uint32(n))
	}
	return id
}

var (
	// serverColumnOIDs are the object identifiers of serverColumns.
	serverColumnOIDs = columnOIDs(serverColumns)
	// objectOIDs are the object identifiers of all objects, whether they have instances or not.
	objectOIDs = slices.Concat(
		scalarOIDs(systemScalars),
		scalarOIDs(mibScalars),
		serverColumnOIDs,
		columnOIDs(classColumns),
		columnOIDs(reasonColumns),
	)
)

// scalarOIDs returns the object identifiers of scalars.
func scalarOIDs(scalars []scalar) []oid {
	var ids []oid
	for _, o := range scalars {
		ids = append(ids, parseOID(o.oid))
	}
	return ids
}

// columnOIDs returns the object identifiers of columns.
func columnOIDs[R any](columns []column[R]) []oid {
	var ids []oid
	for _, c := range columns {
		ids = append(ids, parseOID(c.oid))
	}
	return ids
}
