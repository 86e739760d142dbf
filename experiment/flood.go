package experiment

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Parameters of the flood experiments.
const (
	floodFactor   = 5.0
	floodMs       = 3 * clock.Second
	floodWarmUpMs = 3 * clock.Second // time for the limits to adapt before the measured window
	floodDrainMs  = 60 * clock.Second
	// otherLoad is the load of each rank that does not flood, as a fraction of
	// capacity. It is above every floor, so that the floors take effect.
	otherLoad = 0.4
	// lightLoad is the load of a rank without contention, as a fraction of capacity.
	lightLoad = 0.1
)

// Capacity returns the queries per second that the connections of the tier can
// serve: each query uses one connection of each group for its service time.
func (t *Tier) Capacity() float64 {
	up := t.Upstreams[t.upstreamIDs[0]]
	meanMs := up.MedianMs*math.Exp(up.Sigma*up.Sigma/2) + 2*float64(tierHopMs)
	usable := float64(2*(t.Config.Connections*45/100)) * float64(t.Config.Replicas)
	return usable / meanMs * float64(clock.Second)
}

// flood is one run with a given load of each rank.
type flood struct {
	tier       *Tier
	load       *TierLoad
	capacity   float64
	finished   rank.Table[int] // complete answers in the measured window
	unanswered int             // requests without an answer long after the load ended
}

// runFlood sends queries of each rank at its fraction of capacity, counts the requests of a window
// of floodMs after floodWarmUpMs, and then runs until all requests have ended.
func runFlood(cfg TierConfig, loadRatios rank.Table[float64]) *flood {
	t := NewTier(cfg)
	f := &flood{tier: t, load: NewTierLoad(t, cfg.Seed), capacity: t.Capacity()}
	end := t.Loop.Now() + floodWarmUpMs + floodMs
	for _, r := range rank.All() {
		f.load.Send(r, loadRatios.At(r)*f.capacity, end)
	}
	t.Loop.RunUntil(t.Loop.Now() + floodWarmUpMs)
	f.load.Reset()
	t.Loop.RunUntil(end)
	for _, r := range rank.All() {
		f.finished.Set(r, f.load.Result(r).Finished)
	}
	f.drain()
	return f
}

// completePerSecond returns the complete answers of a rank per second of the
// window. Answers are counted by the time at which they are given: the queue of
// the patient rank holds more than a window of work, so most of its answers in
// the window belong to requests sent earlier.
func (f *flood) completePerSecond(r rank.Rank) float64 {
	return float64(f.finished.At(r)) / float64(floodMs/clock.Second)
}

func (f *flood) goodput() float64 {
	sum := 0.0
	for _, r := range rank.All() {
		sum += f.completePerSecond(r)
	}
	return sum
}

// floorPerSecond returns the queries per second that are guaranteed to a rank.
func (f *flood) floorPerSecond(r rank.Rank) float64 {
	p, _ := f.tier.Config.Record.FindPreset(f.tier.Config.Record.InForce)
	return f.capacity * p.Policy(r).FloorPercent / 100
}

// runBoth runs the same load with admission control and without it.
func runBoth(cfg TierConfig, loadRatios rank.Table[float64]) (on, off *flood) {
	return runFlood(cfg, loadRatios), runFlood(withoutAdmissionControl(cfg), loadRatios)
}

// drain runs until the requests in flight should have ended and counts those still without an answer.
func (f *flood) drain() {
	f.tier.Loop.RunUntil(f.tier.Loop.Now() + floodDrainMs)
	for _, r := range rank.All() {
		f.unanswered += f.load.Result(r).Open
	}
}

func withoutAdmissionControl(cfg TierConfig) TierConfig {
	cfg.NoAdmissionControl = true
	return cfg
}

