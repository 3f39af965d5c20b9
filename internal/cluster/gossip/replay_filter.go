package gossip

const (
	// An encrypted datagram begins with a version byte, followed by a nonce that is unique to the datagram.
	nonceStart  = 1
	nonceEnd    = 13
	nonceLength = nonceEnd - nonceStart
	// nonceGenerationSize is the number of nonces in each of the two generations of a replayFilter.
	nonceGenerationSize = 8192
)

type nonce [nonceLength]byte

// replayFilter remembers the nonces of the latest datagrams in two generations. When the recent generation is full, it
// replaces the older one. So the filter remembers at least the last nonceGenerationSize nonces, and at most twice
// that number. The zero value is ready to use. It is not safe for concurrent use.
type replayFilter struct {
	recent map[nonce]struct{}
	older  map[nonce]struct{}
}

// add stores a nonce and reports whether the filter did not contain it before.
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
