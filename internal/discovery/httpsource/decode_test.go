package httpsource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"
	"cottonplank/internal/testbench/fuzzcorpus"
)

const testEntry = `{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:9000","zone":"a","machineType":"m2","cell":3,` +
	`"lifecycle":"active","weight":1.0,"startedAtMs":1700000000000}`

// testList is a snapshot of generation 41 with one entry.
const testList = `{"generation":41,"reset":true,"instances":[` + testEntry + `]}`

// longList returns a snapshot of generation 41. Its entries have names with different server IDs.
func longList(length int) string {
	var b strings.Builder
	b.WriteString(`{"generation":41,"reset":true,"instances":[`)
	used := map[decide.ServerID]bool{}
	for i := 0; len(used) < length; i++ {
		name := fmt.Sprintf("s-%08x", i)
		if used[core.ServerID(name)] {
			continue
		}
		used[core.ServerID(name)] = true
		if len(used) > 1 {
			b.WriteByte(',')
		}
		b.WriteString(strings.Replace(testEntry, "s-5be2a07c", name, 1))
	}
	return b.String() + "]}"
}

// allocatedPer returns the allocations and the bytes that a function allocates, divided by n.
func allocatedPer(n int, do func()) (allocations, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(n), float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
}

func TestDecode(t *testing.T) {
	listing, err := DecodeListing([]byte(testList))
	if err != nil || len(listing.Endpoints) != 1 {
		t.Fatalf("%+v, %v", listing, err)
	}
	if listing.Generation != 41 || !listing.Reset {
		t.Errorf("generation %d, reset %v", listing.Generation, listing.Reset)
	}
	decoded := listing.Endpoints[0]
	if decoded.Name != "s-5be2a07c" || decoded.ID != core.ServerID(decoded.Name) || decoded.Zone != "a" ||
		decoded.Cell != 3 || decoded.State != decide.Ready || !decoded.Started.Equal(time.UnixMilli(1700000000000)) {
		t.Errorf("%+v", decoded)
	}
}

