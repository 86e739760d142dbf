package experiment_test

import (
	"os"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestOrders guards against an order that is executed twice and against a false
// answer, over several histories of faults.
func TestOrders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		report := experiment.Orders(seed, 5000)
		if !report.OK() {
			_ = report.Write(os.Stderr)
			t.Errorf("seed %d: got a figure outside its bound, want none", seed)
		}
	}
}

// TestOrdersFull guards the same invariants at the size that the design page requires.
func TestOrdersFull(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("too slow under the race detector")
	}
	report := experiment.Orders(1, 100000)
	_ = report.Write(os.Stderr)
	if !report.OK() {
		t.Error("got a figure outside its bound, want none")
	}
}
