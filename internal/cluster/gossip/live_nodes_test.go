package gossip

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"log"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// newSessionWithoutProbes returns a session whose library probes no member and so suspects none. The library then
// writes to its nodes only on changes that the test makes, and the test may read the nodes between these changes.
func newSessionWithoutProbes(t *testing.T, name string) *session {
	t.Helper()
	s := &session{
		cluster:   New(testConfig(name, freeAddress(t), nil, nil, nil)),
		startedAt: time.Now(),
		events:    newEventQueue(),
	}
	s.metadata.Store(&nodeMetadata{Zone: "a", Region: "x", Version: "test", Incarnation: 1})
	s.delegate = newDelegate(s)
	libraryConfig := s.libraryConfig(log.New(io.Discard, "", 0))
	libraryConfig.Transport = nil // selects the library's transport
	libraryConfig.ProbeInterval = 0
	if err := s.start(libraryConfig); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// copyOf returns the session's copy of a live node.
func (s *session) copyOf(name string) (memberlist.Node, bool) {
	for _, node := range s.delegate.nodes.all() {
		if node.Name == name {
			return *node, true
		}
	}
	return memberlist.Node{}, false
}

// expectLibraryNodes fails the test unless the session's copies equal the library's nodes and have the given names.
func (s *session) expectLibraryNodes(t *testing.T, names ...string) {
	t.Helper()
	copies, originals := sortedNodes(s.delegate.nodes.all()), sortedNodes(s.list.Members())
	s.list.NumMembers() // takes the library's lock, so that the reads above happen before the library's later writes
	if !reflect.DeepEqual(copies, originals) {
		t.Errorf("%s has the copies %+v, want %+v", s.cluster.cfg.Settings.Name, copies, originals)
	}
	var got []string
	for _, node := range originals {
		got = append(got, node.Name)
	}
	if !slices.Equal(got, names) {
		t.Errorf("%s has the nodes %q, want %q", s.cluster.cfg.Settings.Name, got, names)
	}
}

func sortedNodes(nodes []*memberlist.Node) []memberlist.Node {
	var sorted []memberlist.Node
	for _, node := range nodes {
		sorted = append(sorted, *node)
	}
	slices.SortFunc(sorted, func(a, b memberlist.Node) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// The copies must equal the library's nodes after joins, an update and a leave. Otherwise a leave message would not
// reach a member, or would be sent to a wrong address or in a form that the member can't decode.
func TestLiveNodesEqualLibraryNodes(t *testing.T) {
	t.Parallel()
	var all []*session
	for i := range 3 {
		s := newSessionWithoutProbes(t, fmt.Sprintf("m%d", i))
		s.expectLibraryNodes(t, s.cluster.cfg.Settings.Name)
		all = append(all, s)
	}
	for _, s := range all[1:] {
		if _, err := s.list.Join([]string{all[0].cluster.cfg.Settings.Listen.String()}); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range all {
		waitFor(t, "three live nodes", testWait, func() bool { return len(s.delegate.nodes.all()) == 3 })
		s.expectLibraryNodes(t, "m0", "m1", "m2")
	}

	updated := *all[1].metadata.Load()
	updated.Divisor = 3
	raw, err := updated.encode()
	if err != nil {
		t.Fatal(err)
	}
	all[1].announce(updated)
	for _, s := range all {
		waitFor(t, "the new metadata of m1", testWait, func() bool {
			node, known := s.copyOf("m1")
			return known && bytes.Equal(node.Meta, raw)
		})
		s.expectLibraryNodes(t, "m0", "m1", "m2")
	}

	if err := all[1].list.Leave(testWait); err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		waitFor(t, "m1 is no live node", testWait, func() bool { _, known := s.copyOf("m1"); return !known })
		s.expectLibraryNodes(t, "m0", "m2")
	}
}
