package hollow

import "time"

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events. Each comment lists the fields of Event that the kind uses besides At.
const (
	// VersionPublished reports that a new version of the endpoint list is published: Version.
	VersionPublished Kind = iota
	// NodeReachable reports that from now on published versions can reach a node: Node.
	NodeReachable
	// NodeUnreachable reports that from now on published versions cannot reach a node: Node.
	NodeUnreachable
	// NodeStarted reports that a node has started with the list of a version, or without a list if the version is 0:
	// Node, Version.
	NodeStarted
	// VersionApplied reports that a node has applied a version, as a delta or in a snapshot: Node, Version, Snapshot.
	VersionApplied
	// FinalState reports the list that a node has at the end of the run: Node, Version, Digest.
	FinalState
)

// Event records one occurrence during a run. Workers send their events to the experiment as JSON.
type Event struct {
	// At is the time of the machine's monotonic clock, as Now returns it.
	At time.Duration `json:"At"`
	// Kind is the kind of the event and determines which of the other fields are set.
	Kind Kind `json:"Kind"`
	// Node is the number of the hollow node.
	Node int `json:"Balancer"`
	// Version is a version of the endpoint list.
	Version int64 `json:"Version"`
	// Snapshot says that the node received the version as a snapshot.
	Snapshot bool `json:"Whole"`
	// Digest is the XOR of Digest over the endpoints of the node's list.
	Digest uint64 `json:"Digest"`
}
