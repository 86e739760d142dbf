package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/fleet"
)

// TestPlacement guards against VMs that disagree on a choice, and against
// choices that move although their member stayed.
func TestPlacement(t *testing.T) {
	f := joined(t, 7)
	gone := f.Nodes[8]
	before := make(map[string][]string)
	count := make(map[string]int)
	for i := range 900 {
		key := fmt.Sprintf("search/group-%d/a", i)
		before[key] = f.Nodes[0].Model.Carriers(key, 2)
		if got := f.Nodes[5].Model.Carriers(key, 2); !slices.Equal(got, before[key]) || got[0] == got[1] {
			t.Fatalf("carriers of %s: %v and %v", key, before[key], got)
		}
		if got := f.Nodes[3].Model.Owner(key); got != before[key][0] {
			t.Fatalf("owner of %s is %s, want the first carrier %s", key, got, before[key][0])
		}
		count[before[key][0]]++
	}
	for id, n := range count {
		if n < 60 || n > 150 {
			t.Errorf("%s owns %d of 900 keys, want about 100", id, n)
		}
	}
	f.Deliver(gone, fleet.StopMsg{})
	f.RunFor(3 * clock.Second)
	for key, old := range before {
		got := f.Nodes[0].Model.Carriers(key, 2)
		if slices.Contains(got, gone.VM.ID) {
			t.Errorf("%s is carried by a VM that left", key)
		}
		if !slices.Contains(old, gone.VM.ID) && !slices.Equal(got, old) {
			t.Errorf("carriers of %s moved from %v to %v", key, old, got)
		}
	}
}

// TestWatchers guards against watchers that share a data centre or differ between VMs.
func TestWatchers(t *testing.T) {
	f := experiment.NewFleet(8, 27)
	f.StartAll(clock.Second)
	f.RunFor(40 * clock.Second)
	want := f.Nodes[0].Model.Watchers()
	centres := make(map[string]bool)
	for _, id := range want {
		centres[f.ByID[id].VM.DataCentre] = true
	}
	if len(want) != 3 || len(centres) != 3 {
		t.Errorf("watchers %v in %d data centres, want 3 in 3", want, len(centres))
	}
	for _, n := range f.Nodes {
		if got := n.Model.Watchers(); !slices.Equal(got, want) {
			t.Errorf("%s has watchers %v, want %v", n.VM.ID, got, want)
		}
	}
}

// TestModelIsDeterministic guards against a history that depends on map order.
func TestModelIsDeterministic(t *testing.T) {
	run := func() [2]int {
		f := joined(t, 9)
		f.LossPercent = 20
		f.RunFor(clock.Minute)
		var sum [2]int
		for _, n := range f.Nodes {
			sum[0] += n.Sent
			sum[1] += n.SentBytes
		}
		return sum
	}
	if a, b := run(), run(); a != b {
		t.Errorf("the same seed sent %v and %v", a, b)
	}
}
