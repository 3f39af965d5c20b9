package experiment

// How a scale run is opened: its zones, list, sources, real balancers and hollow ones.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cottonplank/internal/testbench/emulator"
	"cottonplank/internal/testbench/faultproxy"
	"cottonplank/internal/testbench/hollow"
	"cottonplank/internal/testbench/invariants"
)

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

func (s *scaleRun) zoneNames() (all []string) {
	for z := range s.e.Zones {
		all = append(all, zoneName(z))
	}
	return all
}

// full tells whether a hollow balancer's module has the list. They are spread over the zones.
func (s *scaleRun) full(i int) bool { return i < s.e.Modules }

// open starts everything: sources, links, real balancers, hollow ones.
func (s *scaleRun) open(ctx context.Context) error {
	if err := s.list(); err != nil {
		return err
	}
	for z := range s.e.Zones {
		s.links = append(s.links, faultproxy.NewLink(func(p *faultproxy.Port) string { return s.lead(z, p.Balancer) }))
	}
	for i := range s.e.Hollow + s.e.Real {
		p, err := s.links[s.zone(i)].Port(i)
		if err != nil {
			return err
		}
		s.ports = append(s.ports, p)
	}
	s.reads = make([]uint64, len(s.ports))
	list := s.roster.Snapshot(known)
	s.result.ListKB = float64(len(list)) / kb
	if err := s.openReal(ctx); err != nil {
		return err
	}
	s.say(fmt.Sprintf("%d real balancers serve, each knows %d room servers", s.e.Real, s.e.Servers))
	return s.openHollow(ctx, list)
}

// zone is that of a balancer, as ports number them.
func (s *scaleRun) zone(i int) int {
	if i < s.e.Hollow {
		return s.e.hollowZone(i)
	}
	return s.e.realZone(i - s.e.Hollow)
}

// list makes the room servers, the list and its sources.
func (s *scaleRun) list() error {
	served := map[int]bool{}
	for i := range s.e.Real {
		z := s.e.realZone(i)
		if served[z] {
			continue
		}
		served[z] = true
		for k := range s.e.Rooms {
			room, err := emulator.NewRoomServer(emulator.RoomServerConfig{Name: fmt.Sprintf("s-%d-%d", z, k), Capacity: 2 * s.e.Sessions, Recorder: s.recorder})
			if err != nil {
				return err
			}
			s.rooms, s.zoneOf = append(s.rooms, room), append(s.zoneOf, z)
			s.entries = append(s.entries, emulator.Entry{Instance: room.Name(), Address: room.Address(), Zone: zoneName(z), Lifecycle: "active", Weight: 1})
		}
	}
	s.drained = make([]bool, len(s.rooms))
	// Those that do not exist stand where no real balancer would send anybody.
	var zones []int
	for z := range s.e.Zones {
		if !served[z] {
			zones = append(zones, z)
		}
	}
	for i := len(s.rooms); i < s.e.Servers; i++ {
		s.entries = append(s.entries, emulator.Entry{Instance: fmt.Sprintf("h-%d", i), Address: nowhere(i), Zone: zoneName(zones[i%len(zones)]),
			Lifecycle: "active", Weight: 1})
	}
	s.roster = emulator.NewEndpointTable(s.entries)
	for i := range s.e.Sources {
		source := emulator.NewListServer(s.roster)
		s.sources = append(s.sources, source)
		for d := range 1 + s.e.Real { // for hollow ones, then for each real one
			var hear func([]emulator.Entry)
			if d > 0 {
				hear = s.hear(realName(d - 1))
			}
			if _, err := source.Listen(hear); err != nil {
				return fmt.Errorf("source %d: %w", i, err)
			}
		}
	}
	return nil
}

// nowhere is an address on loopback at which nobody listens, for a room server that does not exist.
func nowhere(i int) string { return fmt.Sprintf("127.%d.%d.%d:1", 1+i>>16&127, i>>8&255, i&255) }

func realName(i int) string { return fmt.Sprintf("n%d", i) }

// hear notes what a real balancer is told of the room servers that exist.
func (s *scaleRun) hear(name string) func([]emulator.Entry) {
	exist := map[string]bool{}
	for _, r := range s.rooms {
		exist[r.Name()] = true
	}
	return func(all []emulator.Entry) {
		for _, e := range all {
			if !exist[e.Instance] {
				continue
			}
			kind := invariants.DrainObserved
			if e.Lifecycle == "active" {
				kind = invariants.ReadyObserved
			}
			s.recorder.Add(invariants.Event{Kind: kind, Balancer: name, Server: e.Instance})
		}
	}
}

