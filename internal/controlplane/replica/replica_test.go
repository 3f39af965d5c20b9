package replica

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"cottonplank/internal/discovery/endpoint"

	"pgregory.net/rapid"
)

// fataler is implemented by testing.T and rapid.T, so that tests of both kinds can use the same helpers.
type fataler interface{ Fatal(...any) }

func testEntry(i, weight int) endpoint.Entry {
	address := fmt.Sprintf("127.1.%d.%d:9000", i>>8, i&255)
	return endpoint.Entry{Name: fmt.Sprintf("s-%05d", i), Address: address, Zone: "a", Weight: float64(weight)}
}

func testDocument(length, weight int) Document {
	document := Document{Discovery: "127.0.0.1:8500"}
	for i := range length {
		document.Endpoints = append(document.Endpoints, testEntry(i, weight))
	}
	return document
}

// commit proposes and applies a document, as the leader does, but does not save the state to a file.
func commit(t fataler, leader *Replica, document Document, term uint64) Version {
	change, next, err := leader.Propose(document, term)
	if err == nil && change != nil {
		_, err = leader.ApplyChanges([]Change{*change})
	}
	if err != nil {
		t.Fatal(err)
	}
	if leader.State().Version != next.Version {
		t.Fatal("proposed ", next.Version, ", current ", leader.State().Version)
	}
	return next.Version
}

// replicate sends changes and snapshots from a server to a follower until the follower is up to date, or until
// maxMessages have been sent, as if the connection were then lost. It returns the number of snapshots, of which the
// last may be incomplete.
func replicate(t fataler, follower, server *Replica, maxMessages int) (snapshots int) {
	defer follower.DiscardChunks()
	sentVersion := follower.State().Version
	for messages := 0; ; {
		changes, needsSnapshot := server.ChangesSince(sentVersion)
		if !needsSnapshot && len(changes) == 0 {
			return snapshots
		}
		before := follower.State().Version
		if needsSnapshot {
			snapshots++
			for _, chunk := range server.State().Chunks() {
				if messages++; messages > maxMessages {
					return snapshots
				}
				if _, err := follower.ApplyChunk(chunk); err != nil {
					t.Fatal(err)
				}
			}
			sentVersion = server.State().Version
		} else {
			if messages++; messages > maxMessages {
				return snapshots
			}
			if _, err := follower.ApplyChanges(changes); err != nil {
				t.Fatal(err)
			}
			sentVersion = changes[len(changes)-1].To
		}
		if follower.State().Version.Compare(before) <= 0 {
			t.Fatal("the follower stays at version ", before)
		}
	}
}

// serverCount is the number of replicas in a cluster that retain changes, including the leader's.
const serverCount = 3

// cluster contains the replicas of a control plane: the leader's replica, and the replicas of serverCount-1 other
// servers and of followers that are not servers.
type cluster struct {
	replicas  []*Replica // the first one is the leader's
	term      uint64
	committed map[Version]Document
	observed  []Version // the version of each replica at the last check
}

func newCluster() *cluster {
	c := &cluster{term: 1, committed: map[Version]Document{{}: {}}}
	for i := range 5 {
		c.replicas = append(c.replicas, New(State{}, i < serverCount))
	}
	c.observed = make([]Version, len(c.replicas))
	return c
}

func (c *cluster) leader() *Replica { return c.replicas[0] }

// checkInvariants fails the test if a replica has an older version than at the last check, or if its document differs
// from the document committed under its version.
func (c *cluster) checkInvariants(t *rapid.T) {
	for i, replica := range c.replicas {
		state := replica.State()
		if state.Version.Compare(c.observed[i]) < 0 {
			t.Fatalf("replica %d went back from version %s to %s", i, c.observed[i], state.Version)
		}
		c.observed[i] = state.Version
		if want := c.committed[state.Version]; !reflect.DeepEqual(state.Document, want) {
			t.Fatalf("replica %d has a wrong document for version %s:\n%v\nwant\n%v", i, state.Version, state.Document, want)
		}
	}
}

// write commits a random document at the leader.
func (c *cluster) write(t *rapid.T) {
	addresses := []string{"", "127.0.0.1:1", "127.0.0.1:2"}
	document := Document{Discovery: rapid.SampledFrom(addresses).Draw(t, "discovery")}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 700), 1, 60, rapid.ID[int]).Draw(t, "entries") {
		document.Endpoints = append(document.Endpoints, testEntry(i, rapid.IntRange(0, 2).Draw(t, "weight")))
	}
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 { // the change does not fit into one message
		document.Endpoints = testDocument(701, 3).Endpoints
	}
	version := commit(t, c.leader(), document, c.term)
	c.committed[version] = c.leader().State().Document
}