// FloodPatient floods the tier with patient queries at five times its capacity.
// The baseline has no admission control.
func FloodPatient(seed uint64) Report {
	report := Report{Name: "flood-patient", Seed: seed}
	cfg := DefaultTier(seed)
	quiet := runFlood(cfg, rank.NewTable(lightLoad, lightLoad, 0))
	loadRatios := rank.NewTable(lightLoad, otherLoad, floodFactor)
	on, off := runBoth(cfg, loadRatios)
	unloadedP99 := quiet.load.Result(rank.Urgent).P99()
	report.AtMost("urgent p99 against unloaded", "ratio",
		off.load.Result(rank.Urgent).P99()/unloadedP99, on.load.Result(rank.Urgent).P99()/unloadedP99, 1.5)
	report.AtMost("urgent refused", "queries",
		float64(off.load.Result(rank.Urgent).Refused), float64(on.load.Result(rank.Urgent).Refused), 0)
	report.AtLeast("ordinary throughput against its floor", "ratio",
		off.completePerSecond(rank.Ordinary)/off.floorPerSecond(rank.Ordinary), on.completePerSecond(rank.Ordinary)/on.floorPerSecond(rank.Ordinary), 1)
	report.AddUnbounded("goodput against capacity", "ratio", off.goodput()/off.capacity, on.goodput()/on.capacity)
	report.AtMost("accepted requests still open after the flood", "queries", float64(off.unanswered), float64(on.unanswered), 0)
	report.AtMost("patient failed or partial", "queries", notComplete(off, rank.Patient), notComplete(on, rank.Patient), 0)
	report.AtMost("violations", "answers", float64(len(off.load.Violations())), float64(len(on.load.Violations())), 0)
	return report
}

// notComplete counts admitted queries without a complete answer.
func notComplete(f *flood, r rank.Rank) float64 {
	return float64(f.load.Result(r).Failed + f.load.Result(r).Partial)
}

// FloodUrgent floods the tier with urgent queries at five times its capacity,
// while the load of the other ranks is above their floors.
func FloodUrgent(seed uint64) Report {
	report := Report{Name: "flood-urgent", Seed: seed}
	cfg := DefaultTier(seed)
	loadRatios := rank.NewTable(floodFactor, otherLoad, otherLoad)
	on, off := runBoth(cfg, loadRatios)
	report.AtLeast("goodput against capacity", "ratio", off.goodput()/off.capacity, on.goodput()/on.capacity, 0.9)
	for _, r := range []rank.Rank{rank.Ordinary, rank.Patient} {
		report.AtLeast(r.String()+" throughput against its floor", "ratio",
			off.completePerSecond(r)/off.floorPerSecond(r), on.completePerSecond(r)/on.floorPerSecond(r), 0.9)
	}
	report.AtMost("answered urgent queries that are not complete", "queries",
		notComplete(off, rank.Urgent), notComplete(on, rank.Urgent), 0)
	report.AddUnbounded("urgent p99", "ms", off.load.Result(rank.Urgent).P99(), on.load.Result(rank.Urgent).P99())
	report.AtMost("violations", "answers", float64(len(off.load.Violations())), float64(len(on.load.Violations())), 0)
	return report
}

// Fanout counts the sub-requests sent for queries that end refused or failed,
// with every rank above its guaranteed share and a total load of five times capacity.
func Fanout(seed uint64) Report {
	report := Report{Name: "fanout", Seed: seed}
	cfg := DefaultTier(seed)
	each := floodFactor / rank.Count
	loadRatios := rank.NewTable(each, each, each)
	on, off := runBoth(cfg, loadRatios)
	report.AtMost("sub-requests sent for queries without an answer", "percent", off.wastedPercent(), on.wastedPercent(), 1)
	report.AddUnbounded("goodput against capacity", "ratio", off.goodput()/off.capacity, on.goodput()/on.capacity)
	return report
}

// wastedPercent returns the percentage of sub-requests that were sent for refused or failed queries.
func (f *flood) wastedPercent() float64 {
	wasted, all := 0, 0
	for _, r := range rank.All() {
		wasted += f.load.Result(r).WastedAttempts
		all += f.load.Result(r).Attempts
	}
	return 100 * float64(wasted) / float64(max(all, 1))
}
