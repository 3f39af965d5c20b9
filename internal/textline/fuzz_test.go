package textline

import (
	"bufio"
	"bytes"
	"errors"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// maxLine is the reader's buffer size and so the length limit.
const maxLine = 4096

// A line that is read is one line within the limit, and with its terminator it is the beginning of the input.
func FuzzRead(f *testing.F) {
	fuzzcorpus.Add(f, []byte("PING\r\n"), []byte("LAMEDUCK\n"), bytes.Repeat([]byte("x"), 5000))
	f.Fuzz(func(t *testing.T, raw []byte) {
		text, err := Read(bufio.NewReaderSize(bytes.NewReader(raw), maxLine))
		switch {
		case err == nil && !bytes.HasPrefix(raw, []byte(text+"\r\n")),
			errors.Is(err, ErrMissingCR) && !bytes.HasPrefix(raw, []byte(text+"\n")),
			errors.Is(err, ErrTooLong) && bytes.IndexByte(raw[:maxLine], '\n') >= 0,
			len(text) > maxLine, bytes.Contains([]byte(text), []byte("\n")):
			t.Errorf("%.60q is read as %.60q, %v", raw, text, err)
		}
	})
}
