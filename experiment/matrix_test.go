package experiment_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"lentillink.example/lentillink/experiment"
)

// TestMatrixHolds guards against a fault, at any step of the work, that violates an
// invariant of section 1.1 of the design page, and against invalid cells, in which
// the step or the fault did not occur.
func TestMatrixHolds(t *testing.T) {
	t.Parallel()
	const seed = 1
	names := append(experiment.MatrixCells(), experiment.MatrixPairs(seed, 40)...)
	if testing.Short() {
		rng := rand.New(rand.NewPCG(seed, 1))
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:40]
	}
	for _, r := range experiment.RunCells(seed, names) {
		if !r.OK() {
			t.Errorf("seed %d cell %s: %v %s\n%s", seed, r.Cell, r.ViolatedInvariants(), r.Problem, strings.Join(r.Trace, "\n"))
			for _, v := range r.Violations[:min(len(r.Violations), 3)] {
				t.Logf("%s: %s", v.Invariant, v.Detail)
			}
		}
	}
}

// TestMatrixRepeats guards against a failure that cannot be reproduced from its seed and cell.
func TestMatrixRepeats(t *testing.T) {
	names := []string{"vm-killed/order-attempt-sent", "reply-crossed/query-sent", "link-cut-both-ways/owner-change+store-down/preset-write"}
	render := func() string {
		var out bytes.Buffer
		for _, name := range names {
			report := experiment.MatrixReport{Seed: 3, Cells: experiment.RunCells(3, []string{name})}
			if err := report.Write(&out); err != nil {
				t.Fatal(err)
			}
		}
		return out.String()
	}
	first, second := render(), render()
	if first != second {
		t.Errorf("got\n%s\nwant\n%s", second, first)
	}
}

// TestMatrixGridHasEveryCell guards against a grid that omits a fault, a step or a cell.
func TestMatrixGridHasEveryCell(t *testing.T) {
	names := experiment.MatrixCells()
	seen := make(map[string]bool)
	faults, steps := make(map[string]bool), make(map[string]bool)
	for _, name := range names {
		fault, step, _ := strings.Cut(name, "/")
		seen[name], faults[fault], steps[step] = true, true, true
	}
	if got, want := len(seen), len(faults)*len(steps); got != want || got != len(names) {
		t.Errorf("got %d cells of %d names, want %d", got, len(names), want)
	}
}

// TestRunCellRefusesUnknownNames guards against a misspelt cell that runs nothing and passes.
func TestRunCellRefusesUnknownNames(t *testing.T) {
	for _, name := range []string{"", "straggler", "straggler/nowhere", "nothing/query-sent", "straggler/query-sent+x"} {
		if _, err := experiment.RunCell(1, name, experiment.CellOptions{}); err == nil {
			t.Errorf("cell %q: got no error, want one", name)
		}
	}
}

// TestMatrixRegressions guards against earlier failures of the matrix, each at its seed and cell.
func TestMatrixRegressions(t *testing.T) {
	tests := map[string]struct {
		seed uint64
		cell string
	}{
		"order unknown though no carrier accepted it": {2, "vm-stopped/claim-write"},
		"replaced VM sends to a leaving upstream":     {5, "store-answer-lost/query-replies-in+upstream-leaving/carrier-change"},
		"planned stop with more queries than it runs": {4, "vm-stopped/query-queued"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := experiment.RunCell(tt.seed, tt.cell, experiment.CellOptions{})
			if err != nil || !got.OK() {
				t.Errorf("seed %d cell %s: %v %v %s", tt.seed, tt.cell, err, got.Violations, got.Problem)
			}
		})
	}
}
