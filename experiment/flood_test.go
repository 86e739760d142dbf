package experiment_test

import (
	"reflect"
	"strings"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestFloods guards the figures of section 1.8 for floods against whole cores,
// and that a seed repeats its figures.
func TestFloods(t *testing.T) {
	tests := []struct {
		name string
		run  func(seed uint64) experiment.Report
	}{
		{"flood-patient", experiment.FloodPatient},
		{"flood-urgent", experiment.FloodUrgent},
		{"fanout", experiment.Fanout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			last := uint64(3)
			if testing.Short() {
				last = 1 // the race detector makes a run several times longer
			}
			for seed := uint64(1); seed <= last; seed++ {
				r := tt.run(seed)
				var out strings.Builder
				if err := r.Write(&out); err != nil {
					t.Fatal(err)
				}
				t.Log(out.String())
				if !r.OK() {
					t.Errorf("seed %d misses a bound", seed)
				}
				if seed == 1 && !testing.Short() && !reflect.DeepEqual(r, tt.run(seed)) {
					t.Error("two runs with one seed differ")
				}
			}
		})
	}
}
