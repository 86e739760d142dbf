package experiment_test

import (
	"os"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestStall guards against queries that wait for a paused carrier until their
// deadline, because membership takes seconds to suspect it.
func TestStall(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		report := experiment.Stall(seed)
		if !report.OK() {
			_ = report.Write(os.Stderr)
			t.Errorf("seed %d: got a figure outside its bound, want none", seed)
		}
	}
}
