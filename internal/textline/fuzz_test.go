package textline

import (
	"bufio"
	"bytes"
	"errors"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// A line is at most 4 KiB and one line; with its end it is what was read.
func FuzzRead(f *testing.F) {
	fuzzcorpus.Add(f, []byte("PING\r\n"), []byte("LAMEDUCK\n"), bytes.Repeat([]byte("x"), 5000))
	f.Fuzz(func(t *testing.T, raw []byte) {
		text, err := Read(bufio.NewReaderSize(bytes.NewReader(raw), 4096))
		switch {
		case err == nil && !bytes.HasPrefix(raw, []byte(text+"\r\n")),
			errors.Is(err, ErrBare) && !bytes.HasPrefix(raw, []byte(text+"\n")),
			errors.Is(err, ErrLong) && bytes.IndexByte(raw[:4096], '\n') >= 0,
			len(text) > 4096, bytes.Contains([]byte(text), []byte("\n")):
			t.Errorf("%.60q is read as %.60q, %v", raw, text, err)
		}
	})
}
