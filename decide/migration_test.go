package decide

import (
	"strings"
	"testing"
	"time"
)

// Reservations for placements that a load report may not include yet raise the load of a server, but cause no
// migration.
func TestReservationsCauseNoMigration(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(1, 0))
	h.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: 0.3, Connections: 4}})
	for i := range 6 {
		h.establish(name("r", i), idempotentClass)
	}
	h.send(ProbeCompleted{Server: 1, Code: OK, Report: LoadReport{Load: 0.7, Connections: 10}})
	if s := h.b.servers[1]; s.load < migrationLoad {
		t.Fatalf("load %.2f with the reservations, want at least migrationLoad", s.load)
	}
	if n := len(actionsOf[Migrate](h.tick(tickInterval))); n > 0 {
		t.Errorf("%d connections migrated off a server that reports a load of 0.7", n)
	}
}

// A balancer migrates the excess fraction of its connections off an overloaded server. It migrates again only after a
// report that can show the effect. Until the load is reduced, the server serves all of its connections badly.
func TestMigrationMovesExcess(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	for i := range 200 {
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))}, Server: 1})
	}
	h.reportLoad(1, migrationLoad)
	if n := len(actionsOf[Migrate](h.tick(tickInterval))); n != 0 {
		t.Fatalf("%d connections migrated at migrationLoad, want none", n)
	}
	h.reportLoad(1, 1.4)
	if n := len(actionsOf[Migrate](h.tick(tickInterval))); n < 60 || n > 140 {
		t.Fatalf("%d of 200 connections migrated at load 1.4, want about half", n)
	}
	h.reportLoad(1, 1.4) // this report cannot show the effect of the migration yet
	if n := len(actionsOf[Migrate](h.tick(tickInterval))); n != 0 {
		t.Fatalf("%d connections migrated again within migrationSettlePeriod", n)
	}
}

func TestSlowMessagesCauseProbeAndEarlierMigration(t *testing.T) {
	set := settings()
	set.ProbingAllowed = true
	h := newHarness(t, set)
	h.replaceList(servers(4, 0))
	for i := range 100 {
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("o", i))}, Server: 2})
	}
	h.tick(time.Second)
	actions := h.send(MessageDelayReported{ID: "o0", Server: 2, Delay: 200 * time.Millisecond})
	if p := actionsOf[Probe](actions); len(p) != 1 || p[0].Server != 2 {
		t.Fatalf("want a probe of server 2, got %v", actions)
	}
	h.reportLoad(2, 0.9)
	if n := len(actionsOf[Migrate](h.tick(tickInterval))); n < 8 || n > 45 {
		t.Fatalf("%d of 100 connections migrated at load 0.9 with slow messages, want 8 to 45", n)
	}
	h.reportLoad(1, 0.6) // higher than the next report of server 2
	h.reportLoad(2, 0.1)
	if s := h.establish("r", idempotentClass); s == 2 {
		t.Fatal("placed on server 2, whose messages are slow")
	}
}

// Groups with few connections at an overloaded server are migrated first, as fewest migrations remove their cost there.
func TestMigrationMovesSmallGroupsFirst(t *testing.T) {
	set := affinitySettings()
	set.Balancers = 1
	h := newHarness(t, set)
	h.replaceList(servers(4, 0))
	for i := range 12 {
		group := "large"
		if i%6 == 0 {
			group = "small"
		}
		h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name(group, i)), Group: group}, Server: 1})
	}
	h.reportLoad(1, 1.05)
	migrations := actionsOf[Migrate](h.tick(tickInterval))
	if len(migrations) < 2 || !strings.HasPrefix(string(migrations[0].ID), "small") ||
		!strings.HasPrefix(string(migrations[1].ID), "small") {
		t.Errorf("migrated %v, want the two connections of the small group first", migrations)
	}
}

// The number of migrated connections is the excess; here it is a whole number, so rounding does not change it. If each
// connection were drawn independently, often none of a small number would be migrated, and all of them would be served
// badly until the next report.
func TestMigrationCountIsTheRoundedExcess(t *testing.T) {
	const connections, want = 8, 2 // at load 1, migrationTargetLoad leaves 0.75 of the connections
	for seed := range uint64(30) {
		set := settings()
		set.Seed = seed
		h := newHarness(t, set)
		h.replaceList(servers(2, 0))
		for i := range connections {
			h.send(ConnectionRestored{Request: RequestArrived{ID: RequestID(name("r", i))}, Server: 1})
		}
		h.reportLoad(1, 1)
		if n := len(actionsOf[Migrate](h.tick(tickInterval))); n != want {
			t.Errorf("seed %d: %d of %d connections migrated off a server at load 1.0, want %d", seed, n, connections,
				want)
		}
	}
}

// All balancers migrate the same groups off an overloaded server: the groups that prefer it least. Otherwise every
// group would lose a few connections there, and the server would still have the cost of all groups.
func TestMigrationTakesSameGroupsAtAllBalancers(t *testing.T) {
	const groupCount, each = 6, 2
	migrated := map[string]int{}
	for seed := range uint64(20) {
		set := affinitySettings()
		set.Seed = seed
		h := newHarness(t, set)
		h.replaceList(servers(4, 0))
		groupOf := map[RequestID]string{}
		for i := range groupCount * each {
			id, group := RequestID(name("r", i)), name("g", i%groupCount)
			groupOf[id] = group
			h.send(ConnectionRestored{Request: RequestArrived{ID: id, Group: group}, Server: 1})
		}
		h.reportLoad(1, 1.05)
		for _, m := range actionsOf[Migrate](h.tick(tickInterval)) {
			migrated[groupOf[m.ID]]++
		}
	}
	most, all := 0, 0
	for _, n := range migrated {
		most, all = max(most, n), all+n
	}
	if len(migrated) > 2 || most < 20*each {
		t.Errorf("20 balancers migrated %d connections of %d of %d groups, at most %d of one group", all, len(migrated),
			groupCount, most)
	}
}

// A client that was migrated off an overloaded server is not placed on it again when it reconnects, though the server
// reports a low load again.
func TestMigratedClientsAvoidTheirServer(t *testing.T) {
	h := newHarness(t, settings())
	h.replaceList(servers(4, 0))
	for id := range ServerID(4) {
		h.reportLoad(id+1, 0.3)
	}
	ask := func(id, key string) ServerID {
		return h.wantAttempt(h.send(RequestArrived{ID: RequestID(id), Key: key, Group: "g",
			Remaining: 2 * time.Second}))
	}
	for i := range 8 {
		placedOn := ask(name("r", i), name("key", i))
		h.send(Established{ID: RequestID(name("r", i)), Server: placedOn})
		h.reportLoad(placedOn, 0.3)
	}
	overloaded := h.b.requests.byID["r0"].server.ID
	h.now += migrationSettlePeriod
	h.reportLoad(overloaded, 1.2)
	migrations := actionsOf[Migrate](h.tick(tickInterval))
	if len(migrations) == 0 {
		t.Fatal("no connection was migrated")
	}
	for _, m := range migrations {
		key := h.b.requests.byID[m.ID].Key
		h.endAttempt(string(m.ID), 0, overloaded, Cancelled, true)
		h.reportLoad(overloaded, 0.3)
		if s := ask("again-"+string(m.ID), key); s == overloaded {
			t.Errorf("the migrated client %s was placed on server %d again", key, s)
		}
	}
}
