package vm_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/vm"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return out
}

// TestCarrierTableIncremental guards against incremental updates that diverge
// from a full calculation, which would give an upstream more than two carriers.
func TestCarrierTableIncremental(t *testing.T) {
	upstreams := names("plots/g/", 40)
	rapid.Check(t, func(t *rapid.T) {
		table := vm.NewCarrierTable(upstreams)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			members := rapid.SliceOfN(rapid.SampledFrom(names("vm-", 12)), 0, 12).Draw(t, "members")
			table.SetMembers(members)
			fresh := vm.NewCarrierTable(upstreams)
			fresh.SetMembers(members)
			for _, u := range upstreams {
				for i := range 2 {
					if got, want := table.Carrier(u, i), fresh.Carrier(u, i); got != want {
						t.Fatalf("Carrier(%s, %d) = %q, want %q", u, i, got, want)
					}
				}
			}
		}
	})
}

// TestCarrierTableMovesFewUpstreams guards against a membership change that
// moves most connections to other VMs.
func TestCarrierTableMovesFewUpstreams(t *testing.T) {
	upstreams := names("plots/g/", 1000)
	table := vm.NewCarrierTable(upstreams)
	table.SetMembers(names("vm-", 9))
	got := len(table.SetMembers(names("vm-", 8)))
	// Each of nine VMs is a carrier of 2/9 of the upstreams; a third is accepted.
	if want := 333; got > want {
		t.Errorf("upstreams changed by one VM leaving = %d, want at most %d", got, want)
	}
}
