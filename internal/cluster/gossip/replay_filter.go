package gossip

const (
	// An encrypted datagram begins with a version byte, followed by a nonce that no other datagram has.
	nonceStart  = 1
	nonceEnd    = 13
	nonceLength = nonceEnd - nonceStart
	// nonceGenerationSize is the number of nonces in each of the two generations of a replayFilter.
	nonceGenerationSize = 8192
)

type nonce [nonceLength]byte

// replayFilter remembers the nonces of the latest datagrams: at least nonceGenerationSize of them, and at most twice
// as many. The zero value is ready to use; it is not safe for concurrent use.
type replayFilter struct {
	recent map[nonce]struct{}
	older  map[nonce]struct{}
}

// add stores a nonce and reports whether it was new.
func (f *replayFilter) add(n nonce) bool {
	_, isRecent := f.recent[n]
	_, isOlder := f.older[n]
	if isRecent || isOlder {
		return false
	}
	if f.recent == nil || len(f.recent) >= nonceGenerationSize {
		f.older = f.recent
		f.recent = map[nonce]struct{}{}
	}
	f.recent[n] = struct{}{}
	return true
}
