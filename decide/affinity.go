package decide

// Affinity: connections of one group share work on their server, so they are kept together on few servers. A group's
// preferred servers in the own zone, and in all other zones together, are the first ones by rendezvous hashing of its
// name, weighted by the servers' sizes. They are the same at all balancers of a zone.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxPreferredServers is the largest number of preferred servers of a group in a zone. In a small zone, a group
	// prefers only half of the servers, rounded up.
	maxPreferredServers = 3
	// groupOpeningConnections is the extra load reserved for a group's first connection at a server, in average
	// connections. The group's cost there is about that of three connections, but it often outlasts the first one.
	groupOpeningConnections = 5.0
	// maxGroupOpeningLoad limits the load reserved for a group. Just after its start, a balancer has few connections and
	// estimates the load of one several times too high. Without the limit, clients would wait despite free capacity.
	maxGroupOpeningLoad = 0.2
)

// Constants of the FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// mixMultiplier is the increment of the SplitMix64 generator. finalizeMix is the generator's output function.
const mixMultiplier = 0x9e3779b97f4a7c15

func (b *Balancer) hasGroup(r *request) bool { return b.settings.GroupAffinity && r.Group != "" }

// preferredServers returns the preferred servers of a request's group in the local and in the remote list. They are
// computed once per request and list version, as a waiting request is tried again at every load report.
func (b *Balancer) preferredServers(r *request) (local, remote []*server) {
	if r.preferredListVersion != b.discovery.listVersion {
		r.localPreferred, r.remotePreferred = b.preferredInZone(r, b.localZone), b.preferredInZone(r, b.remoteZone)
		r.preferredListVersion = b.discovery.listVersion
	}
	return r.localPreferred, r.remotePreferred
}

// preferredInZone returns the preferred servers of a request's group in a zone, best first; nil without a group.
func (b *Balancer) preferredInZone(r *request, z *zoneIndex) []*server {
	if !b.hasGroup(r) {
		return nil
	}
	return b.preferredForGroup(z, hashString(r.Group), min(maxPreferredServers, (len(z.ready)+1)/2))
}

// groupOpeningLoad returns the load reserved for the first request of a group at a server, as far as this balancer
// knows. It returns 0 for other requests, and while the load of a connection there is a guess. The load is divided by
// the number of the zone's balancers: the more there are, the likelier another one has connections of the group there.
func (b *Balancer) groupOpeningLoad(r *request, s *server) float64 {
	load, guess := b.connectionLoad(s)
	sameGroup := func(x reservation) bool { return x.request.Group == r.Group }
	if guess || !b.hasGroup(r) || s.connectionsByGroup[r.Group] > 0 || slices.ContainsFunc(s.reservations, sameGroup) {
		return 0
	}
	return min((groupOpeningConnections+b.relativeLoad(r))*load, maxGroupOpeningLoad) / b.zoneBalancers()
}

// rendezvousDistance returns a server's sort key for a group; the smallest is preferred. It is equal at all balancers.
func rendezvousDistance(group uint64, s *server) float64 {
	uniform := (float64(mix(group, uint64(s.ID))>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / cmp.Or(s.Weight, 1)
}

// hashString returns the FNV-1a hash of a text. It is the same on every machine.
func hashString(text string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// mix combines two values into a hash. It is the same on every machine.
func mix(a, b uint64) uint64 { return finalizeMix(a ^ b*mixMultiplier) }

func finalizeMix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
