package gossip

import (
	"bytes"
	"time"

	"github.com/sirupsen/logrus"
)

// rejectionLogInterval is the minimum time between two log lines about rejected frames.
const rejectionLogInterval = time.Minute

// rejectionPhrases are substrings of the library's log lines about frames that it drops (memberlist 0.7.0, net.go).
// Most lack the first letter of a word, which is upper case in some lines and lower case in others.
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

// libraryLog receives the library's log lines. It counts the lines about rejected frames and logs at most one of them
// per rejectionLogInterval, because any sender could fill the log otherwise. It logs all other lines at debug level.
type libraryLog struct {
	log             *logrus.Logger
	counters        *counters
	lastRejectionAt time.Time
}

// Write implements io.Writer. line is one log line. The library's logger holds a lock during the call, so calls are
// never concurrent.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	for _, phrase := range rejectionPhrases {
		if bytes.Contains(line, phrase) {
			l.rejected(text)
			return len(line), nil
		}
	}
	l.log.WithField("library", text).Debug("membership: log line of the gossip library")
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
