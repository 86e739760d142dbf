package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/vm"
)

// carriersOf returns the two carriers of each upstream as VM n computes them from
// its live members.
func carriersOf(n *experiment.FleetVM, upstreams []string) [][]string {
	var live []string
	for _, v := range n.Model.Live() {
		live = append(live, v.ID)
	}
	table := vm.NewCarrierTable(upstreams)
	table.SetMembers(live)
	out := make([][]string, len(upstreams))
	for i, u := range upstreams {
		out[i] = []string{table.Carrier(u, 0), table.Carrier(u, 1)}
	}
	return out
}

// TestCarrierPlacement guards against VMs that compute different carriers, against an
// unequal share of upstreams per VM, and against carriers that change when an unrelated VM leaves.
func TestCarrierPlacement(t *testing.T) {
	f := joinedFleet(t, 7)
	leaver := f.VMs[8]
	var upstreams []string
	for i := range 900 {
		upstreams = append(upstreams, fmt.Sprintf("search/group-%d/a", i))
	}
	before := carriersOf(f.VMs[0], upstreams)
	other := carriersOf(f.VMs[5], upstreams)
	count := make(map[string]int)
	for i, u := range upstreams {
		if got := other[i]; !slices.Equal(got, before[i]) || got[0] == got[1] {
			t.Fatalf("carriers of %s: got %v at one VM and %v at another, want the same two distinct VMs", u, before[i], got)
		}
		count[before[i][0]]++
	}
	for id, n := range count {
		if n < 60 || n > 150 {
			t.Errorf("%s is first carrier of %d of 900 upstreams, want about 100", id, n)
		}
	}
	f.Deliver(leaver, fleet.StopMsg{})
	f.RunFor(3 * clock.Second)
	after := carriersOf(f.VMs[0], upstreams)
	for i, u := range upstreams {
		if slices.Contains(after[i], leaver.VM.ID) {
			t.Errorf("%s still has a carrier that left", u)
		}
		if !slices.Contains(before[i], leaver.VM.ID) && !slices.Equal(after[i], before[i]) {
			t.Errorf("carriers of %s changed from %v to %v, although only an unrelated VM left", u, before[i], after[i])
		}
	}
}

// TestWatchers guards against watchers in the same data centre, and against VMs that
// compute different watchers.
func TestWatchers(t *testing.T) {
	f := experiment.NewFleet(8, 27)
	f.StartAll(clock.Second)
	f.RunFor(40 * clock.Second)
	want := f.VMs[0].Model.Watchers()
	centres := make(map[string]bool)
	for _, id := range want {
		centres[f.ByID[id].VM.DataCentre] = true
	}
	if len(want) != 3 || len(centres) != 3 {
		t.Errorf("watchers %v in %d data centres, want 3 in 3", want, len(centres))
	}
	for _, n := range f.VMs {
		if got := n.Model.Watchers(); !slices.Equal(got, want) {
			t.Errorf("%s has watchers %v, want %v", n.VM.ID, got, want)
		}
	}
}

// TestModelIsDeterministic guards against runs with the same seed that differ because
// the model depends on map iteration order.
func TestModelIsDeterministic(t *testing.T) {
	run := func() [2]int {
		f := joinedFleet(t, 9)
		f.LossPercent = 20
		f.RunFor(clock.Minute)
		var traffic [2]int
		for _, n := range f.VMs {
			traffic[0] += n.SentMessages
			traffic[1] += n.SentBytes
		}
		return traffic
	}
	if a, b := run(), run(); a != b {
		t.Errorf("got %v and %v messages and bytes in two runs with the same seed, want equal", a, b)
	}
}