// pull replicates from a random server to a random follower. The connection may be lost on the way.
func (c *cluster) pull(t *rapid.T) {
	follower := rapid.IntRange(1, len(c.replicas)-1).Draw(t, "follower")
	server := rapid.IntRange(0, serverCount-1).Draw(t, "server")
	if follower != server {
		replicate(t, c.replicas[follower], c.replicas[server], rapid.IntRange(0, 6).Draw(t, "messages"))
	}
}

// restart replaces a random replica by a new replica with the same state, without retained changes and received chunks.
func (c *cluster) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(c.replicas)-1).Draw(t, "replica")
	c.replicas[i] = New(c.replicas[i].State(), i < serverCount)
}

// For any sequence of writes, new terms, interrupted replications and restarts: no replica goes back to an older
// version, each replica has the document that was committed under its version, and all replicas reach the leader's
// version once they can replicate from the leader without interruption.
func TestReplicasConverge(t *testing.T) {
	flag.Set("rapid.seed", "20261202") // the same sequences in each run
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"":        c.checkInvariants,
			"write":   c.write,
			"term":    func(*rapid.T) { c.term++ },
			"pull":    c.pull,
			"restart": c.restart,
		})
		for _, follower := range c.replicas[1:] {
			replicate(t, follower, c.leader(), math.MaxInt)
			if follower.State().Version != c.leader().State().Version {
				t.Fatalf("a follower ends at version %s, the leader at %s", follower.State().Version, c.leader().State().Version)
			}
		}
		c.checkInvariants(t)
	})
}

// A follower that was disconnected while 100 versions were published receives only the changes, and no snapshot. The
// same holds if its server is itself a follower of the leader.
func TestCatchUpWith100Changes(t *testing.T) {
	leader, server, follower := New(State{}, true), New(State{}, true), New(State{}, false)
	commit(t, leader, testDocument(500, 1), 1)
	replicate(t, server, leader, math.MaxInt)
	replicate(t, follower, leader, math.MaxInt)
	for i := range 100 {
		document := testDocument(500, 1)
		document.Endpoints[i].Drain = true
		commit(t, leader, document, 1)
		replicate(t, server, leader, math.MaxInt)
	}
	changes, needsSnapshot := server.ChangesSince(follower.State().Version)
	if needsSnapshot || len(changes) != 100 {
		t.Errorf("%d changes, want 100; needs a snapshot: %v", len(changes), needsSnapshot)
	}
	snapshots := replicate(t, follower, server, math.MaxInt)
	if snapshots != 0 || !reflect.DeepEqual(follower.State(), leader.State()) {
		t.Errorf("%d snapshots were sent, the follower is at version %s", snapshots, follower.State().Version)
	}
}

// The changes that a server retains are limited in number and in bytes. A follower that needs older ones receives a
// snapshot.
func TestSnapshotWhenChangesAreNotRetained(t *testing.T) {
	leader, follower := New(State{}, true), New(State{}, false)
	commit(t, leader, testDocument(300, 1), 1)
	replicate(t, follower, leader, math.MaxInt)
	for i := range maxRetainedBytes/(250*maxEncodedEntryBytes(testEntry(1, 1))) + 10 {
		document := testDocument(300, 1)
		for j := range 250 {
			document.Endpoints[j].Weight = float64(i + 2)
		}
		commit(t, leader, document, 1)
	}
	if leader.retainedBytes > maxRetainedBytes || len(leader.retained) == 0 {
		t.Errorf("%d bytes of %d changes are retained", leader.retainedBytes, len(leader.retained))
	}
	if _, needsSnapshot := leader.ChangesSince(follower.State().Version); !needsSnapshot {
		t.Error("changes are sent although some are no longer retained")
	}
	if replicate(t, follower, leader, math.MaxInt) != 1 || !reflect.DeepEqual(follower.State(), leader.State()) {
		t.Errorf("the follower did not receive exactly one snapshot, or has a wrong state; it is at version %s",
			follower.State().Version)
	}
	for i := range maxRetainedChanges + 5 {
		commit(t, leader, testDocument(1, i+1000), 1)
	}
	if len(leader.retained) != maxRetainedChanges {
		t.Errorf("%d changes are retained, want maxRetainedChanges", len(leader.retained))
	}
}

