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

// longList returns a snapshot of generation 41 with length entries. The server IDs of their names are all different.
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

// The fields of a snapshot and of its entry are decoded into a Listing.
func TestDecode(t *testing.T) {
	listing, err := DecodeListing([]byte(testList))
	if err != nil || len(listing.Endpoints) != 1 {
		t.Fatalf("got listing %+v, error %v, want one endpoint", listing, err)
	}
	if listing.Generation != 41 || !listing.Reset {
		t.Errorf("got generation %d, reset %v, want 41, true", listing.Generation, listing.Reset)
	}
	decoded := listing.Endpoints[0]
	if decoded.Name != "s-5be2a07c" || decoded.ID != core.ServerID(decoded.Name) || decoded.Zone != "a" ||
		decoded.Cell != 3 || decoded.State != decide.Ready || !decoded.Started.Equal(time.UnixMilli(1700000000000)) {
		t.Errorf("endpoint %+v differs from the entry in testList", decoded)
	}
}

// One invalid value makes a list invalid. If its entry were skipped instead, the endpoint would look removed.
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
				t.Errorf("invalid list %s is decoded as %+v", raw, listing)
			}
		})
	}
}

// jsonLists are lists that are valid, malformed, or well-formed with invalid content.
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

// DecodeListing, which decodes entry by entry, accepts the same lists as encoding/json, which decodes a list as a
// whole. A list with a second key "instances" is the exception: DecodeListing rejects it.
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
				t.Fatalf("got listing %+v, error %v; valid for encoding/json: %v", listing, err, valid)
			}
			if valid && (listing.Generation != *want.Generation || listing.Reset != want.Reset ||
				len(listing.Endpoints) != len(want.Instances)) {
				t.Errorf("got listing %+v, want %+v", listing, want)
			}
		})
	}
}

// The memory for decoding one entry does not grow with the length of the list.
func TestDecodeCostDoesNotGrowWithList(t *testing.T) {
	if listing, err := DecodeListing([]byte(longList(20_000))); err != nil || len(listing.Endpoints) != 20_000 {
		t.Errorf("a list of 20000 entries: got %d entries, error %v", len(listing.Endpoints), err)
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
		// The slice and the map grow by doubling, so the bytes per entry differ by a factor of up to two.
		allocations, bytes := allocated(length)
		if allocations > 1.1*shortAllocations || bytes > 2*shortBytes {
			t.Errorf("per entry of a list of %d: %.2f allocations and %.0f bytes; of a list of 600: %.2f and %.0f",
				length, allocations, bytes, shortAllocations, shortBytes)
		}
	}
}

// The decoder buffers at most one entry of a list, and no empty lines. A watch sends empty lines as heartbeats for as
// long as it is open, so buffering them would use more and more memory.
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
				t.Errorf("up to %d bytes are buffered, and %d at the end, want at most maxEntryBytes; error %v, want an error",
					largest, len(rest), err)
			}
		})
	}
}

// repeatingReader returns text and then copies of repeated. It ends after about remaining bytes.
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

// All endpoints of a list that DecodeListing accepts are valid. For a list that it rejects, it returns no endpoints.
func FuzzDecode(f *testing.F) {
	fuzzcorpus.Add(f, []byte(testList), []byte(`{"generation":0,"instances":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		listing, err := DecodeListing(raw)
		for _, decoded := range listing.Endpoints {
			if err != nil || decoded.Name == "" || decoded.State > decide.Removed || decoded.Weight < 0 {
				t.Errorf("list %q: got the invalid endpoint %+v, error %v", raw, decoded, err)
			}
		}
	})
}
