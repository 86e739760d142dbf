package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
)

// MatrixReport holds the results of the cells of the fault matrix.
type MatrixReport struct {
	Seed  uint64
	Cells []CellResult // single faults in the order of the grid, then the random pairs
}

// MatrixCells returns the names of all single cells in the form fault/step.
func MatrixCells() []string {
	var names []string
	for _, f := range faults() {
		for _, s := range steps() {
			names = append(names, f.name+"/"+s.name)
		}
	}
	return names
}

// MatrixPairs returns n pairs of cells, drawn at random from the seed.
func MatrixPairs(seed uint64, n int) []string {
	rng := rand.New(rand.NewPCG(seed, 401))
	cells := MatrixCells()
	var names []string
	for len(names) < n {
		names = append(names, cells[rng.IntN(len(cells))]+"+"+cells[rng.IntN(len(cells))])
	}
	return names
}

// Matrix runs every cell of the fault matrix and the given number of random pairs.
func Matrix(seed uint64, pairs int) MatrixReport {
	names := append(MatrixCells(), MatrixPairs(seed, pairs)...)
	return MatrixReport{Seed: seed, Cells: RunCells(seed, names)}
}

// RunCells runs cells in parallel, each in its own Tier, and returns the results
// in the order of names.
func RunCells(seed uint64, names []string) []CellResult {
	results := make([]CellResult, len(names))
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				r, err := RunCell(seed, names[i], CellOptions{})
				if err != nil {
					r = CellResult{Cell: names[i], Problem: err.Error()}
				}
				results[i] = r
			}
		})
	}
	for i := range names {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// OK reports whether every cell is valid and has no violations.
func (r *MatrixReport) OK() bool {
	return !slices.ContainsFunc(r.Cells, func(c CellResult) bool { return !c.OK() })
}

// verdict returns the text of a cell in the grid.
func (r *CellResult) verdict() string {
	switch {
	case r.Impossible != "":
		return "impossible: " + r.Impossible
	case len(r.Violations) > 0:
		return strings.Join(r.ViolatedInvariants(), ",")
	case r.Masked != "":
		return "ok, masked by the other fault: " + r.Masked
	case r.Problem != "":
		return "NOT RUN: " + r.Problem
	}
	return "ok"
}

// Write prints the grid with one row per fault, then the pairs and the details of failures.
func (r *MatrixReport) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	columns := steps()
	_, _ = fmt.Fprint(tw, "fault")
	for _, s := range columns {
		_, _ = fmt.Fprint(tw, "\t", s.name)
	}
	single := 0
	for i := range r.Cells {
		c := &r.Cells[i]
		if strings.Contains(c.Cell, "+") {
			continue
		}
		if single%len(columns) == 0 {
			fault, _, _ := strings.Cut(c.Cell, "/")
			_, _ = fmt.Fprint(tw, "\n", fault)
		}
		single++
		_, _ = fmt.Fprint(tw, "\t", c.verdict())
	}
	_, _ = fmt.Fprintln(tw)
	if err := tw.Flush(); err != nil {
		return err
	}
	return r.writeDetails(w)
}

func (r *MatrixReport) writeDetails(w io.Writer) error {
	var text strings.Builder
	failed := 0
	for i := range r.Cells {
		c := &r.Cells[i]
		if strings.Contains(c.Cell, "+") {
			_, _ = fmt.Fprintf(&text, "pair %s: %s\n", c.Cell, c.verdict())
		}
		if len(r.Cells) == 1 {
			_, _ = fmt.Fprintf(&text, "answers: %v\n", c.Answers)
		}
		if len(r.Cells) == 1 && c.OK() {
			c.writeTrace(&text)
		}
		if !c.OK() {
			failed++
			_, _ = fmt.Fprintf(&text, "FAILED seed %d: rerun with --seed %d --cell %s\n", r.Seed, r.Seed, c.Cell)
			c.writeTrace(&text)
		}
	}
	_, _ = fmt.Fprintf(&text, "%d cells, %d failed, seed %d\n", len(r.Cells), failed, r.Seed)
	_, err := io.WriteString(w, text.String())
	return err
}

// maxDetails bounds the number of violations printed per cell.
const maxDetails = 5

func (r *CellResult) writeTrace(text *strings.Builder) {
	if r.Problem != "" {
		_, _ = fmt.Fprintf(text, "  %s\n", r.Problem)
	}
	for _, line := range r.Trace {
		_, _ = fmt.Fprintf(text, "  %s\n", line)
	}
	for _, v := range r.Violations[:min(len(r.Violations), maxDetails)] {
		_, _ = fmt.Fprintf(text, "  %s: %s\n", v.Invariant, v.Detail)
	}
}
