package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
	"cottonplank/internal/testbench/hollow"
	"cottonplank/internal/testbench/invariants"
)

const (
	// watchTimeout is how long the run waits at its start until all hollow nodes watch the list. It continues even if
	// some do not.
	watchTimeout = 10 * time.Second
	// capacityFactor is the number of connections that a room server admits, as a multiple of the number of all clients.
	capacityFactor = 2
	// knownListFileName is the name of the file with the list that hollow nodes start with.
	knownListFileName = "known.json"
)

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// zoneNames returns the names of all zones.
func (s *scaleRun) zoneNames() (names []string) {
	for zone := range s.e.Zones {
		names = append(names, zoneName(zone))
	}
	return names
}

// placement returns the placement of hollow nodes and real balancers in a zone.
func (s *scaleRun) placement(zone string) placement {
	return placement{zone: zone, zones: s.zoneNames(), membershipMode: s.e.MembershipMode}
}

// open starts the room servers, the list servers, the links, the real balancers and the hollow nodes.
func (s *scaleRun) open(ctx context.Context) error {
	if err := s.startRoomServers(); err != nil {
		return err
	}
	s.addMissingServers()
	s.table = emulator.NewEndpointTable(s.entries)
	if err := s.startListServers(); err != nil {
		return err
	}
	if err := s.openPorts(); err != nil {
		return err
	}
	list := s.table.Snapshot(initialVersion)
	s.result.ListKB = float64(len(list)) / bytesPerKB
	if err := s.startBalancers(ctx); err != nil {
		return err
	}
	s.progress(fmt.Sprintf("%d real balancers serve with a list of %d room servers", s.e.RealBalancers, s.e.Servers))
	if err := s.startWorkers(list); err != nil {
		return err
	}
	return s.startAllNodes(ctx)
}

// realZones returns the set of zones that have a real balancer.
func (s *scaleRun) realZones() map[int]bool {
	zones := map[int]bool{}
	for i := range s.e.RealBalancers {
		zones[s.e.realZone(i)] = true
	}
	return zones
}

// startRoomServers starts the room servers that exist and adds them to the list. They are in the zones that have a real
// balancer.
func (s *scaleRun) startRoomServers() error {
	started := map[int]bool{}
	for i := range s.e.RealBalancers {
		zone := s.e.realZone(i)
		if started[zone] {
			continue
		}
		started[zone] = true
		for n := range s.e.RoomServersPerZone {
			server, err := emulator.NewRoomServer(emulator.RoomServerConfig{
				Name:     fmt.Sprintf("s-%d-%d", zone, n),
				Capacity: capacityFactor * s.e.Sessions,
				Recorder: s.recorder,
			})
			if err != nil {
				return err
			}
			s.roomServers = append(s.roomServers, server)
			entry := emulator.ActiveEntry(server.Name(), server.Address(), zoneName(zone))
			s.entries = append(s.entries, entry)
		}
	}
	s.draining = make([]bool, len(s.roomServers))
	return nil
}

// addMissingServers fills the list up to its length with entries of room servers that do not exist. Their zones have no
// real balancers, because a real balancer sends clients to the room servers of its zone.
func (s *scaleRun) addMissingServers() {
	realZones := s.realZones()
	var zones []int
	for zone := range s.e.Zones {
		if !realZones[zone] {
			zones = append(zones, zone)
		}
	}
	for i := len(s.roomServers); i < s.e.Servers; i++ {
		zone := zoneName(zones[i%len(zones)])
		entry := emulator.ActiveEntry(missingServerName(i), unusedAddress(i), zone)
		s.entries = append(s.entries, entry)
	}
}

// missingServerName returns the name of a room server that does not exist.
func missingServerName(i int) string { return fmt.Sprintf("h-%d", i) }

// unusedAddress returns an address on loopback at which no process listens, a different one for each number.
func unusedAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:1", 1+i>>16&127, i>>8&255, i&255)
}

// Indexes of the addresses of each list server. It listens at one address for all hollow nodes, and at one for each
// real balancer, so that the entries that it sends to each real balancer can be recorded.
const (
	hollowListenAddress    = 0
	firstRealListenAddress = 1
)

// startListServers starts the list servers, each with all its addresses.
func (s *scaleRun) startListServers() error {
	for i := range s.e.ListServers {
		server := emulator.NewListServer(s.table)
		s.listServers = append(s.listServers, server)
		if _, err := server.Listen(nil); err != nil {
			return fmt.Errorf("replica %d: %w", i, err)
		}
		for n := range s.e.RealBalancers {
			if _, err := server.Listen(s.observer(balancerName(n))); err != nil {
				return fmt.Errorf("replica %d: %w", i, err)
			}
		}
	}
	return nil
}

// observer returns a function for the entries that list servers send to a real balancer. It records the lifecycles of
// the room servers that exist.
func (s *scaleRun) observer(balancer string) func([]emulator.Entry) {
	existing := map[string]bool{}
	for _, server := range s.roomServers {
		existing[server.Name()] = true
	}
	return func(entries []emulator.Entry) {
		for _, e := range entries {
			if !existing[e.Instance] {
				continue
			}
			kind := invariants.DrainObserved
			if e.Lifecycle == emulator.LifecycleActive {
				kind = invariants.ReadyObserved
			}
			s.recorder.Add(invariants.Event{Kind: kind, Balancer: balancer, Server: e.Instance})
		}
	}
}

