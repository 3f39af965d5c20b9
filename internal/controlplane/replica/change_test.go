package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"cottonplank/internal/discovery/endpoint"
)

// longDocument returns a document with the given number of entries.
func longDocument(length int) Document {
	var document Document
	for i := range length {
		document.Endpoints = append(document.Endpoints, endpoint.Entry{
			Name:    fmt.Sprintf("s-%05d", i),
			Zone:    "a",
			Address: fmt.Sprintf("127.%d.%d.%d:9000", 3+i>>16, i>>8&255, i&255),
		})
	}
	return document
}

// changeGenerator generates random changes, some of which are invalid.
type changeGenerator struct{ random *rand.Rand }

// entry returns the entry with the number i. Its address may be the same as that of an entry with another number.
func (g changeGenerator) entry(i int) endpoint.Entry {
	port := 1 + (i+g.random.IntN(3)/2)%30
	return endpoint.Entry{Name: fmt.Sprintf("s-%02d", i), Zone: "a", Address: fmt.Sprintf("127.0.0.1:%d", port)}
}

// document returns a valid document.
func (g changeGenerator) document() Document {
	var document Document
	for i := range 12 {
		entry := g.entry(i)
		entry.Address = fmt.Sprintf("127.0.0.1:%d", 1+i)
		document.Endpoints = append(document.Endpoints, entry)
	}
	return document
}

// change returns a change from the given version to the next one. It may lead to an invalid document.
func (g changeGenerator) change(from Version) Change {
	change := Change{From: from, To: Version{Term: 1, Number: from.Number + 1}}
	for range 1 + g.random.IntN(3) {
		entry := g.entry(g.random.IntN(30))
		switch g.random.IntN(12) {
		case 0:
			entry.Zone = ""
		case 1:
			entry.Address = "nowhere"
		case 2:
			entry.Weight = -1
		}
		change.Upserted = append(change.Upserted, entry)
	}
	for range g.random.IntN(3) {
		change.Removed = append(change.Removed, g.entry(g.random.IntN(30)).Name)
	}
	return change
}

// upsertsTwice reports whether a change upserts an entry twice.
func upsertsTwice(change Change) bool {
	seen := map[string]bool{}
	for _, entry := range change.Upserted {
		if seen[entry.Name] {
			return true
		}
		seen[entry.Name] = true
	}
	return false
}

// ApplyChanges validates only the entries that a change touches. It must accept and reject the same changes as a
// validation of the whole resulting document does. A rejected change must not modify the state.
func TestChangeValidationMatchesDocumentValidation(t *testing.T) {
	for seed := range uint64(40) {
		generator := changeGenerator{rand.New(rand.NewPCG(seed, 1))}
		replica := New(State{Version{Term: 1, Number: 1}, generator.document()}, false)
		applied, rejected := 0, 0
		for range 200 {
			before := replica.State()
			change := generator.change(before.Version)
			next := change.apply(before.Document)
			entries := append([]endpoint.Entry{}, next.Endpoints...) // validate sorts in place
			want, wantErr := Document{Discovery: next.Discovery, Endpoints: entries}.validate()
			if upsertsTwice(change) {
				wantErr = errors.New("an entry is upserted twice")
			}
			changed, err := replica.ApplyChanges([]Change{change})
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("seed %d: change %+v: ApplyChanges returned %v, validating the whole document %v",
					seed, change, err, wantErr)
			}
			if err != nil {
				rejected++
				if !reflect.DeepEqual(replica.State(), before) {
					t.Fatal("a rejected change has modified the state")
				}
				continue
			}
			applied++
			if !changed || !reflect.DeepEqual(replica.State().Document, want) {
				t.Fatalf("seed %d: change %+v leads to\n%v, want\n%v", seed, change, replica.State().Document, want)
			}
		}
		if applied < 20 || rejected < 20 {
			t.Errorf("seed %d: %d changes applied, %d rejected, want at least 20 of each", seed, applied, rejected)
		}
	}
}

// Applying a change copies the list once and otherwise allocates memory only for the entries that it touches. The
// number of allocations must not grow with the length of the list.
func TestChangeCostDoesNotGrowWithList(t *testing.T) {
	allocations := func(length int) float64 {
		document := longDocument(length)
		replica := New(State{Version{Term: 1, Number: 1}, document}, false)
		weight := 0.0
		return testing.AllocsPerRun(20, func() {
			weight++
			entry, from := document.Endpoints[length/2], replica.State().Version
			entry.Weight = weight
			to := Version{Term: 1, Number: from.Number + 1}
			change := Change{From: from, To: to, Upserted: []endpoint.Entry{entry}}
			if _, err := replica.ApplyChanges([]Change{change}); err != nil {
				t.Fatal(err)
			}
		})
	}
	if short, long := allocations(600), allocations(20_000); long > 1.5*short {
		t.Errorf("a change takes %.0f allocations with 600 entries and %.0f with 20000", short, long)
	}
}
