package experiment_test

import (
	"reflect"
	"strings"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestQueryExperiments guards the bounds of section 1.8 of the design page for the
// query model, and that a seed repeats its figures.
func TestQueryExperiments(t *testing.T) {
	tests := []struct {
		name string
		run  func(seed uint64) experiment.Report
	}{
		{"straggler", experiment.Straggler},
		{"replica-loss", experiment.ReplicaLoss},
		{"rollover", experiment.Rollover},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			last := uint64(3)
			if testing.Short() {
				last = 1 // the race detector makes a run several times slower
			}
			for seed := uint64(1); seed <= last; seed++ {
				r := tt.run(seed)
				var out strings.Builder
				if err := r.Write(&out); err != nil {
					t.Fatal(err)
				}
				t.Log(out.String())
				if !r.OK() {
					t.Errorf("seed %d: got a figure outside its bound, want none", seed)
				}
				if seed == 1 && !testing.Short() && !reflect.DeepEqual(r, tt.run(seed)) {
					t.Error("got different reports from two runs with the same seed, want equal ones")
				}
			}
		})
	}
}
