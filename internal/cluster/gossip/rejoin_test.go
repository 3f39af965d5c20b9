package gossip

import (
	"testing"
	"time"
)

// The intervals must grow up to the limit, but no further. Too many attempts would load the cluster, and too few
// would delay the return of a missing member.
func TestBackoff(t *testing.T) {
	var b backoff
	now := time.Unix(0, 0)
	attempts := 0
	for range 600 {
		if b.due(now, 17*time.Second) {
			attempts++
		}
		now = now.Add(time.Second)
	}
	if attempts < 20 || attempts > 70 {
		t.Errorf("%d attempts in 600 s, want 20 to 70", attempts)
	}
}