// A follower ignores a state older than its own, whether it receives a snapshot or changes. A server that lags behind
// the follower does not send it anything.
func TestOlderStateIsIgnored(t *testing.T) {
	leader, older, follower := New(State{}, true), New(State{}, true), New(State{}, false)
	commit(t, leader, testDocument(10, 1), 1)
	replicate(t, older, leader, math.MaxInt)
	olderChanges, _ := older.ChangesSince(Version{})
	commit(t, leader, testDocument(10, 2), 1)
	replicate(t, follower, leader, math.MaxInt)
	for _, chunk := range older.State().Chunks() {
		if changed, err := follower.ApplyChunk(chunk); changed || err != nil {
			t.Error(changed, err)
		}
	}
	if changed, err := follower.ApplyChanges(olderChanges); changed || err != nil {
		t.Error(changed, err)
	}
	if changes, needsSnapshot := older.ChangesSince(follower.State().Version); needsSnapshot || len(changes) > 0 {
		t.Errorf("the older server sends %d changes, needs a snapshot: %v", len(changes), needsSnapshot)
	}
	if !reflect.DeepEqual(follower.State(), leader.State()) {
		t.Errorf("the follower no longer has the leader's state, it is at version %s", follower.State().Version)
	}
}

// A chunk is rejected if one before it is missing, or if it completes a snapshot of an empty document.
func TestInvalidChunksAreRejected(t *testing.T) {
	leader := New(State{}, true)
	commit(t, leader, testDocument(2000, 1), 1)
	chunks := leader.State().Chunks()
	if len(chunks) < 3 {
		t.Fatalf("%d chunks, the test needs at least 3", len(chunks))
	}
	follower := New(State{}, false)
	follower.ApplyChunk(chunks[0])
	if _, err := follower.ApplyChunk(chunks[2]); !errors.Is(err, ErrGap) {
		t.Error(err)
	}
	if _, err := follower.ApplyChunk(chunks[1]); !errors.Is(err, ErrGap) { // the chunks before the gap were discarded
		t.Error(err)
	}
	empty := SnapshotChunk{Version: Version{Term: 1, Number: 9}, Last: true}
	if _, err := follower.ApplyChunk(empty); !errors.Is(err, ErrInvalidDocument) {
		t.Errorf("error for an empty document: %v", err)
	}
}

// A change is rejected if one before it is missing, or if the resulting document is invalid. The replica then keeps
// its version.
func TestInvalidChangesAreRejected(t *testing.T) {
	leader := New(State{}, true)
	commit(t, leader, testDocument(2000, 1), 1)
	follower := New(leader.State(), false)
	var allNames []string
	for _, entry := range leader.State().Document.Endpoints {
		allNames = append(allNames, entry.Name)
	}
	version := func(number uint64) Version { return Version{Term: 1, Number: number} }
	upsert := func(entry endpoint.Entry) Change {
		return Change{From: version(1), To: version(2), Upserted: []endpoint.Entry{entry}}
	}
	for _, test := range []struct {
		name   string
		change Change
		want   error
	}{
		{"gap", Change{From: version(2), To: version(3), Upserted: []endpoint.Entry{testEntry(1, 5)}}, ErrGap},
		{"address", upsert(endpoint.Entry{Name: "x", Address: "nowhere", Zone: "a"}), ErrInvalidDocument},
		{"weight", upsert(endpoint.Entry{Name: "x", Address: "127.0.0.1:1", Zone: "a", Weight: math.NaN()}),
			ErrInvalidDocument},
		{"no entries", Change{From: version(1), To: version(2), Removed: allNames}, ErrInvalidDocument},
	} {
		t.Run(test.name, func(t *testing.T) {
			changed, err := follower.ApplyChanges([]Change{test.change})
			if !errors.Is(err, test.want) || follower.State().Version != version(1) {
				t.Errorf("changed: %v, error: %v, version: %s", changed, err, follower.State().Version)
			}
		})
	}
}

// A leader whose state file was lost starts without a version. It must not publish a document under a version that
// followers already have with another document. Once the operators have raised the term, it can publish again.
func TestLeaderThatLostItsState(t *testing.T) {
	leader := New(State{}, true)
	if !leader.ObserveFollower(Version{Term: 1, Number: 50}) {
		t.Error("ObserveFollower does not report that the follower's version is newer")
	}
	if _, _, err := leader.Propose(testDocument(3, 1), 1); err == nil || !strings.Contains(err.Error(), "1.50") {
		t.Errorf("proposal in the lost term: error %v", err)
	}
	if version := commit(t, leader, testDocument(3, 1), 2); version != (Version{Term: 2, Number: 1}) {
		t.Error(version)
	}
	if _, _, err := leader.Propose(testDocument(4, 1), 1); err == nil {
		t.Error("a proposal in an older term is accepted")
	}
	_, _, err := leader.Propose(Document{Discovery: "127.0.0.1:1"}, 2)
	if err == nil || !strings.Contains(err.Error(), "rooms: a published list cannot be withdrawn") {
		t.Errorf("proposal of a document without entries: error %v", err)
	}
	if change, _, err := leader.Propose(testDocument(3, 1), 2); change != nil || err != nil {
		t.Errorf("proposal of the current document: change %v, error %v", change, err)
	}
}
