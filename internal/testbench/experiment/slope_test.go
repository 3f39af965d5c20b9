package experiment

import (
	"bytes"
	"strings"
	"testing"
)

// A list of some length is in force and what it cost was read: the process read at least the list's own bytes, and its changes.
func TestListSlopes(t *testing.T) {
	t.Parallel()
	all, err := ListSlopes(t.Context(), program(t), []int{400}, 1.5, 4, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		const entry = 0.1 // KB, less than any entry of the stand-in's has
		if s.InForce <= 0 || s.StartKB < float64(s.Servers)*entry || s.StartCPU <= 0 || s.Rest <= 0 || s.RSS <= 1 || s.Peak < s.RSS {
			t.Errorf("%+v", s)
		}
		if s.ChangeKB <= s.RestKB {
			t.Errorf("changes brought %v KB/s, none %v", s.ChangeKB, s.RestKB)
		}
	}
	var table bytes.Buffer
	if err := ListSlopeTable(&table, all); err != nil || strings.Count(table.String(), "\n") != 2 {
		t.Error(table.String(), err)
	}
}

// Every line that was written arrives, and its time is taken from when it was due.
func TestDeliveries(t *testing.T) {
	t.Parallel()
	all, err := Deliveries(t.Context(), program(t), 20, []float64{200}, 1, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	idle, busy := all[0], all[1]
	if idle.Rate != 0 || idle.Lost != 0 || busy.Rate < 100 || busy.Rate > 200 || busy.Lost != 0 {
		t.Errorf("%+v", all)
	}
	if busy.P50 <= 0 || busy.P99 < busy.P50 || busy.CPU <= 0 || busy.RSS <= 1 {
		t.Errorf("%+v", busy)
	}
	var table bytes.Buffer
	if err := DeliveryTable(&table, all); err != nil || strings.Count(table.String(), "\n") != 3 {
		t.Error(table.String(), err)
	}
}
