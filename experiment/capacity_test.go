package experiment_test

import (
	"strings"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestCapacity guards against a carrier table or store writes that exceed the
// bounds at the two-year size, and against a report without extrapolated figures.
func TestCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector changes the measured memory")
	}
	report := experiment.Capacity(1, nil)
	if !report.OK() {
		t.Error("got a figure outside its bound, want none")
	}
	computed := 0
	for _, f := range report.Figures {
		if strings.HasPrefix(f.Name, "two years: ") {
			computed++
		}
		if strings.Contains(f.Name, " time, ") {
			t.Errorf("figure %q: got a time, want none without a clock", f.Name)
		}
	}
	if computed == 0 {
		t.Error("got no extrapolated figure")
	}
}
