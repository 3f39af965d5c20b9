package hollow

import "time"

// Setup is the first line that a worker reads, as JSON.
type Setup struct {
	// KnownListPath is the file with the endpoint list with which nodes start.
	KnownListPath string `json:"Known"`
	// ConfigPaths are the files of the nodes' configurations, by zone.
	ConfigPaths map[string]string `json:"Settings"`
	// FullEngine says that each node's engine gets the endpoint list. Otherwise the engines have empty lists.
	FullEngine bool `json:"Full"`
}

// Command is any later line that a worker reads, as JSON.
type Command struct {
	// Start lists the nodes to start.
	Start []NodeSpec `json:"Start"`
	// Stop lists the nodes to stop, after those of Start were started.
	Stop []int `json:"Stop"`
	// Finish requests the final states of all running nodes.
	Finish bool `json:"End"`
}

// NodeSpec describes a node to start.
type NodeSpec struct {
	// ID is the node's number.
	ID int `json:"Balancer"`
	// Zone selects the node's configuration.
	Zone string `json:"Zone"`
	// Address is the address of discovery.
	Address string `json:"Address"`
	// NoKnownList starts the node without the known list.
	NoKnownList bool `json:"Cold"`
}

// Report is a line that a worker writes, as JSON.
type Report struct {
	// Events are the nodes' events since the last report.
	Events []Event `json:"Events,omitempty"`
	// Usage is the worker's resource usage; nil if the report does not contain it.
	Usage *Usage `json:"Usage,omitempty"`
	// Done answers Command.Finish: this report and the earlier ones contain all final states.
	Done bool `json:"Done,omitempty"`
}

// Usage is the resource usage of a worker's process.
type Usage struct {
	// CPU is the processor time during Interval.
	CPU time.Duration `json:"CPU"`
	// Interval is the time since the last Usage, or since the worker's start.
	Interval time.Duration `json:"Over"`
	// Running is the number of running nodes.
	Running int `json:"Hollow"`
	// Connected is the number of running nodes whose watch has ever received a message or a heartbeat.
	Connected int `json:"Begun"`
	// ResidentMB is the resident memory in MiB.
	ResidentMB float64 `json:"RSS"`
}
