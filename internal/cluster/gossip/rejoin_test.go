package gossip

import (
	"testing"
	"time"
)

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
		t.Errorf("%d attempts in 600 s", attempts)
	}
}
