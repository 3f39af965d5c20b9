package gossip

import (
	"bytes"
	"time"

	"github.com/sirupsen/logrus"
)

// libraryLog takes the library's log. What it says of a peer's faulty frames is counted, and written once in a while only: any
// sender could fill the log otherwise. The rest is for debugging.
type libraryLog struct {
	log    *logrus.Logger
	counts *counters
	last   time.Time
}

const refusalsApart = time.Minute

// refusals are parts of the library's lines (memberlist 0.7.0, net.go) on frames that it drops.
var refusals = [][]byte{[]byte("ecrypt"), []byte("ailed to decode"), []byte("ailed to decompress"), []byte("ailed to receive"),
	[]byte("not supported"), []byte("nvalid msgType"), []byte("nvalid checksum"), []byte("issing message type"), []byte("unacceptable label"),
	[]byte("ailed to read remote state"), []byte("ailed push/pull merge"), []byte("truncated messages")}

// Write takes one line. The library's logger calls it under a lock of its own.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	for _, part := range refusals {
		if bytes.Contains(line, part) {
			l.refused(text)
			return len(line), nil
		}
	}
	l.log.WithField("library", text).Debug("membership: gossip")
	return len(line), nil
}

func (l *libraryLog) refused(text string) {
	n := l.counts.refused.Add(1)
	if now := time.Now(); now.Sub(l.last) >= refusalsApart {
		l.last = now
		l.log.WithFields(logrus.Fields{"library": text, "refused": n}).Warn("membership: a frame was refused")
	}
}
