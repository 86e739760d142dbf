package main

import (
	"errors"
	"fmt"
	"os"

	"lentillink.example/lentillink/experiment"
)

// matrixName is the argument of experiment that runs the fault matrix.
const matrixName = "matrix"

// matrixFlags are the flags of experiment that only the matrix has.
type matrixFlags struct {
	Cell  string `long:"cell" description:"matrix only: run one cell, as FAULT/STEP, or several at once joined by +"`
	Pairs int    `long:"pairs" default:"40" description:"matrix only: random pairs of cells to run after the grid"`
}

// runMatrix prints the grid of faults and steps. It fails if an invariant is
// violated or a cell did not run as intended.
func (c *experimentCommand) runMatrix() error {
	report, err := c.matrix()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if c.JSON {
		err = printJSON(report)
	} else {
		err = report.Write(os.Stdout)
	}
	if err != nil {
		return err
	}
	if !report.OK() {
		return errors.New("the matrix has failed cells")
	}
	return nil
}

func (c *experimentCommand) matrix() (experiment.MatrixReport, error) {
	fmt.Fprintf(os.Stderr, "running the fault matrix with seed %d\n", c.Seed)
	if c.Cell == "" {
		return experiment.Matrix(c.Seed, c.Pairs), nil
	}
	result, err := experiment.RunCell(c.Seed, c.Cell, experiment.CellOptions{})
	return experiment.MatrixReport{Seed: c.Seed, Cells: []experiment.CellResult{result}}, err
}
