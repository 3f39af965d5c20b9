package simwire

import (
	"fmt"
	"io"

	"cottonplank/decide"
)

// listNumberBits and serverBits are the sizes, in bits, of list numbers and server IDs.
const (
	listNumberBits = 32
	serverBits     = 32
)

// manifest reads a MANIFEST message and the entries of its endpoint list. The list replaces an earlier list that has
// the same number.
func (d *Decoder) manifest() error {
	number, err := d.line.number("page", listNumberBits)
	if err != nil {
		return err
	}
	if number >= maxLists {
		return fmt.Errorf("MANIFEST: page %d, expected 0 to %d", number, maxLists-1)
	}
	count, err := d.line.number("lines", 32)
	if err != nil {
		return err
	}
	servers := d.lists[number].servers[:0]
	for range count {
		raw, err := d.readLine()
		if err == io.EOF {
			return fmt.Errorf("input ends within a MANIFEST of %d lines", count)
		}
		if err != nil {
			return err
		}
		s, err := d.entry(raw)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	d.lists[number] = serverList{servers: servers, received: true}
	return nil
}

// entry reads one entry of an endpoint list.
func (d *Decoder) entry(raw []byte) (s decide.Server, err error) {
	l := &d.line
	if err := l.parse(raw); err != nil {
		return s, err
	}
	if string(l.name) != "ENTRY" {
		return s, fmt.Errorf("expected ENTRY, found %s", excerpt(l.name))
	}
	if s.ID, err = serverID(l); err != nil {
		return s, err
	}
	if s.Weight, err = l.optionalDecimal("units"); err != nil {
		return s, err
	}
	cell, err := l.optionalDecimal("cell")
	if err != nil {
		return s, err
	}
	s.Cell = int(cell)
	started, err := l.optionalDecimal("came_up_s")
	if err != nil {
		return s, err
	}
	s.Started = secondsToDuration(started)
	s.Zone = d.internZone(l.text("az"))
	s.State, err = serverState(l)
	return s, err
}

func serverState(l *line) (decide.State, error) {
	condition, err := l.required("condition")
	if err != nil {
		return 0, err
	}
	switch string(condition) {
	case "on":
		return decide.Ready, nil
	case "fading":
		return decide.Draining, nil
	case "off":
		return decide.Removed, nil
	}
	return 0, l.invalid("condition", "on, fading or off", condition)
}

// internZone returns the stored copy of a zone's name, so that the entries of one zone share one string.
func (d *Decoder) internZone(name string) string {
	if interned, ok := d.zoneNames[name]; ok {
		return interned
	}
	d.zoneNames[name] = name
	return name
}

// targets reads an update of an instance's endpoint list.
func (d *Decoder) targets() (decide.Event, error) {
	l := &d.line
	how, err := l.required("how")
	if err != nil {
		return nil, err
	}
	var event decide.ListReceived
	switch string(how) {
	case "update":
		event.Kind = decide.ListDelta
	case "replace":
		event.Kind = decide.ListSnapshot
	case "restored":
		event.Kind = decide.ListRestored
	case "unavailable":
		event.Kind = decide.ListFailed
		return event, nil
	default:
		return nil, l.invalid("how", "update, replace, restored or unavailable", how)
	}
	number, err := l.number("page", listNumberBits)
	if err != nil {
		return nil, err
	}
	if number >= maxLists || !d.lists[number].received {
		return nil, fmt.Errorf("TARGETS: page %d has not been sent", number)
	}
	event.Servers = d.lists[number].servers
	return event, nil
}

func serverID(l *line) (decide.ServerID, error) {
	number, err := l.number("server", serverBits)
	return decide.ServerID(number), err
}
