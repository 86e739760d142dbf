package bench

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"lentillink.example/lentillink/demo"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/standin"
)

const (
	// rounds is how often the variants alternate, so that a change of the
	// machine's load affects both.
	rounds = 3
	// maxLatencyUs, in microseconds, and latencyDigits bound the histograms.
	maxLatencyUs    = 60_000_000
	latencyDigits   = 3
	switchTimeoutMs = 4000
)

// Variant is the result of the measurement with hedging off or on.
type Variant struct {
	Name             string  `json:"name"`
	Queries          int64   `json:"queries"`
	Incomplete       int64   `json:"incomplete"` // answers that are not complete
	QueriesPerSecond float64 `json:"queries_per_second"`
	P50Ms            float64 `json:"p50_ms"`
	P99Ms            float64 `json:"p99_ms"`
	// AllocsPerQuery counts the whole process: callers, VM and upstreams.
	AllocsPerQuery float64 `json:"allocs_per_query"`
	// ExtraAttemptsPercent is relative to the attempts that the queries needed.
	ExtraAttemptsPercent float64 `json:"extra_attempts_percent"`

	latency                      *hdrhistogram.Histogram // microseconds
	elapsed                      time.Duration
	allocs                       uint64
	attemptsSent, attemptsNeeded int
}

// Result compares the variants.
type Result struct {
	HedgingOff Variant `json:"hedging_off"`
	HedgingOn  Variant `json:"hedging_on"`
	P50Ratio   float64 `json:"p50_ratio"` // on divided by off
	P99Ratio   float64 `json:"p99_ratio"`
}

// Run starts the VM and its upstreams, and measures both variants.
func Run(ctx context.Context, o Options) (res Result, err error) {
	cfg, err := o.settings()
	if err != nil {
		return res, err
	}
	f, err := demo.StartFromConfig(ctx, demo.FleetConfig{
		Settings: cfg, VMs: 1, Logger: log.NewNopLogger(),
		StandinOptions: []standin.DeploymentOption{standin.WithUpstreamOptions(standin.WithSlowShare(slowRatio, slowFactor))},
		EntryOptions:   []entry.Option{entry.WithInitialRecord(presetRecord())},
	})
	if err != nil {
		return res, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	res.HedgingOff, res.HedgingOn = newVariant(hedgingOff), newVariant(hedgingOn)
	r := &runner{fleet: f, options: o}
	warmup := newVariant(hedgingOff)
	if err := r.measure(ctx, &warmup, time.Second); err != nil { // opens connections
		return res, err
	}
	for range rounds {
		for _, v := range []*Variant{&res.HedgingOff, &res.HedgingOn} {
			if err := r.runRound(ctx, v); err != nil {
				return res, err
			}
		}
	}
	res.HedgingOff.finish()
	res.HedgingOn.finish()
	res.P50Ratio, res.P99Ratio = res.HedgingOn.P50Ms/res.HedgingOff.P50Ms, res.HedgingOn.P99Ms/res.HedgingOff.P99Ms
	return res, nil
}

func newVariant(name string) Variant {
	return Variant{Name: name, latency: hdrhistogram.New(1, maxLatencyUs, latencyDigits)}
}

func (v *Variant) finish() {
	n := float64(max(v.Queries, 1))
	v.QueriesPerSecond = float64(v.Queries) / v.elapsed.Seconds()
	v.P50Ms = float64(v.latency.ValueAtQuantile(50)) / 1000
	v.P99Ms = float64(v.latency.ValueAtQuantile(99)) / 1000
	v.AllocsPerQuery = float64(v.allocs) / n
	v.ExtraAttemptsPercent = 100 * float64(v.attemptsSent-v.attemptsNeeded) / float64(max(v.attemptsNeeded, 1))
}

// runner is the state of one measurement.
type runner struct {
	fleet      *demo.Fleet
	options    Options
	numChanges int
}

func (r *runner) runRound(ctx context.Context, v *Variant) error {
	r.numChanges++
	doc, err := r.fleet.Caller(0).Change(preset.Change{
		ID: fmt.Sprintf("bench-%d", r.numChanges), Author: "bench", Reason: "next variant", SwitchTo: v.Name,
	})
	if err != nil {
		return err
	}
	if doc.Accepted != preset.Accepted {
		return fmt.Errorf("switch to preset %s was not accepted: %s", v.Name, doc.Error)
	}
	if _, err := demo.AwaitRevision(r.fleet, doc.Revision, switchTimeoutMs); err != nil {
		return err
	}
	return r.measure(ctx, v, r.options.Duration/rounds)
}

// measure sends queries for the duration d and adds the results to v.
func (r *runner) measure(ctx context.Context, v *Variant, d time.Duration) error {
	sent, needed, err := r.attempts()
	if err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	start := time.Now()
	results := make(chan workerResult, r.options.Concurrency)
	var wg sync.WaitGroup
	for i := range r.options.Concurrency {
		wg.Go(func() { results <- r.runQueries(ctx, i) })
	}
	wg.Wait()
	v.elapsed += time.Since(start)
	runtime.ReadMemStats(&after)
	v.allocs += after.Mallocs - before.Mallocs
	close(results)
	for w := range results {
		v.latency.Merge(w.latency)
		v.Queries += w.latency.TotalCount()
		v.Incomplete += w.incomplete
		err = errors.Join(err, w.err)
	}
	sentAfter, neededAfter, statusErr := r.attempts()
	v.attemptsSent, v.attemptsNeeded = v.attemptsSent+sentAfter-sent, v.attemptsNeeded+neededAfter-needed
	return errors.Join(err, statusErr)
}

// attempts returns the VM's totals of attempts sent and needed.
func (r *runner) attempts() (sent, needed int, err error) {
	s, err := r.fleet.Caller(0).Status()
	for _, t := range s.Totals {
		sent, needed = sent+t.AttemptsSent, needed+t.AttemptsNeeded
	}
	return sent, needed, err
}
