package experiment

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/query"
)

const (
	rolloverQueries   = 16_000
	rolloverPerSecond = 1_300
	// With 8 connections per upstream, a group of two replicas serves about 1,900
	// requests per second, so this rate is about 70% of the capacity.
	rolloverConns     = 8
	rolloverReleases  = 4
	rolloverPeriodMs  = 3 * clock.Second
	rolloverSpreadMs  = 1500 // time within which a release reaches all upstreams
	rolloverMoves     = 12
	rolloverMoveMs    = clock.Second
	rolloverMapLagMs  = 60 // time within which a new shard map reaches all upstreams
	rolloverRushed    = 3  // number of the release that drops the old version before all groups have the new one
	rolloverRushLagMs = 400
)

// Rollover changes the index version four times and moves key ranges twelve times
// under full load. In the baseline each upstream replies at its newest version.
func Rollover(seed uint64) Report {
	off := newRollover(seed, false)
	on := newRollover(seed, true)
	off.run()
	on.run()
	r := Report{Name: "rollover", Seed: seed}
	r.AtMost("answers that mix versions", "", float64(off.mixed), float64(on.mixed), 0)
	r.AtMost("answers with untrue coverage", "", float64(off.wrongCoverage), float64(on.wrongCoverage), 0)
	r.AtLeast("complete where a common version exists", "%", off.completePercent(), on.completePercent(), 99)
	r.AtLeast("queries answered", "", float64(off.answers), float64(on.answers), rolloverQueries)
	r.AddUnbounded("answers while no common version existed", "", float64(off.answers-off.withCommonVersion), float64(on.answers-on.withCommonVersion))
	r.AddUnbounded("attempts of restarts", "", float64(off.system.totals().Restarts), float64(on.system.totals().Restarts))
	r.AddUnbounded("attempts of epoch gaps", "", float64(off.system.totals().EpochRetries), float64(on.system.totals().EpochRetries))
	r.AddUnbounded("urgent p99", "ms", off.system.quantileMs(99), on.system.quantileMs(99))
	r.AddUnbounded("extra attempts", "%", off.system.extraPercent(), on.system.extraPercent())
	return r
}

type rollover struct {
	system            *querySystem
	boundaries        []uint32 // group g holds the keys from boundaries[g] to boundaries[g+1]
	epoch             uint64
	commonToggles     []clock.Millis // times at which a version common to all groups began or ceased to exist
	answers           int
	withCommonVersion int
	complete          int
	mixed             int
	wrongCoverage     int
}

func newRollover(seed uint64, enabled bool) *rollover {
	r := &rollover{system: newQuerySystem(seed, enabled), epoch: 1}
	for g := range queryGroups + 1 {
		r.boundaries = append(r.boundaries, uint32(g*queryKeysPerGroup))
	}
	for _, c := range r.system.carriers {
		c.connections = rolloverConns
		c.answersNewest = !enabled
	}
	r.system.onAnswer = r.check
	return r
}

func (r *rollover) eachUpstream(visit func(group int, up *Upstream)) {
	for g, group := range r.system.upstreams {
		for _, up := range group {
			visit(g, up)
		}
	}
}

func (r *rollover) run() {
	loop := r.system.loop
	for n := range rolloverReleases {
		at := queryWarmUpMs + clock.Millis(n)*rolloverPeriodMs
		loop.At(at, func() { r.release(uint64(n+2), n+1 == rolloverRushed) })
	}
	for n := range rolloverMoves {
		loop.At(queryWarmUpMs+clock.Millis(n)*rolloverMoveMs, r.moveBoundary)
	}
	r.system.run(rolloverPerSecond, rolloverQueries)
}

// release loads a version on each upstream at a random time. The old version is
// dropped after all upstreams have the new one, or if rushed, as the new one is loaded.
func (r *rollover) release(version uint64, rushed bool) {
	r.eachUpstream(func(_ int, up *Upstream) {
		loadAfter := clock.Millis(r.system.rng.IntN(rolloverSpreadMs))
		dropAfter := rolloverSpreadMs + clock.Millis(r.system.rng.IntN(1000))
		if rushed {
			loadAfter = clock.Millis(r.system.rng.IntN(rolloverRushLagMs))
			dropAfter = loadAfter
		}
		r.system.loop.After(loadAfter, func() { r.setHeldVersions(up, []uint64{version - 1, version}) })
		r.system.loop.After(dropAfter, func() { r.setHeldVersions(up, []uint64{version}) })
	})
}

func (r *rollover) setHeldVersions(up *Upstream, held []uint64) {
	before := r.hasCommonVersion()
	up.HeldVersions = held
	if after := r.hasCommonVersion(); before != after {
		r.commonToggles = append(r.commonToggles, r.system.loop.Now())
	}
}

// hasCommonVersion reports whether every group has a replica that holds the same version.
func (r *rollover) hasCommonVersion() bool {
	for version := uint64(1); version <= rolloverReleases+1; version++ {
		everywhere := true
		for _, group := range r.system.upstreams {
			everywhere = everywhere && slices.ContainsFunc(group, func(up *Upstream) bool {
				return slices.Contains(up.HeldVersions, version)
			})
		}
		if everywhere {
			return true
		}
	}
	return false
}

// moveBoundary moves the boundary between two groups. Each upstream adopts the new
// map at a random time, so that gaps and overlaps exist for a while.
func (r *rollover) moveBoundary() {
	border := 1 + r.system.rng.IntN(queryGroups-1)
	low, high := r.boundaries[border-1]+1, r.boundaries[border+1]-1
	r.boundaries = slices.Clone(r.boundaries)
	r.boundaries[border] = low + r.system.rng.Uint32N(high-low+1)
	r.epoch++
	boundaries, epoch := r.boundaries, r.epoch
	r.eachUpstream(func(g int, up *Upstream) {
		r.system.loop.After(clock.Millis(r.system.rng.IntN(rolloverMapLagMs)), func() {
			if up.Epoch < epoch {
				up.Epoch = epoch
				up.Ranges = []coverage.Range{{From: boundaries[g], To: boundaries[g+1]}}
			}
		})
	})
}

func (r *rollover) check(a query.Answer) {
	r.answers++
	if mixesVersions(a) {
		r.mixed++
	}
	if !coverageIsCorrect(a) {
		r.wrongCoverage++
	}
	if !r.hadCommonVersion(r.system.loop.Now()-a.TookMs, r.system.loop.Now()) {
		return
	}
	r.withCommonVersion++
	if a.Outcome == query.Complete && !mixesVersions(a) {
		r.complete++
	}
}

// hadCommonVersion reports whether a common version existed during the whole interval.
func (r *rollover) hadCommonVersion(from, to clock.Millis) bool {
	has := true
	for _, change := range r.commonToggles {
		if change > from && change <= to {
			return false
		}
		if change <= from {
			has = !has
		}
	}
	return has
}

func (r *rollover) completePercent() float64 {
	return 100 * float64(r.complete) / float64(max(r.withCommonVersion, 1))
}
