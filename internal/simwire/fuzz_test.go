package simwire

import (
	"bytes"
	"testing"

	"cottonplank/internal/testbench/fuzzcorpus"
)

// FuzzBatch checks that no input makes the decoder panic.
func FuzzBatch(f *testing.F) {
	fuzzcorpus.Add(f, []byte("FRAME\tt_s=1.5\tn=1\n"+createLine+
		"\nDEMAND\twho=3\tid=a\tservice=feed\tremaining_s=0.2\nCOMMIT\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := NewDecoder(bytes.NewReader(raw))
		for range 10 {
			if _, err := d.Batch(&recorder{}); err != nil {
				return
			}
		}
	})
}
