package experiment_test

import (
	"testing"

	"lentillink.example/lentillink/experiment"
)

func checkBounds(t *testing.T, r experiment.Report) {
	t.Helper()
	for _, f := range r.Figures {
		if !f.OK {
			t.Errorf("%s (seed %d): %s is %g %s, want %s", r.Name, r.Seed, f.Name, f.Value, f.Unit, f.Bound)
		}
	}
}

// TestPresets guards against a reverted preset, two accepted changes of one race
// and a false result for an operator, in at least 1,000 random histories.
func TestPresets(t *testing.T) {
	t.Parallel()
	histories := 1000
	if testing.Short() {
		histories = 60
	}
	r := experiment.Presets(1, histories)
	checkBounds(t, r)
	for _, f := range r.Figures {
		if f.Name == "accepted changes lost" && f.Baseline == 0 {
			t.Error("got no lost change in the baseline with unconditional writes, want some: the check would never fail")
		}
	}
}

// TestSpread guards against preset changes and leaving reports that reach a VM too late.
func TestSpread(t *testing.T) {
	t.Parallel()
	checkBounds(t, experiment.Spread(1, fleetSizes()...))
}

// TestControl guards against control traffic, memory and store calls that exceed their bounds as the fleet grows.
func TestControl(t *testing.T) { checkBounds(t, experiment.Control(1, nil, fleetSizes()...)) }

// TestFailures guards against a reverted or late preset change while regions are split.
func TestFailures(t *testing.T) { checkBounds(t, experiment.Failures(1, 100)) }

// fleetSizes omits 1,600 VMs, which only the command line runs: that size takes a minute of processor time.
func fleetSizes() []int {
	if testing.Short() {
		return []int{9}
	}
	return []int{9, 100, 400}
}
