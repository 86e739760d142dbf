package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"lentillink.example/lentillink/demo/bench"
)

type benchCommand struct {
	jsonFlag
	Shards      int    `long:"shards" default:"40" description:"groups that each query is sent to"`
	Connections int    `long:"connections" default:"8" description:"concurrent callers; each sends its next query after an answer"`
	Seconds     int    `long:"seconds" default:"6" description:"how long to measure each variant"`
	Plot        string `long:"plot" value-name:"FILE" description:"also plot the latencies to a .png or .svg file"`
	CPUProfile  string `long:"cpuprofile" value-name:"FILE" description:"write a CPU profile of the whole process"`
}

// Execute measures one VM with hedging off and on.
func (c *benchCommand) Execute([]string) (err error) {
	if err := c.validate(); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.CPUProfile != "" {
		f, err := os.Create(c.CPUProfile)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	res, err := bench.Run(ctx, bench.Options{
		Shards: c.Shards, Concurrency: c.Connections, Duration: time.Duration(c.Seconds) * time.Second,
	})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := c.writePlot(&res); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(res)
	}
	return printTable(os.Stdout, func(tw *tabwriter.Writer) { benchTable(tw, res) })
}

func (c *benchCommand) validate() error {
	switch {
	case c.Shards < 1 || c.Shards > 500:
		return fmt.Errorf("--shards: is %d, must be 1 to 500", c.Shards)
	case c.Connections < 1 || c.Connections > 256:
		return fmt.Errorf("--connections: is %d, must be 1 to 256", c.Connections)
	case c.Seconds < 1:
		return fmt.Errorf("--seconds: is %d, must be at least 1", c.Seconds)
	case c.Plot != "" && c.plotFormat() != "png" && c.plotFormat() != "svg":
		return fmt.Errorf("--plot: %q must end in .png or .svg", c.Plot)
	}
	return nil
}

func (c *benchCommand) plotFormat() string { return strings.TrimPrefix(filepath.Ext(c.Plot), ".") }

func (c *benchCommand) writePlot(res *bench.Result) (err error) {
	f, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return res.WritePlot(f, c.plotFormat())
}

func benchTable(tw *tabwriter.Writer, res bench.Result) {
	_, _ = fmt.Fprintln(tw, "VARIANT\tQUERIES/S\tP50 MS\tP99 MS\tEXTRA ATTEMPTS %\tALLOCS/QUERY\tINCOMPLETE")
	for _, v := range []bench.Variant{res.HedgingOff, res.HedgingOn} {
		_, _ = fmt.Fprintf(tw, "%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%d of %d\n", v.Name, v.QueriesPerSecond, v.P50Ms, v.P99Ms,
			v.ExtraAttemptsPercent, v.AllocsPerQuery, v.Incomplete, v.Queries)
	}
	_, _ = fmt.Fprintf(tw, "on / off\t%.2f\t%.2f\t%.2f\n", res.HedgingOn.QueriesPerSecond/res.HedgingOff.QueriesPerSecond, res.P50Ratio, res.P99Ratio)
}
