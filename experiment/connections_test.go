package experiment_test

import (
	"strings"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestConnections guards against carriers that together open more connections than
// an upstream accepts while the VMs have different views of the members.
func TestConnections(t *testing.T) {
	t.Parallel()
	report := experiment.Connections(1)
	var out strings.Builder
	if err := report.Write(&out); err != nil {
		t.Fatal(err)
	}
	t.Log(out.String())
	if !report.OK() {
		t.Error("got a figure outside its bound, want none")
	}
}
