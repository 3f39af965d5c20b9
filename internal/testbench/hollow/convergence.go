package hollow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Findings are the results of checking a run's events.
type Findings struct {
	// Latencies holds, for each version and node, the time until the node applied the version: from the publication,
	// or from when the node became reachable if that was later.
	Latencies []time.Duration
	// LostUpdates counts the updates that a node skipped, and the nodes that did not have the final list at the end.
	LostUpdates int
	// Regressions counts how often the version of a node decreased.
	Regressions int
	// Violations has one text for each regression, each gap in the updates of a node, and each node without the final
	// list.
	Violations []string
}

// FinalList is the list that the nodes must have at the end of the run.
type FinalList struct {
	// Version is the last published version.
	Version int64
	// Digest is the XOR of Digest over its endpoints.
	Digest uint64
}

// convergenceCheck is the state of Check.
type convergenceCheck struct {
	// start is the time of the first event; violations give times since then.
	start time.Duration
	// published holds the time at which each version was published.
	published map[int64]time.Duration
	nodes     map[int]*nodeHistory
	findings  Findings
}

// nodeHistory is the state of one node according to the events that were processed so far.
type nodeHistory struct {
	reachable bool
	// reachableSince is when the node last became reachable.
	reachableSince time.Duration
	// version is the version that the node has applied last; 0 if it has no list.
	version int64
	// maxVersion is the highest version that the node has had, including before its restarts.
	maxVersion int64
	// final is the node's FinalState event; nil if there was none.
	final *Event
}

// Check checks that the nodes of a run applied all published versions in order, and that they have the wanted list at
// the end of the run. Nodes that are unreachable at the end, or have been reachable for less than the grace period, do
// not need to have it.
func Check(events []Event, want FinalList, end, grace time.Duration) Findings {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c := &convergenceCheck{published: publications(events), nodes: map[int]*nodeHistory{}}
	if len(events) > 0 {
		c.start = events[0].At
	}
	for _, e := range events {
		if e.Kind != VersionPublished {
			c.add(e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.nodes)) {
		n := c.nodes[id]
		if n.reachable && end-n.reachableSince >= grace {
			c.checkFinal(id, n.final, want)
		}
	}
	return c.findings
}

// publications returns the time at which each version was published.
func publications(events []Event) map[int64]time.Duration {
	published := map[int64]time.Duration{}
	for _, e := range events {
		if e.Kind == VersionPublished {
			published[e.Version] = e.At
		}
	}
	return published
}

// node returns the history of a node, and creates it at the node's first event.
func (c *convergenceCheck) node(id int) *nodeHistory {
	n := c.nodes[id]
	if n == nil {
		n = &nodeHistory{}
		c.nodes[id] = n
	}
	return n
}

// add processes the next event of a node.
func (c *convergenceCheck) add(e Event) {
	n := c.node(e.Node)
	switch e.Kind {
	case NodeReachable:
		if !n.reachable {
			n.reachable = true
			n.reachableSince = e.At
		}
	case NodeUnreachable:
		n.reachable = false
	case NodeStarted:
		n.version = e.Version
		n.maxVersion = max(n.maxVersion, e.Version)
	case VersionApplied:
		c.versionApplied(n, e)
	case FinalState:
		n.final = &e
	}
}

// versionApplied checks that a node skips no version, except by a snapshot, and does not go back to an older one. It
// measures the latency of each version that the node has not had before.
func (c *convergenceCheck) versionApplied(n *nodeHistory, e Event) {
	if e.Version < n.version {
		c.findings.Regressions++
		c.violated("%v: hollow node %d went back from version %d to %d", e.At-c.start, e.Node, n.version, e.Version)
	}
	if !e.Snapshot && n.version > 0 && e.Version > n.version+1 {
		c.findings.LostUpdates += int(e.Version - n.version - 1)
		c.violated("%v: hollow node %d received the delta of version %d after version %d",
			e.At-c.start, e.Node, e.Version, n.version)
	}
	for v := n.maxVersion + 1; v <= e.Version; v++ {
		if at, ok := c.published[v]; ok {
			c.findings.Latencies = append(c.findings.Latencies, e.At-max(at, n.reachableSince))
		}
	}
	n.version = e.Version
	n.maxVersion = max(n.maxVersion, e.Version)
}

// checkFinal checks the list that a node has at the end of the run.
func (c *convergenceCheck) checkFinal(id int, final *Event, want FinalList) {
	switch {
	case final == nil:
		c.violated("hollow node %d has not reported its final list", id)
	case final.Version != want.Version:
		c.violated("hollow node %d has version %d at the end, expected version %d", id, final.Version, want.Version)
	case final.Digest != want.Digest:
		c.violated("hollow node %d has a list at the end that differs from version %d", id, want.Version)
	default:
		return
	}
	c.findings.LostUpdates++
}

// violated adds the text of a violation to the findings.
func (c *convergenceCheck) violated(format string, args ...any) {
	c.findings.Violations = append(c.findings.Violations, fmt.Sprintf(format, args...))
}
