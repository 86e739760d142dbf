package experiment_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestFloods guards the bounds of section 1.8 of the design page while complete
// cores are flooded with queries, and that a seed repeats its figures.
func TestFloods(t *testing.T) {
	tests := []struct {
		name string
		run  func(seed uint64) experiment.Report
	}{
		{"flood-patient", experiment.FloodPatient},
		{"flood-urgent", experiment.FloodUrgent},
		{"fanout", experiment.Fanout},
	}
	last := uint64(3)
	if testing.Short() {
		last = 1 // the race detector makes a run several times slower
	}
	for _, tt := range tests {
		for seed := uint64(1); seed <= last; seed++ {
			t.Run(fmt.Sprintf("%s/seed-%d", tt.name, seed), func(t *testing.T) {
				t.Parallel()
				repeated := make(chan experiment.Report, 1)
				repeats := seed == 1 && !testing.Short()
				if repeats {
					go func() { repeated <- tt.run(seed) }()
				}
				r := tt.run(seed)
				logAndCheckBounds(t, r)
				if repeats && !reflect.DeepEqual(r, <-repeated) {
					t.Error("got different reports from two runs with the same seed, want equal ones")
				}
			})
		}
	}
}

func logAndCheckBounds(t *testing.T, r experiment.Report) {
	t.Helper()
	var out strings.Builder
	if err := r.Write(&out); err != nil {
		t.Fatal(err)
	}
	t.Log(out.String())
	if !r.OK() {
		t.Errorf("seed %d: got a figure outside its bound, want none", r.Seed)
	}
}
