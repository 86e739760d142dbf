package experiment

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/query"
)

const (
	lossQueries   = 4_000
	lossPerSecond = 200
	lossAtMs      = 4 * clock.Second
	// lossGroupInterval is the distance between groups that lose a replica: every fourth group does.
	lossGroupInterval = 4
)

// ReplicaLoss loses one replica in a quarter of the groups while queries run. One
// of the lost replicas accepts connections and never replies; the others refuse
// connections. The baseline picks upstreams at random, without retries or hedges.
func ReplicaLoss(seed uint64) Report {
	off := runReplicaLoss(seed, false)
	on := runReplicaLoss(seed, true)
	r := Report{Name: "replica-loss", Seed: seed}
	r.AtMost("queries with missing keys", "", float64(off.incomplete), float64(on.incomplete), 0)
	r.AtMost("failed queries that had time for a retry", "", float64(off.system.totals().Failed), float64(on.system.totals().Failed), 0)
	r.AtMost("answers with untrue coverage", "", float64(off.wrongCoverage), float64(on.wrongCoverage), 0)
	r.AtLeast("queries answered", "", float64(off.answers), float64(on.answers), lossQueries)
	r.AddUnbounded("urgent p99", "ms", off.system.quantileMs(99), on.system.quantileMs(99))
	r.AddUnbounded("extra attempts", "%", off.system.extraPercent(), on.system.extraPercent())
	r.AddUnbounded("retries", "", float64(off.system.totals().Retries), float64(on.system.totals().Retries))
	return r
}

type lossResult struct {
	system        *querySystem
	answers       int
	incomplete    int
	wrongCoverage int
}

func runReplicaLoss(seed uint64, enabled bool) lossResult {
	s := newQuerySystem(seed, enabled)
	s.minCoverage = 100 // a query with any missing key fails
	result := lossResult{system: s}
	s.onAnswer = func(a query.Answer) {
		result.answers++
		if a.Outcome != query.Complete {
			result.incomplete++
		}
		if mixesVersions(a) || !coverageIsCorrect(a) {
			result.wrongCoverage++
		}
	}
	s.loop.At(lossAtMs, func() {
		for g := 0; g < queryGroups; g += lossGroupInterval {
			r := g / lossGroupInterval % queryReplicas
			if g == 0 {
				s.carrier(g, r).unresponsive = true
			} else {
				s.upstreams[g][r].Dead = true
			}
		}
	})
	s.run(lossPerSecond, lossQueries)
	return result
}
