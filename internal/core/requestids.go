package core

// RequestIDs keeps the values of Request.ID that no other request may have, because servers identify requests by them.
// Its methods are called from the event loop and must not block for long.
type RequestIDs interface {
	// Claim claims an ID. It returns false if the ID is claimed already.
	Claim(id string) bool
	// Release releases a claimed ID.
	Release(id string)
}

// localRequestIDs are the IDs of a process without others beside it. The event loop owns it.
type localRequestIDs map[string]struct{}

// Claim implements RequestIDs.
func (ids localRequestIDs) Claim(id string) bool {
	if _, claimed := ids[id]; claimed {
		return false
	}
	ids[id] = struct{}{}
	return true
}

// Release implements RequestIDs.
func (ids localRequestIDs) Release(id string) { delete(ids, id) }
