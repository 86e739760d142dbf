package experiment

const (
	stragglerQueries   = 20_000
	stragglerPerSecond = 100
	stragglerRatio     = 0.02
	stragglerFactor    = 10
)

// Straggler runs queries while one upstream of 40 and 2% of all sub-requests take
// 10 times as long. The baseline picks upstreams at random, without hedges. The
// p99 without faults is that of the tested mechanism, which is lower than that of
// the baseline.
func Straggler(seed uint64) Report {
	healthy := runStraggler(seed, true, false)
	off := runStraggler(seed, false, true)
	on := runStraggler(seed, true, true)
	faultFreeP99 := healthy.quantileMs(99)
	r := Report{Name: "straggler", Seed: seed}
	r.AtMost("urgent p99 against fault-free", "ratio", off.quantileMs(99)/faultFreeP99, on.quantileMs(99)/faultFreeP99, 1.5)
	r.AtMost("extra attempts", "%", off.extraPercent(), on.extraPercent(), 5)
	r.AddUnbounded("urgent p99", "ms", off.quantileMs(99), on.quantileMs(99))
	r.AddUnbounded("urgent p50", "ms", off.quantileMs(50), on.quantileMs(50))
	r.AddUnbounded("urgent p99 without faults", "ms", faultFreeP99, faultFreeP99)
	r.AddUnbounded("hedges that won", "", float64(off.totals().HedgeWins), float64(on.totals().HedgeWins))
	r.AtMost("incomplete answers", "", float64(off.totals().Partial+off.totals().Failed),
		float64(on.totals().Partial+on.totals().Failed), 0)
	return r
}

func runStraggler(seed uint64, enabled, faults bool) *querySystem {
	s := newQuerySystem(seed, enabled)
	if faults {
		for _, group := range s.upstreams {
			for _, up := range group {
				up.SlowRatio, up.SlowRequestFactor = stragglerRatio, stragglerFactor
			}
		}
		s.upstreams[7][0].SlowFactor = stragglerFactor
	}
	s.run(stragglerPerSecond, stragglerQueries)
	return s
}