func TestDecodeErrors(t *testing.T) {
	for _, test := range []struct{ name, old, new string }{
		{"lifecycle", `"active"`, `"asleep"`},
		{"empty name", `"s-5be2a07c"`, `""`},
		{"address", `10.1.0.18:9000`, `nowhere`},
		{"negative weight", `1.0`, `-1`},
		{"no generation", `"generation":41,`, ``},
		{"truncated", `}]}`, `}]`},
		{"cell type", `"cell":3`, `"cell":"x"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw := strings.Replace(testList, test.old, test.new, 1)
			if listing, err := DecodeListing([]byte(raw)); err == nil {
				t.Errorf("%s is decoded as %+v", raw, listing)
			}
		})
	}
}

// jsonLists are lists that are valid, invalid in form, or invalid in content.
var jsonLists = []string{
	testList,
	`{"generation":0,"instances":null}`,
	`{"GENERATION":3,"Reset":true,"inSTances":[]}`,
	`null`,
	``,
	` `,
	`{"generation":1}`,
	`{"generation":null}`,
	`{"generation":1,"generation":2}`,
	`{"generation":1.5}`,
	`{"generation":1,"reset":1}`,
	`{"generation":1,"reset":null,"x":{"y":[{}]}}`,
	`{"generation":1,}`,
	`{"generation":1} {}`,
	`{"generation":1}x`,
	`[]`,
	`3`,
	`{"generation":1 "reset":true}`,
	`{"generation":1,"instances":[,]}`,
	`{"generation":1,"instances":{}}`,
	`{"generation":1,"instances":3}`,
	`{"generation":1,"instances":[}`,
	`{"generation":1,"instances":[null]}`,
	`{"generation":1,"instances":[[]]}`,
	`{3:1}`,
	`{"generation":1,"instances":[` + testEntry + `,]}`,
	`{"generation":1,"instances":[` + testEntry + testEntry + `]}`,
	`{"generation":1,"instances":[` + testEntry + `}`,
	`{"generation":1,"instances":[` + testEntry + `]`,
}

// A list is accepted if encoding/json accepts the whole of it, except for one whose entries are there twice.
func TestDecodeAgreesWithEncodingJSON(t *testing.T) {
	for _, raw := range jsonLists {
		t.Run(raw, func(t *testing.T) {
			var want struct {
				Generation *int64
				Reset      bool
				Instances  []wireInstance
			}
			valid := json.Unmarshal([]byte(raw), &want) == nil && want.Generation != nil
			for _, instance := range want.Instances {
				if _, err := instance.endpoint(); err != nil {
					valid = false
				}
			}
			listing, err := DecodeListing([]byte(raw))
			if valid != (err == nil) {
				t.Fatalf("%+v, %v, valid: %v", listing, err, valid)
			}
			if valid && (listing.Generation != *want.Generation || listing.Reset != want.Reset ||
				len(listing.Endpoints) != len(want.Instances)) {
				t.Errorf("%+v, want %+v", listing, want)
			}
		})
	}
}

// The memory that an entry takes to decode does not grow with the list.
func TestDecodeCostDoesNotGrowWithList(t *testing.T) {
	if listing, err := DecodeListing([]byte(longList(20_000))); err != nil || len(listing.Endpoints) != 20_000 {
		t.Errorf("%d entries, %v", len(listing.Endpoints), err)
	}
	allocated := func(length int) (allocations, bytes float64) {
		raw := longList(length)
		return allocatedPer(length, func() {
			reader := &boundedReader{source: strings.NewReader(raw), onEmptyLine: func() {}}
			decoder := json.NewDecoder(reader)
			if _, err := decodeListing(decoder, func() { reader.markConsumed(decoder.InputOffset()) }); err != nil {
				t.Fatal(err)
			}
		})
	}
	shortAllocations, shortBytes := allocated(600)
	for _, length := range []int{5000, 20_000} {
		// The slice and the map grow by doubling, so that an entry's part of them differs by up to two times.
		allocations, bytes := allocated(length)
		if allocations > 1.1*shortAllocations || bytes > 2*shortBytes {
			t.Errorf("an entry of %d takes %.2f allocations and %.0f bytes, one of 600 takes %.2f and %.0f",
				length, allocations, bytes, shortAllocations, shortBytes)
		}
	}
}

// At most one entry of a list that is being read is buffered, and nothing of empty lines, which come for as
// long as a watch stands.
func TestBufferedBytesAreBounded(t *testing.T) {
	for _, test := range []struct{ name, start, repeated string }{
		{"empty lines", "", "\r\n"},
		{"entries", testList[:len(testList)-2], "," + testEntry},
		{"spaces", testList[:len(testList)-2], " "},
	} {
		t.Run(test.name, func(t *testing.T) {
			source := &repeatingReader{text: test.start, repeated: test.repeated, remaining: 8 << 20}
			reader := &boundedReader{source: source, atLineStart: true, onEmptyLine: func() {}}
			decoder := json.NewDecoder(reader)
			largest := 0
			_, err := decodeListing(decoder, func() {
				if buffered, ok := decoder.Buffered().(*bytes.Reader); ok {
					largest = max(largest, buffered.Len())
				}
				reader.markConsumed(decoder.InputOffset())
			})
			rest, _ := io.ReadAll(decoder.Buffered())
			if err == nil || largest > maxEntryBytes || len(rest) > maxEntryBytes {
				t.Errorf("%d bytes are buffered, and %d at the end, %v", largest, len(rest), err)
			}
		})
	}
}

// repeatingReader reads a text and then repetitions of another one, up to a number of bytes.
type repeatingReader struct {
	text      string
	repeated  string
	remaining int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	if len(r.text) < len(p) {
		r.text += strings.Repeat(r.repeated, len(p)/len(r.repeated)+1)
	}
	n := copy(p, r.text)
	r.text = r.text[n:]
	r.remaining -= n
	return n, nil
}

// The endpoints of a list that is accepted are valid.
func FuzzDecode(f *testing.F) {
	fuzzcorpus.Add(f, []byte(testList), []byte(`{"generation":0,"instances":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		listing, err := DecodeListing(raw)
		for _, decoded := range listing.Endpoints {
			if err != nil || decoded.Name == "" || decoded.State > decide.Removed || decoded.Weight < 0 {
				t.Errorf("%q is decoded as %+v, %v", raw, decoded, err)
			}
		}
	})
}
