package experiment

import (
	"fmt"
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
)

const (
	spreadBoundMs                  = 4000 // from section 1.1 of the design page
	leavingBoundMs                 = 3000
	spreadLossPercent              = 5.0
	spreadTrials                   = 3
	joinLimit         clock.Millis = 3 * clock.Minute
	spreadLimit       clock.Millis = clock.Minute
)

// FleetSizes are the numbers of members for which the control plane is measured.
var FleetSizes = []int{9, 100, 400, 1600}

// Spread measures how long an accepted preset change, and a report that an
// upstream is leaving, take to reach all live VMs while the store is unavailable
// and 5% of the messages are lost. The baseline only spreads them with heartbeats.
func Spread(seed uint64, sizes ...int) Report {
	r := Report{Name: "spread", Seed: seed}
	if len(sizes) == 0 {
		sizes = FleetSizes
	}
	for _, n := range sizes {
		base := measureSpread(seed, n, 1, fleet.WithBurstRounds(0))
		got := measureSpread(seed, n, spreadTrials)
		r.AtMost(fmt.Sprintf("change in force, %d VMs", n), "ms", base.record, got.record, spreadBoundMs)
		r.AtMost(fmt.Sprintf("upstream leaving, %d VMs", n), "ms", base.leaving, got.leaving, leavingBoundMs)
		r.AddUnbounded(fmt.Sprintf("cold start, %d VMs", n), "ms", base.joined, got.joined)
	}
	return r
}

// spreadTimes holds the longest times of several trials, in milliseconds.
type spreadTimes struct {
	joined, record, leaving float64
}

func measureSpread(seed uint64, n, trials int, opts ...fleet.Option) spreadTimes {
	f := NewFleet(seed, n)
	f.Options = opts
	var t spreadTimes
	t.joined = f.startAndJoin()
	f.LossPercent = spreadLossPercent
	for i := range trials {
		t.record = max(t.record, f.spreadRecord(i))
		t.leaving = max(t.leaving, f.spreadLeaving(i))
	}
	return t
}

// startAndJoin starts all VMs and runs until they see each other and have a record.
func (f *Fleet) startAndJoin() float64 {
	const within = 2 * clock.Second
	f.StartAll(within)
	f.RunFor(within + 1)
	took, ok := f.RunUntil(500, joinLimit, func() bool {
		return f.All(func(n *FleetVM) bool { return n.Model.Ready() }) && f.Converged()
	})
	if !ok {
		return math.Inf(1)
	}
	return float64(took + within)
}

// spreadRecord commits a change and then makes the store unavailable immediately.
func (f *Fleet) spreadRecord(trial int) float64 {
	f.Store.Down = false
	f.RunFor(5 * clock.Second)
	vm := f.VMs[f.rng.IntN(len(f.VMs))]
	change := preset.Change{
		ID: fmt.Sprintf("spread-%d", trial), Author: "experiment", Reason: "spread", SwitchTo: []string{"peak", "ordinary"}[trial%2],
	}
	var want uint64
	// The watches end before the write, so that only peers can spread the change.
	f.Store.Fail()
	f.Store.Down = false
	f.StartChange(vm, change, 10*clock.Second, func(res preset.Result) {
		want = res.Record.Revision
		f.Store.Fail()
	})
	f.RunUntil(1, clock.Second, func() bool { return want > 0 })
	return f.timeUntil(func(n *FleetVM) bool { return n.Model.Record().Revision >= want })
}

func (f *Fleet) spreadLeaving(trial int) float64 {
	f.RunFor(5 * clock.Second)
	id := upstreamID(trial)
	f.Deliver(f.VMs[f.rng.IntN(len(f.VMs))], fleet.UpstreamLeavingMsg{Upstream: id, Leaving: true})
	return f.timeUntil(func(n *FleetVM) bool { return n.Leaving[id] })
}

func (f *Fleet) timeUntil(ok func(*FleetVM) bool) float64 {
	took, done := f.RunUntil(10, spreadLimit, func() bool { return f.All(ok) })
	if !done {
		return math.Inf(1)
	}
	return float64(took)
}
