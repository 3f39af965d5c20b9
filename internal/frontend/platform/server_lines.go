package platform

import (
	"bytes"
	"errors"
	"os"
	"time"
)

// lineRemainderTimeout is how long after a migrate command the room server may take to send the rest of a line that
// has arrived in part.
const lineRemainderTimeout = 300 * time.Millisecond

// serverLines reads the lines of an established room server connection for relayToClient, which owns it.
//
// A migrate command interrupts it by an expired read deadline, after which it returns what is buffered and then
// os.ErrDeadlineExceeded. If a line has arrived in part at that time, it waits for the rest of this one line until the
// deadline of the migration, so that the client gets either the complete line or none of it. It waits for no later
// line: where a server's data arrives in pieces that end within lines, the piece that completes a line may begin the
// next one, and the client would never be between two lines.
type serverLines struct {
	upstream *upstreamConn
	// withinLine reports whether the last call returned a part of a line that exceeds the read buffer.
	withinLine bool
	// remainderAwaited reports whether the rest of a line was awaited after a migrate command.
	remainderAwaited bool
}

// next returns the next line, or as much of it as the read buffer holds together with bufio.ErrBufferFull.
func (l *serverLines) next() ([]byte, error) {
	raw, err := l.upstream.text.R.ReadSlice('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if len(raw) == 0 && !l.withinLine || l.remainderAwaited {
			return nil, os.ErrDeadlineExceeded
		}
		return l.awaitRemainder(bytes.Clone(raw))
	}
	if len(raw) > 0 {
		l.withinLine = raw[len(raw)-1] != '\n'
	}
	return raw, err
}

// awaitRemainder waits for the rest of a line that begins with start, and returns the line. If the rest does not
// arrive in time or exceeds the read buffer, it returns os.ErrDeadlineExceeded.
func (l *serverLines) awaitRemainder(start []byte) ([]byte, error) {
	l.remainderAwaited = true
	conn := l.upstream.conn
	conn.SetReadDeadline(*l.upstream.remainderDeadline.Load())
	defer conn.SetReadDeadline(expiredDeadline)
	rest, err := l.upstream.text.R.ReadSlice('\n')
	if err != nil {
		return nil, os.ErrDeadlineExceeded
	}
	l.withinLine = false
	return append(start, rest...), nil
}