// lead is where a balancer of a zone finds the list now: at a source of its region where one is there.
func (s *scaleRun) lead(zone, balancer int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	door := max(0, balancer-s.e.Hollow+1)
	region := s.e.region(zone)
	var own, others []int
	for i, ok := range s.led {
		switch {
		case !ok:
		case i%s.e.Regions == region:
			own = append(own, i)
		default:
			others = append(others, i)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return ""
	}
	return s.sources[own[zone%len(own)]].Address(door)
}

func (s *scaleRun) openReal(ctx context.Context) error {
	for i := range s.e.Real {
		b, err := s.serve(ctx, i)
		if err != nil {
			return err
		}
		s.balancers, s.alive = append(s.balancers, b), append(s.alive, true)
		s.front.Add(b.name, b.address)
	}
	return nil
}

// serve starts a real balancer that knows the first list, at free ports. Among thousands of connections one may take
// such a port before the balancer does; it is started at others then.
func (s *scaleRun) serve(ctx context.Context, i int) (b *balancer, err error) {
	e := Experiment{Seed: s.e.Seed, Balancers: s.e.Hollow + s.e.Real, Sessions: s.e.Sessions, Patience: 2000, MemoryMB: 512}
	at := place{zone: zoneName(s.e.realZone(i)), zones: s.zoneNames(), mode: s.e.Mode}
	for range portTries {
		if b, err = newBalancer(s.programs.Balancer, s.dir, realName(i), e, at, s.ports[s.e.Hollow+i].Address, json.RawMessage(s.roster.Snapshot(known))); err != nil {
			return nil, err
		}
		if err = b.start(ctx); err == nil {
			return b, nil
		}
		if b.process != nil && b.process.Process != nil {
			b.kill()
		}
		if !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
			break
		}
	}
	return nil, err
}

func (s *scaleRun) openHollow(ctx context.Context, list []byte) error {
	setup := hollow.Setup{KnownListPath: filepath.Join(s.dir, "known.json"), ConfigPaths: map[string]string{}}
	if err := os.WriteFile(setup.KnownListPath, list, 0o600); err != nil {
		return err
	}
	e := Experiment{Seed: s.e.Seed, Balancers: s.e.Hollow + s.e.Real, Sessions: 1, Patience: 2000, MemoryMB: 512}
	for _, zone := range s.zoneNames() {
		setup.ConfigPaths[zone] = filepath.Join(s.dir, zone+".json")
		if err := writeHollow(setup.ConfigPaths[zone], e, place{zone: zone, zones: s.zoneNames(), mode: s.e.Mode}); err != nil {
			return err
		}
	}
	for i := 0; i < s.e.Hollow; {
		setup.FullEngine = s.full(i)
		end := min(i+s.e.Each, s.e.Hollow)
		if setup.FullEngine {
			end = min(end, s.e.Modules)
		}
		w, err := startWorker(s.programs.Lab, s.dir, fmt.Sprintf("hollow-%d", len(s.workers)), setup)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		for ; i < end; i++ {
			s.of = append(s.of, w)
		}
	}
	all := make([]int, s.e.Hollow)
	for i := range all {
		all[i] = i
	}
	s.began = time.Now()
	if err := s.start(all); err != nil {
		return err
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for end := time.Now().Add(beginWithin); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-second.C:
		}
		begun, err := s.look()
		if err != nil {
			return err
		}
		s.say(fmt.Sprintf("%4.0f s  %d of %d hollow balancers watch the list", time.Since(s.began).Seconds(), begun, s.e.Hollow))
		s.result.StartS, s.result.NotBegun = time.Since(s.began).Seconds(), s.e.Hollow-begun
		if begun == s.e.Hollow {
			break
		}
	}
	for _, w := range s.workers {
		w.started()
	}
	return nil
}

// writeHollow writes the configuration of the hollow balancers of a place, which have nobody to probe.
func writeHollow(path string, e Experiment, at place) error {
	at.quiet = true
	raw, err := json.Marshal(e.config("hollow", "127.0.0.1:1", "", at, "127.0.0.1:1", nil))
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}
