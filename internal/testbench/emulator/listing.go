package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonplank/internal/testbench/invariants"
)

const (
	// listPattern is the HTTP endpoint of the endpoint list.
	listPattern = "GET /registry/instances"
	// heartbeatInterval is the time between two heartbeats of a watch.
	heartbeatInterval = 2 * time.Second
	// heartbeatLine is the heartbeat of a watch, an empty line.
	heartbeatLine = "\n"
	// readHeaderTimeout bounds the time that a call may take to send its header.
	readHeaderTimeout = 5 * time.Second
	// noVersion is the version of a client that does not know any list.
	noVersion = -1
)

// Values of Entry.Lifecycle.
const (
	// LifecycleActive is that of a ready room server.
	LifecycleActive = "active"
	// LifecycleLeaving is that of a draining room server.
	LifecycleLeaving = "leaving"
	// LifecycleLeft is that of a removed room server.
	LifecycleLeft = "left"
)

// Entry is one line of the endpoint list, in the platform's form.
type Entry struct {
	// Instance is the name of the room server.
	Instance string `json:"instanceId"`
	// Address is its address, with the port.
	Address string `json:"hostPort"`
	// Zone is its zone.
	Zone string `json:"zone"`
	// Lifecycle is LifecycleActive, LifecycleLeaving or LifecycleLeft.
	Lifecycle string `json:"lifecycle"`
	// Weight is its relative capacity.
	Weight float64 `json:"weight"`
	// Started is when it started, in milliseconds since 1970.
	Started int64 `json:"startedAtMs"`
}

// ActiveEntry returns the entry of a ready room server of the usual weight that needs no warm-up.
func ActiveEntry(name, address, zone string) Entry {
	return Entry{Instance: name, Address: address, Zone: zone, Lifecycle: LifecycleActive, Weight: 1}
}

// observation returns the kind of the event that a balancer was sent the entry.
func (e Entry) observation() invariants.Kind {
	if e.Lifecycle == LifecycleActive {
		return invariants.ReadyObserved
	}
	return invariants.DrainObserved
}

// listing is a message of discovery: a snapshot or a delta.
type listing struct {
	// Generation is the version of the list.
	Generation int64 `json:"generation"`
	// Reset says that the message is a snapshot.
	Reset bool `json:"reset"`
	// Instances are the entries of the list, or those that have changed.
	Instances []Entry `json:"instances"`
}

// mustMarshal returns the JSON of a listing, which consists of strings, numbers and booleans and can be encoded always.
func mustMarshal(l listing) []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return raw
}

// listQuery is what a call of the endpoint list asks for.
type listQuery struct {
	// version is the version that the client has; noVersion if it does not say so.
	version int64
	// watch says that the client wants to be sent changes.
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
