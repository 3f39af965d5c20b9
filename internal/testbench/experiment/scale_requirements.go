package experiment

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Requirements are the resources that a scale run needs, as ScaleExperiment.Requirements estimates them.
type Requirements struct {
	// Processes is the number of processes.
	Processes int `json:"processes"`
	// MemoryMB is the memory of all processes.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of descriptors of the process that needs the most.
	Descriptors int `json:"descriptors"`
}

const (
	// maxProcesses is the largest number of processes of a run.
	maxProcesses = 300
	// maxUsefulDescriptors replaces larger limits on descriptors, such as RLIM_INFINITY, which is not a valid int.
	maxUsefulDescriptors = 1 << 30
)

// Estimates of the memory of the processes. They fit scale experiments with 2,000 and with 20,000 room servers.
const (
	// mainProcessMB is the memory of the process of the run without balancers, room servers and clients.
	mainProcessMB = 40.0
	// portKB is the memory of the process of the run for each hollow node and real balancer.
	portKB = 90.0
	// mainServerKB is the memory of the process of the run for each room server of the list.
	mainServerKB = 8.0
	// sessionKB is the memory of the process of the run for each client and its room server.
	sessionKB = 120.0
	// workerMB is the memory of a worker process without nodes and a list.
	workerMB = 22.0
	// workerServerKB is the memory of a worker for each room server in the copy of the list that its nodes share.
	workerServerKB = 1.0
	// nodeKB is the memory of a worker for each hollow node.
	nodeKB = 75.0
	// noKnownListServerKB is the memory of a worker for each pair of a room server and a node that starts without a
	// list.
	noKnownListServerKB = 0.25
	// engineServerKB is the memory of a worker for each pair of a room server and a node with a full engine.
	engineServerKB = 2.6
	// balancerMB is the memory of a real balancer without a list.
	balancerMB = 16.0
	// balancerServerKB is the memory of a real balancer for each room server.
	balancerServerKB = 2.2
)

// Estimates of the descriptors of the processes.
const (
	// watchDescriptors is the number of descriptors of the process of the run for the watch of each hollow node and
	// real balancer: the listener of its port, both connections of the proxy, and the list server's end.
	watchDescriptors = 4
	// renewalDescriptors is the number of additional descriptors of that process while a new watch replaces the
	// previous one.
	renewalDescriptors = 3
	// sessionDescriptors is the number of descriptors of the process of the run for each client.
	sessionDescriptors = 4
	// nodeDescriptors is the number of descriptors of a worker process for each hollow node.
	nodeDescriptors = 2
	// otherDescriptors is the number of descriptors of any process for listeners, logs, pipes and the runtime.
	otherDescriptors = 500
)

// Requirements estimates the resources that the run needs.
func (e ScaleExperiment) Requirements() Requirements {
	workers := e.workers()
	mainDescriptors := (watchDescriptors+renewalDescriptors)*e.balancers() + sessionDescriptors*e.Sessions
	workerDescriptors := nodeDescriptors * min(e.NodesPerWorker, e.HollowNodes)
	return Requirements{
		Processes:   1 + workers + e.RealBalancers,
		MemoryMB:    int(e.mainMemoryMB() + e.workerMemoryMB(float64(workers)) + e.balancerMemoryMB()),
		Descriptors: max(mainDescriptors, workerDescriptors) + otherDescriptors,
	}
}

// mainMemoryMB estimates the memory of the process of the run.
func (e ScaleExperiment) mainMemoryMB() float64 {
	kb := float64(e.balancers())*portKB + float64(e.Servers)*mainServerKB + float64(e.Sessions)*sessionKB
	return mainProcessMB + kb/kbPerMB
}

// workerMemoryMB estimates the memory of all worker processes.
func (e ScaleExperiment) workerMemoryMB(workers float64) float64 {
	servers := float64(e.Servers)
	kb := workers*servers*workerServerKB +
		float64(e.HollowNodes)*nodeKB +
		float64(e.NoKnownList)*servers*noKnownListServerKB +
		float64(e.FullEngines)*servers*engineServerKB
	return workers*workerMB + kb/kbPerMB
}

// balancerMemoryMB estimates the memory of all real balancers.
func (e ScaleExperiment) balancerMemoryMB() float64 {
	return float64(e.RealBalancers) * (balancerMB + float64(e.Servers)*balancerServerKB/kbPerMB)
}

// Limits are the resources that a run may use on this machine.
type Limits struct {
	// MemoryMB is half of the machine's memory.
	MemoryMB int
	// Processes is the largest number of processes.
	Processes int
	// Descriptors is the soft limit on the descriptors of a process, at most maxUsefulDescriptors.
	Descriptors int
}

// MachineLimits returns the limits of this machine.
func MachineLimits() (Limits, error) {
	totalKB, err := procField("/proc/meminfo", "MemTotal:")
	if err != nil {
		return Limits{}, fmt.Errorf("meminfo: %w", err)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return Limits{}, fmt.Errorf("descriptors: %w", err)
	}
	return Limits{
		MemoryMB:    int(totalKB / 2 / kbPerMB),
		Processes:   maxProcesses,
		Descriptors: int(min(files.Cur, maxUsefulDescriptors)),
	}, nil
}

// Check returns an error if the run needs more of a resource than the limits allow. The error names the first of these
// resources.
func (r Requirements) Check(limits Limits) error {
	for _, resource := range []struct {
		name     string
		required int
		limit    int
	}{
		{"MB of memory (limited to half of the machine's)", r.MemoryMB, limits.MemoryMB},
		{"processes", r.Processes, limits.Processes},
		{"descriptors of one process", r.Descriptors, limits.Descriptors},
	} {
		if resource.required > resource.limit {
			return fmt.Errorf("the run needs %d %s; the limit is %d", resource.required, resource.name, resource.limit)
		}
	}
	return nil
}
