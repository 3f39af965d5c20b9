package hollow

import "time"

// Setup is the first line that a worker reads.
type Setup struct {
	// KnownListPath is the file of the endpoint list that nodes start with.
	KnownListPath string `json:"Known"`
	// ConfigPaths are the files of the nodes' configurations, by zone.
	ConfigPaths map[string]string `json:"Settings"`
	// FullEngine says that each node's engine has the endpoint list.
	FullEngine bool `json:"Full"`
}

// Command is each further line that a worker reads.
type Command struct {
	// Start lists the nodes to start.
	Start []NodeSpec `json:"Start"`
	// Stop lists the nodes to stop, after the others were started.
	Stop []int `json:"Stop"`
	// Finish asks for the final states of all nodes.
	Finish bool `json:"End"`
}

// NodeSpec is a node to start.
type NodeSpec struct {
	// ID is the node's number.
	ID int `json:"Balancer"`
	// Zone selects the node's configuration.
	Zone string `json:"Zone"`
	// Address is where the node finds discovery.
	Address string `json:"Address"`
	// NoKnownList starts the node without the known list.
	NoKnownList bool `json:"Cold"`
}

// Report is a line that a worker writes.
type Report struct {
	// Events are those since the last report.
	Events []Event `json:"Events,omitempty"`
	// Usage is the worker's consumption of resources; nil in reports without it.
	Usage *Usage `json:"Usage,omitempty"`
	// Done says that all events were reported, in answer to Command.Finish.
	Done bool `json:"Done,omitempty"`
}

// Usage is the consumption of resources of a worker's process.
type Usage struct {
	// CPU is the processor time during Interval.
	CPU time.Duration `json:"CPU"`
	// Interval is the time since the last Usage.
	Interval time.Duration `json:"Over"`
	// Running is the number of running nodes.
	Running int `json:"Hollow"`
	// Connected is the number of nodes whose watch has received a heartbeat.
	Connected int `json:"Begun"`
	// ResidentMB is the resident memory in MiB.
	ResidentMB float64 `json:"RSS"`
}