// openPorts creates the links of all zones. It opens a port for each hollow node and real balancer on the link of its
// zone.
func (s *scaleRun) openPorts() error {
	for zone := range s.e.Zones {
		link := faultproxy.NewLink(func(p *faultproxy.Port) string { return s.listAddress(zone, p.Balancer) })
		s.links = append(s.links, link)
	}
	for i := range s.e.balancers() {
		port, err := s.links[s.zoneOfPort(i)].Port(i)
		if err != nil {
			return err
		}
		s.ports = append(s.ports, port)
	}
	s.portBytes = make([]uint64, len(s.ports))
	return nil
}

// zoneOfPort returns the zone of the hollow node or real balancer that uses the i-th port.
func (s *scaleRun) zoneOfPort(i int) int {
	if i < s.e.HollowNodes {
		return s.e.hollowZone(i)
	}
	return s.e.realZone(i - s.e.HollowNodes)
}

// listAddress returns the address of the list server that a port of a zone connects to. It chooses among the list
// servers whose serverUp is set: one of the zone's region if there is one, otherwise one of another region. It returns
// an empty string if serverUp is set for none.
func (s *scaleRun) listAddress(zone, port int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	listenAddress := hollowListenAddress
	if port >= s.e.HollowNodes {
		listenAddress = firstRealListenAddress + port - s.e.HollowNodes
	}
	region := s.e.region(zone)
	var local, remote []int
	for i, up := range s.serverUp {
		switch {
		case !up:
		case i%s.e.Regions == region:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return ""
	}
	return s.listServers[candidates[zone%len(candidates)]].Address(listenAddress)
}

// startBalancers starts the real balancers and adds them to the front layer.
func (s *scaleRun) startBalancers(ctx context.Context) error {
	for i := range s.e.RealBalancers {
		b, err := s.startBalancer(ctx, i)
		if err != nil {
			return err
		}
		s.balancers = append(s.balancers, b)
		s.alive = append(s.alive, true)
		s.frontLayer.Add(b.name, b.address)
	}
	return nil
}

// startBalancer starts a real balancer that knows the initial version of the list.
func (s *scaleRun) startBalancer(ctx context.Context, i int) (*balancer, error) {
	return startBalancer(ctx, balancerSpec{
		program:    s.programs.Balancer,
		dir:        s.dir,
		name:       balancerName(i),
		experiment: s.e.balancerExperiment(s.e.Sessions),
		placement:  s.placement(zoneName(s.e.realZone(i))),
		discovery:  s.ports[s.e.HollowNodes+i].Address,
		known:      json.RawMessage(s.table.Snapshot(initialVersion)),
	})
}

// startWorkers writes the files of the workers and starts them. Nodes with and without full engines run in separate
// workers.
func (s *scaleRun) startWorkers(list []byte) error {
	setup := hollow.Setup{
		KnownListPath: filepath.Join(s.dir, knownListFileName),
		ConfigPaths:   map[string]string{},
	}
	if err := os.WriteFile(setup.KnownListPath, list, 0o600); err != nil {
		return err
	}
	for _, zone := range s.zoneNames() {
		setup.ConfigPaths[zone] = filepath.Join(s.dir, zone+".json")
		if err := writeNodeConfig(setup.ConfigPaths[zone], s.e.balancerExperiment(1), s.placement(zone)); err != nil {
			return err
		}
	}
	for first := 0; first < s.e.HollowNodes; {
		setup.FullEngine = s.e.fullEngine(first)
		end := min(first+s.e.NodesPerWorker, s.e.HollowNodes)
		if setup.FullEngine {
			end = min(end, s.e.FullEngines)
		}
		w, err := startWorker(s.programs.Worker, s.dir, fmt.Sprintf("hollow-%d", len(s.workers)), setup)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		for ; first < end; first++ {
			s.workerOf = append(s.workerOf, w)
		}
	}
	return nil
}

// writeNodeConfig writes the configuration of hollow nodes. They do not probe room servers.
func writeNodeConfig(path string, e Experiment, at placement) error {
	at.noProbes = true
	a := addresses{listen: "127.0.0.1:1", discovery: "127.0.0.1:1"} // required by the format, not used by hollow nodes
	raw, err := json.Marshal(e.config("hollow", at, a, nil))
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// startAllNodes starts all hollow nodes and waits until they watch the list, or until watchTimeout.
func (s *scaleRun) startAllNodes(ctx context.Context) error {
	nodes := make([]int, s.e.HollowNodes)
	for i := range nodes {
		nodes[i] = i
	}
	s.startedAt = time.Now()
	if err := s.startNodes(nodes); err != nil {
		return err
	}
	if err := s.waitUntilWatching(ctx); err != nil {
		return err
	}
	for _, w := range s.workers {
		w.endStartPhase()
	}
	return nil
}

// waitUntilWatching waits until all hollow nodes watch the list, or until watchTimeout, which is not an error.
func (s *scaleRun) waitUntilWatching(ctx context.Context) error {
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for end := time.Now().Add(watchTimeout); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-second.C:
		}
		connected, err := s.readCounters()
		if err != nil {
			return err
		}
		elapsed := time.Since(s.startedAt).Seconds()
		s.progress(fmt.Sprintf("%4.0f s  %d of %d hollow balancers watch the list",
			elapsed, connected, s.e.HollowNodes))
		s.result.StartSeconds = elapsed
		s.result.NotConnected = s.e.HollowNodes - connected
		if connected == s.e.HollowNodes {
			return nil
		}
	}
	return nil
}
