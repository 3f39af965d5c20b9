package gossip

import (
	"sync"

	"github.com/hashicorp/memberlist"
)

// liveNodes holds a copy of each node that the library has not declared failed or left, including the node of this
// instance. It replaces Memberlist.Members, which returns the library's own nodes: the library may write to them at any
// time under its lock. liveNodes is safe for concurrent use. The library's callbacks call set and remove while the
// library holds its lock, so no method of liveNodes may call the library.
//
// The library reports no change of the protocol versions alone. They are constant during a session, and each session
// announces metadata with a new incarnation, which the library reports.
type liveNodes struct {
	mu     sync.Mutex
	byName map[string]memberlist.Node
}

func newLiveNodes() *liveNodes { return &liveNodes{byName: map[string]memberlist.Node{}} }

// set copies a node that has joined or changed. The copy shares the bytes of Addr and Meta. The library replaces these
// slices but never modifies their bytes.
func (n *liveNodes) set(node *memberlist.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.byName[node.Name] = *node
}

// remove removes a node that has failed or left.
func (n *liveNodes) remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.byName, name)
}

// all returns pointers to new copies of all live nodes, in no particular order.
func (n *liveNodes) all() []*memberlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := make([]*memberlist.Node, 0, len(n.byName))
	for _, node := range n.byName {
		nodes = append(nodes, &node)
	}
	return nodes
}
