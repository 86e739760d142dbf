package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"lentillink.example/lentillink/experiment"
)

type experimentCommand struct {
	jsonFlag
	matrixFlags
	Seed uint64 `long:"seed" default:"1" description:"seed; the same seed gives the same figures"`
	Args struct {
		Name string `positional-arg-name:"NAME" description:"experiment, or list for all names"`
	} `positional-args:"true" required:"true"`
}

// Execute runs one experiment. It exits with 1 if a figure misses its bound.
func (c *experimentCommand) Execute([]string) error {
	if c.Args.Name == "list" {
		return listExperiments()
	}
	if c.Args.Name == matrixName {
		return c.runMatrix()
	}
	e, ok := experiment.Find(c.Args.Name)
	if !ok {
		return &exitError{code: exitUsage, err: fmt.Errorf("NAME: %q is not one of %s", c.Args.Name, strings.Join(experimentNames(), ", "))}
	}
	fmt.Fprintf(os.Stderr, "running %s with seed %d\n", e.Name, c.Seed)
	report := e.Run(c.Seed)
	if err := c.print(&report); err != nil {
		return err
	}
	if !report.OK() {
		return errors.New("a figure misses its bound")
	}
	return nil
}

func (c *experimentCommand) print(r *experiment.Report) error {
	if c.JSON {
		return printJSON(r)
	}
	return r.Write(os.Stdout)
}

func experimentNames() []string {
	var names []string
	for _, e := range experiment.All() {
		names = append(names, e.Name)
	}
	return append(names, matrixName)
}

func listExperiments() error {
	return printTable(os.Stdout, func(tw *tabwriter.Writer) {
		for _, e := range experiment.All() {
			_, _ = fmt.Fprintf(tw, "%s\t%s\n", e.Name, e.Short)
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", matrixName, "every fault at every step, checked for every invariant")
	})
}
