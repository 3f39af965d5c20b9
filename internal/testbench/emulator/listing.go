package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonplank/internal/testbench/invariants"
)

const (
	// listPattern is the HTTP method and path of the endpoint list.
	listPattern = "GET /registry/instances"
	// heartbeatInterval is the time between two heartbeats of a watch.
	heartbeatInterval = 2 * time.Second
	// heartbeatLine is what a watch sends as a heartbeat: an empty line.
	heartbeatLine = "\n"
	// readHeaderTimeout bounds the time that a call may take to send its header.
	readHeaderTimeout = 5 * time.Second
	// noVersion is the version of a client that has no list.
	noVersion = -1
)

// Values of Entry.Lifecycle.
const (
	// LifecycleActive is the lifecycle of a ready room server.
	LifecycleActive = "active"
	// LifecycleLeaving is the lifecycle of a draining room server.
	LifecycleLeaving = "leaving"
	// LifecycleLeft is the lifecycle of a removed room server.
	LifecycleLeft = "left"
)

// Entry is one room server in the endpoint list, in the platform's JSON format.
type Entry struct {
	// Instance is the name of the room server.
	Instance string `json:"instanceId"`
	// Address is its IP address and port.
	Address string `json:"hostPort"`
	// Zone is its zone.
	Zone string `json:"zone"`
	// Lifecycle is LifecycleActive, LifecycleLeaving or LifecycleLeft.
	Lifecycle string `json:"lifecycle"`
	// Weight is its capacity relative to other room servers.
	Weight float64 `json:"weight"`
	// Started is when it started, in milliseconds since 1970; 0 if it needs no warm-up. An EndpointTable replaces it by a
	// version, see StartedBase.
	Started int64 `json:"startedAtMs"`
}

// ActiveEntry returns the entry of a ready room server of weight 1 that needs no warm-up.
func ActiveEntry(name, address, zone string) Entry {
	return Entry{Instance: name, Address: address, Zone: zone, Lifecycle: LifecycleActive, Weight: 1}
}

// observation returns the kind of the event to record when the entry is sent to a balancer.
func (e Entry) observation() invariants.Kind {
	if e.Lifecycle == LifecycleActive {
		return invariants.ReadyObserved
	}
	return invariants.DrainObserved
}

// listing is a message from discovery: a snapshot or a delta.
type listing struct {
	// Generation is the version of the list.
	Generation int64 `json:"generation"`
	// Reset says that the message is a snapshot.
	Reset bool `json:"reset"`
	// Instances are all entries in a snapshot, and the changed entries in a delta.
	Instances []Entry `json:"instances"`
}

// mustMarshal returns a listing as JSON. It panics if the encoding fails, which happens only if a weight is infinite
// or not a number.
func mustMarshal(l listing) []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return raw
}

// listQuery holds the query parameters of a call for the endpoint list.
type listQuery struct {
	// version is the version that the client has; noVersion if the call has none or an invalid one.
	version int64
	// watch says that the client requests all future changes too.
	watch bool
}

func parseListQuery(req *http.Request) listQuery {
	values := req.URL.Query()
	version, err := strconv.ParseInt(values.Get("from"), 10, 64)
	if err != nil {
		version = noVersion
	}
	return listQuery{version: version, watch: values.Get("watch") != ""}
}
