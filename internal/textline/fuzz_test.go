package textline

import (
	"bufio"
	"bytes"
	"errors"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// maxLine is the reader's buffer size, which is the limit of a line's length.
const maxLine = 4096

// For any input, Read returns a single line of at most maxLine bytes, and the input begins with that line and its
// terminator. An input that has a line terminator within the limit is not rejected as too long.
func FuzzRead(f *testing.F) {
	fuzzcorpus.Add(f, []byte("PING\r\n"), []byte("LAMEDUCK\n"), bytes.Repeat([]byte("x"), 5000))
	f.Fuzz(func(t *testing.T, raw []byte) {
		text, err := Read(bufio.NewReaderSize(bytes.NewReader(raw), maxLine))
		switch {
		case err == nil && !bytes.HasPrefix(raw, []byte(text+"\r\n")),
			errors.Is(err, ErrMissingCR) && !bytes.HasPrefix(raw, []byte(text+"\n")),
			errors.Is(err, ErrTooLong) && bytes.IndexByte(raw[:maxLine], '\n') >= 0,
			len(text) > maxLine, bytes.Contains([]byte(text), []byte("\n")):
			t.Errorf("input %.60q: read line %.60q, error %v", raw, text, err)
		}
	})
}
