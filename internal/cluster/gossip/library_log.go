package gossip

import (
	"bytes"
	"time"

	"github.com/sirupsen/logrus"
)

// rejectionLogInterval is the time between two log lines on rejected frames.
const rejectionLogInterval = time.Minute

// rejectionPhrases are parts of the library's log lines on frames that it drops (memberlist 0.7.0, net.go).
var rejectionPhrases = [][]byte{
	[]byte("ecrypt"),
	[]byte("ailed to decode"),
	[]byte("ailed to decompress"),
	[]byte("ailed to receive"),
	[]byte("not supported"),
	[]byte("nvalid msgType"),
	[]byte("nvalid checksum"),
	[]byte("issing message type"),
	[]byte("unacceptable label"),
	[]byte("ailed to read remote state"),
	[]byte("ailed push/pull merge"),
	[]byte("truncated messages"),
}

// libraryLog receives the library's log. It counts the lines on rejected frames and logs only one of them in a while,
// because any sender could fill the log otherwise. It logs all other lines for debugging.
type libraryLog struct {
	log             *logrus.Logger
	counters        *counters
	lastRejectionAt time.Time
}

// Write implements io.Writer. line is one line of the log; the library's logger calls it under a lock.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	for _, phrase := range rejectionPhrases {
		if bytes.Contains(line, phrase) {
			l.rejected(text)
			return len(line), nil
		}
	}
	l.log.WithField("library", text).Debug("membership: gossip")
	return len(line), nil
}

func (l *libraryLog) rejected(text string) {
	total := l.counters.rejected.Add(1)
	now := time.Now()
	if now.Sub(l.lastRejectionAt) < rejectionLogInterval {
		return
	}
	l.lastRejectionAt = now
	l.log.WithFields(logrus.Fields{"library": text, "rejected": total}).Warn("membership: a frame was rejected")
}
