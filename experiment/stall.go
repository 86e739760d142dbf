package experiment

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Parameters of the stall experiment.
const (
	stallLoad    = 0.1 // fraction of capacity, per rank
	stallPauseMs = 10 * clock.Second
	stallMs      = 15 * clock.Second
)

// runStall pauses one VM for stallPauseMs while the others receive a light load,
// and returns the load. The paused VM receives no queries itself.
func runStall(cfg TierConfig) *TierLoad {
	t := NewTier(cfg)
	l := NewTierLoad(t, cfg.Seed)
	l.receivers = t.vms[1:]
	end := t.Loop.Now() + stallMs
	for _, r := range rank.All() {
		l.Send(r, stallLoad*t.Capacity(), end)
	}
	t.Loop.RunUntil(t.Loop.Now() + clock.Second)
	l.Reset()
	t.vms[0].pausedUntil = t.Loop.Now() + stallPauseMs
	t.Loop.RunUntil(end)
	return l
}

// Stall pauses a VM that is a carrier for others. In the baseline, the others
// only stop using it when membership suspects it.
func Stall(seed uint64) Report {
	report := Report{Name: "stall", Seed: seed}
	cfg := DefaultTier(seed)
	off := cfg
	off.NoStallDetection = true
	with, without := runStall(cfg), runStall(off)
	for _, r := range []rank.Rank{rank.Urgent, rank.Ordinary} {
		a, b := with.Result(r), without.Result(r)
		report.AddUnbounded(r.String()+" queries not answered whole", "queries", float64(b.Partial+b.Failed), float64(a.Partial+a.Failed))
		report.AddUnbounded(r.String()+" p99", "ms", b.P99(), a.P99())
	}
	report.AtMost("urgent queries not answered whole", "percent", notCompletePercent(without), notCompletePercent(with), 1)
	report.AtMost("violations", "answers", float64(len(without.Violations())), float64(len(with.Violations())), 0)
	return report
}

func notCompletePercent(l *TierLoad) float64 {
	r := l.Result(rank.Urgent)
	return 100 * float64(r.Partial+r.Failed+r.Refused) / float64(max(r.Sent, 1))
}
