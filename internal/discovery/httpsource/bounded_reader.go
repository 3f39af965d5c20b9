package httpsource

import (
	"fmt"
	"io"
)

// boundedReader reads a stream of JSON values for a json.Decoder. It limits the size of each value and of each of its
// parts, so that an endless value does not exhaust the memory, and it reports the empty lines outside of values. A
// part is the data that the decoder reads between two calls of markConsumed, for example one entry of a list.
type boundedReader struct {
	source      io.Reader
	onEmptyLine func()

	// deliveredBytes counts the bytes that Read has returned. The decoder's input offset counts the same stream.
	deliveredBytes int64

	// valueBytes counts the bytes of the current value that have been read, including the white space before it.
	valueBytes int64

	// partBytes counts the bytes of the current value that have been read but not been consumed by the decoder.
	partBytes int64

	// valueStarted says that the current value's first byte has been read.
	valueStarted bool

	// atLineStart says that only white space has been read since the last line break.
	atLineStart bool
}

// Read implements io.Reader. It drops blocks that contain only white space before a value, because the decoder would
// buffer all of them.
func (r *boundedReader) Read(p []byte) (int, error) {
	for {
		limit := min(maxEntryBytes-r.partBytes, maxListBytes-r.valueBytes)
		if limit <= 0 {
			return 0, fmt.Errorf("list exceeds %d bytes, or a value in it exceeds %d", maxListBytes, maxEntryBytes)
		}
		n, err := r.source.Read(p[:min(int64(len(p)), limit)])
		r.scan(p[:n])
		if r.valueStarted || err != nil {
			r.deliveredBytes += int64(n)
			return n, err
		}
	}
}

// scan counts bytes that were read from the source. Before a value has started, it also reports each empty line among
// them. An empty line resets the counts, which then leave out the rest of raw, too.
func (r *boundedReader) scan(raw []byte) {
	r.valueBytes += int64(len(raw))
	r.partBytes += int64(len(raw))
	for _, char := range raw {
		switch {
		case r.valueStarted:
			return
		case char == '\n' && r.atLineStart:
			r.onEmptyLine()
			r.valueBytes = 0
			r.partBytes = 0
		case char == '\n':
			r.atLineStart = true
		case char != ' ' && char != '\t' && char != '\r':
			r.valueStarted = true
		}
	}
}

// markConsumed records that the decoder has consumed all bytes before the given input offset.
func (r *boundedReader) markConsumed(offset int64) { r.partBytes = r.deliveredBytes - offset }

// startNextValue prepares for the next value. buffered contains the bytes that the decoder has read beyond the end of
// the previous value. The rest of the previous value's line does not count as an empty line.
func (r *boundedReader) startNextValue(buffered io.Reader) {
	r.valueBytes = 0
	r.partBytes = 0
	r.valueStarted = false
	r.atLineStart = false
	raw, _ := io.ReadAll(buffered) // buffered is in memory, so reading it cannot fail
	r.scan(raw)
}
