package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/upstream"
)

// Options configure a demo.
type Options struct {
	Deployment string
	VMs        int
	Duration   time.Duration
	Out        io.Writer
	Logger     log.Logger
}

// ErrViolated means that an invariant was violated or a request failed.
var ErrViolated = errors.New("an invariant was violated")

// stragglerFactor is the slowdown of one upstream, from a third of the demo's
// duration on.
const stragglerFactor = 10

// switchTimeout bounds the time until a preset change is in force on all VMs.
const switchTimeout = 4 * clock.Second

// demoRun is the state of one demo.
type demoRun struct {
	opts    Options
	fleet   *Fleet
	checker *checker
	load    *loadGenerator
}

// Run runs the demo and prints its tables. It returns ErrViolated if an
// invariant was violated or a request failed.
func Run(ctx context.Context, opts Options) error {
	printf(opts.Out, "starting %s with %d entry VMs\n", opts.Deployment, opts.VMs)
	f, err := StartFleet(ctx, opts.Deployment, opts.VMs, opts.Logger)
	if err != nil {
		return err
	}
	r := &demoRun{opts: opts, fleet: f, checker: newChecker()}
	r.load = &loadGenerator{fleet: f, checker: r.checker}
	r.runScenario(ctx)
	if err := r.report(); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	return r.reportViolations()
}

// runScenario sends load and meanwhile slows one upstream and switches the preset.
func (r *demoRun) runScenario(ctx context.Context) {
	streams := r.streams()
	loadCtx, stop := context.WithTimeout(ctx, r.opts.Duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.load.run(loadCtx, streams)
	}()
	sleep(loadCtx, r.opts.Duration/3)
	r.slowUpstream(streams[0].service)
	sleep(loadCtx, r.opts.Duration/6)
	r.switchPreset()
	<-done
}

// streams returns queries of all three ranks to the service with the most keys,
// and orders to the first service without keys.
func (r *demoRun) streams() []stream {
	var queryService, orderService string
	var keys uint32
	var groups []string
	for _, s := range r.fleet.Standins.Settings().Document().Services {
		if s.Keys > keys {
			queryService, keys = s.Name, s.Keys
		}
		if s.Keys == 0 && groups == nil {
			orderService = s.Name
			for _, g := range s.Groups {
				groups = append(groups, g.Name)
			}
		}
	}
	return []stream{
		{rank: rank.Urgent, service: queryService, interval: 25 * time.Millisecond},
		{rank: rank.Ordinary, service: queryService, interval: 20 * time.Millisecond},
		{rank: rank.Patient, service: queryService, interval: 40 * time.Millisecond},
		{rank: rank.Ordinary, service: orderService, groups: groups, interval: 25 * time.Millisecond},
	}
}

func (r *demoRun) slowUpstream(service string) {
	for _, id := range r.fleet.Standins.Upstreams() {
		if serviceOf(id) == service {
			_, err := r.fleet.Standins.Inject(string(id), "slow_factor", float64(stragglerFactor))
			if err != nil {
				r.checker.addError("inject straggler", err)
			}
			printf(r.opts.Out, "upstream %s is now slower by a factor of %d\n", id, stragglerFactor)
			return
		}
	}
}

func (r *demoRun) switchPreset() {
	change := preset.Change{
		ID: "demo-switch", Author: "demo", Reason: "peak begins", SwitchTo: "peak",
	}
	start := time.Now()
	doc, err := r.fleet.Caller(0).Change(change)
	if err != nil || doc.Accepted != preset.Accepted {
		r.checker.addViolation("preset switch was not accepted: %v %s", err, doc.Error)
		return
	}
	status, err := AwaitRevision(r.fleet, doc.Revision, switchTimeout)
	if err != nil {
		r.checker.addViolation("revision %d: %v", doc.Revision, err)
		return
	}
	printf(r.opts.Out, "preset %s, revision %d, in force on %d of %d VMs after %.0f ms\n",
		doc.InForce, doc.Revision, len(status.VMs), r.fleet.Size(), milliseconds(time.Since(start)))
}

// AwaitRevision waits until a revision, or a later one, is in force on every VM.
func AwaitRevision(f *Fleet, revision uint64, timeout clock.Millis) (entry.FleetStatus, error) {
	deadline := time.Now().Add(timeout.Duration())
	for {
		status, err := f.Caller(0).FleetStatus()
		if err == nil && countAtRevision(status, revision) == f.Size() {
			return status, nil
		}
		if time.Now().After(deadline) {
			return status, fmt.Errorf("in force on %d of %d VMs after %d ms", countAtRevision(status, revision), f.Size(), timeout)
		}
		time.Sleep(pollInterval)
	}
}

func countAtRevision(s entry.FleetStatus, revision uint64) int {
	n := 0
	for _, v := range s.VMs {
		if v.Revision >= revision {
			n++
		}
	}
	return n
}

func (r *demoRun) report() error {
	status, err := r.fleet.Caller(0).FleetStatus()
	if err != nil {
		return err
	}
	events, err := r.fleet.Caller(0).Events(url.Values{})
	if err != nil {
		return err
	}
	r.checker.checkExecutions(executionsOf(r.fleet.Standins))
	writeTable(r.opts.Out, r.load.samples, status)
	writeEvents(r.opts.Out, events.Events)
	return nil
}

func (r *demoRun) reportViolations() error {
	for _, e := range r.checker.errors {
		printf(r.opts.Out, "error: %s\n", e)
	}
	for _, v := range r.checker.violations {
		printf(r.opts.Out, "VIOLATION: %s\n", v)
	}
	if len(r.checker.violations) > 0 || len(r.checker.errors) > 0 {
		return ErrViolated
	}
	printf(r.opts.Out, "every invariant held over %d requests\n", len(r.load.samples))
	return nil
}

func serviceOf(id upstream.ID) string {
	for i := range id {
		if id[i] == '/' {
			return string(id[:i])
		}
	}
	return string(id)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
