package decide

// Affinity: connections of one group share work on their server, so they are kept together on few servers. The
// group's preferred servers in a zone come first by rendezvous hashing on the group's name, weighted by the servers'
// sizes, and are the same at all balancers.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxPreferredServers is the number of preferred servers of a group in a zone, which is at most half of the
	// zone's.
	maxPreferredServers = 3
	// groupOpeningConnections is the reserved cost of the first connection of a group at a server, in connections.
	// The server pays three for a group while it has any of it.
	groupOpeningConnections = 5.0
	// maxGroupOpeningLoad bounds that cost. By the few connections that a balancer has just after its start, one
	// looks several times too expensive, and its clients would wait while servers have capacity.
	maxGroupOpeningLoad = 0.2
)

// Constants of the FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// mixMultiplier is the increment of the SplitMix64 generator, whose output function is finalizeMix.
const mixMultiplier = 0x9e3779b97f4a7c15

func (b *Balancer) hasGroup(r *request) bool { return b.settings.GroupAffinity && r.Group != "" }

// preferredServers returns the preferred servers of a request's group in the local and in the remote list. They are
// ranked once for each version of the list, as a waiting request is tried again at every report.
func (b *Balancer) preferredServers(r *request) (local, remote []*server) {
	if r.preferredListVersion != b.discovery.listVersion {
		r.localPreferred, r.remotePreferred = b.preferredInZone(r, b.localZone), b.preferredInZone(r, b.remoteZone)
		r.preferredListVersion = b.discovery.listVersion
	}
	return r.localPreferred, r.remotePreferred
}

// preferredInZone returns the preferred servers of a request's group in a zone, the most preferred first; nil for a
// request without a group.
func (b *Balancer) preferredInZone(r *request, z *zoneIndex) []*server {
	if !b.hasGroup(r) {
		return nil
	}
	return b.preferredForGroup(z, hashString(r.Group), min(maxPreferredServers, (len(z.ready)+1)/2))
}

// groupOpeningLoad returns the load that a request adds to a server by being the first of its group there, as far as
// this balancer knows. Where other balancers share the zone, one of them most likely has connections of the group
// there.
func (b *Balancer) groupOpeningLoad(r *request, s *server) float64 {
	load, guess := b.connectionLoad(s)
	sameGroup := func(x reservation) bool { return x.request.Group == r.Group }
	if guess || !b.hasGroup(r) || s.connectionsByGroup[r.Group] > 0 || slices.ContainsFunc(s.reservations, sameGroup) {
		return 0
	}
	return min((groupOpeningConnections+b.relativeLoad(r))*load, maxGroupOpeningLoad) / b.zoneBalancers()
}

// rendezvousDistance orders the servers for a group: the nearest one is the most preferred, at all balancers alike.
func rendezvousDistance(group uint64, s *server) float64 {
	uniform := (float64(mix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / cmp.Or(s.Weight, 1)
}

// hashString is the FNV-1a hash, equal on every machine.
func hashString(text string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// mix combines two values into a hash, equal on every machine.
func mix(a, b uint64) uint64 { return finalizeMix(a ^ b*mixMultiplier) }

func finalizeMix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
