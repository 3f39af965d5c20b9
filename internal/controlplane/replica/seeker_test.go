package replica

import (
	"fmt"
	"testing"
	"time"
)

func six() (all []Server) {
	for i := range 6 {
		all = append(all, Server{fmt.Sprint("m", i), fmt.Sprint("r", i/2)})
	}
	return all
}

var epoch = time.Unix(1e9, 0)

// finds plays a follower from a moment until a machine that works is found; the others hang.
func finds(s *ServerSelector, now time.Time, works func(Server) bool, own Version) time.Time {
	for {
		m, pause := s.Next()
		if now = now.Add(pause); !works(m) {
			now = now.Add(ReplyTimeout)
		} else if s.HeartbeatReceived(now, 0, own, own) {
			return now
		}
	}
}

// Three of six hang while all start: each follower has found another within the silence, those in its region first; and it
// finds the next one in time when its machine hangs beside them.
func TestThreeOfSixAreGone(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(300) {
		s := NewServerSelector(six(), "r1", seed, epoch)
		if s.order[0].Region != "r1" || s.order[1].Region != "r1" {
			t.Fatalf("order %v", s.order)
		}
		first[s.order[0].Address]++
		gone := map[string]bool{"m0": true, "m2": true, "m3": true}
		var mine Server
		works := func(m Server) bool { mine = m; return !gone[m.Address] }
		at := finds(s, epoch, works, Version{})
		if at.Sub(epoch) >= LeaderTimeout {
			t.Errorf("seed %d: found after %v", seed, at.Sub(epoch))
		}
		gone = map[string]bool{"m2": true, "m3": true, mine.Address: true}
		if again := finds(s, at.Add(IdleTimeout), works, Version{}); again.Sub(at) >= LeaderTimeout {
			t.Errorf("seed %d: found again after %v", seed, again.Sub(at))
		}
	}
	if first["m2"] < 100 || first["m3"] < 100 {
		t.Errorf("followers are spread as %v", first)
	}
}

// A machine that is behind the follower, or has not heard the writer, is left.
func TestMachineThatIsBehindIsLeft(t *testing.T) {
	s := NewServerSelector(six(), "r1", 1, epoch)
	own, older := Version{Term: 1, Number: 9}, Version{Term: 1, Number: 8}
	s.Next()
	if !s.HeartbeatReceived(epoch, 0, older, own) {
		t.Error("one that may be about to hear is left at once")
	}
	if s.HeartbeatReceived(epoch.Add(stale), 0, older, own) {
		t.Error("one that stays behind is not left")
	}
	s.Next()
	if !s.HeartbeatReceived(epoch.Add(stale), 0, older, own) {
		t.Error("the next one is held to the time of the one before")
	}
	if s.HeartbeatReceived(epoch.Add(stale), stale+1, own, own) {
		t.Error("one that does not hear the writer is not left")
	}
}

// The silence is the writer's: a machine that answers and does not hear it does not end it. It is told once.
func TestSilence(t *testing.T) {
	s := NewServerSelector(six(), "r1", 1, epoch)
	if age := s.LeaderAge(epoch); age != MaxLeaderAge {
		t.Errorf("age %v before anything was heard", age)
	}
	var v Version
	turns := ""
	for i := range 40 {
		now := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
		age := time.Duration(0)
		if i >= 10 && i < 30 {
			age = now.Sub(epoch.Add(5 * time.Second))
		}
		s.HeartbeatReceived(now, age, v, v)
		if silent, turned := s.LeaderStale(now); turned {
			turns += fmt.Sprintf("%d %v ", i, silent)
		}
	}
	if turns != "22 true 30 false " {
		t.Errorf("told: %s", turns)
	}
	for _, age := range []time.Duration{MaxLeaderAge, 2 * LeaderTimeout} { // of a machine that has not heard the writer, or has long ago
		s := NewServerSelector(six(), "r1", 1, epoch)
		s.HeartbeatReceived(epoch.Add(time.Second), age, v, v)
		if silent, _ := s.LeaderStale(epoch.Add(time.Second)); silent || s.LeaderAge(epoch.Add(time.Second)) != age {
			t.Errorf("age %v at the start: silent %v, age %v", age, silent, s.LeaderAge(epoch.Add(time.Second)))
		}
	}
	if silent, _ := NewServerSelector(six(), "r1", 1, epoch).LeaderStale(epoch.Add(LeaderTimeout)); !silent {
		t.Error("silence from the start on is none")
	}
}

// Once all were asked in vain the pauses grow, so that a fleet without a writer does not call without end.
func TestPauses(t *testing.T) {
	s := NewServerSelector(six(), "r1", 7, epoch)
	for i := range 18 {
		_, pause := s.Next()
		most := pauseQuick
		if i >= 6 {
			most = pauseSlow
		}
		if pause < most/pauseLeast || pause > most {
			t.Errorf("try %d: pause %v", i, pause)
		}
	}
	now, calls := epoch, 0
	for ; now.Before(epoch.Add(10 * time.Minute)); calls++ { // no machine hears the writer
		_, pause := s.Next()
		now = now.Add(pause)
		for s.HeartbeatReceived(now, stale+1, Version{}, Version{}) {
			now = now.Add(HeartbeatInterval)
		}
	}
	if most := 10 * 60 / 2; calls > most {
		t.Errorf("%d calls in 10 minutes without a writer, %d at most", calls, most)
	}
	s.HeartbeatReceived(now, 0, Version{}, Version{})
	if _, pause := s.Next(); pause > pauseQuick {
		t.Errorf("pause %v after a good machine", pause)
	}
}
