package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

const (
	decreaseFactor = 0.9

	// maxOverloadedRatio is the ratio of completed queries with refused sub-requests
	// above which the limit decreases. A single sub-request shed by a restarting
	// upstream is not a sign of overload.
	maxOverloadedRatio = 0.1

	// minSamples keeps a decision from depending on one or two queries.
	minSamples = 4

	// costWeight and serviceWeight are the weights of a new sample in the moving
	// averages of the query cost and the service time.
	costWeight    = 0.05
	serviceWeight = 0.05

	// targetServiceRatio is the target wait as a ratio of the mean service time.
	targetServiceRatio = 0.5

	// maxWaitTargets caps the wait of one query, in targets, to limit the weight of outliers.
	maxWaitTargets = 4
)

// limit adapts the number of concurrent sub-requests of one service.
//
// It is adjusted once per interval, with a multiplicative decrease and an additive
// increase. It decreases if too many queries had refused sub-requests, or if the
// mean wait of some rank exceeds the target: carriers serve ranks in order of
// priority, so queueing shows first in the least urgent rank with running queries.
// Only queries admitted after the last decrease count, because older ones waited
// behind the load that the decrease removed.
type limit struct {
	current       float64
	maximum       float64
	meanCost      float64
	minTargetMs   clock.Millis // lower bound of the target wait
	meanServiceMs float64      // moving average of the service time of sub-requests
	intervalMs    clock.Millis

	intervalStart clock.Millis
	lastDecrease  clock.Millis
	saturated     bool // a query had to wait during the interval
	peakRunning   int  // highest running cost during the interval
	rankSamples   rank.Table[int]
	rankWaits     rank.Table[float64] // sum of the waits, each at most maxWaitTargets targets
	completed     int
	overloaded    int
}

func newLimit(sc serviceConfig, cfg config) limit {
	return limit{
		current: float64(max(sc.initial, 1)), maximum: float64(max(sc.maximum, sc.initial, 1)), meanCost: 1,
		minTargetMs: cfg.targetWaitMs, intervalMs: cfg.intervalMs, lastDecrease: -1,
	}
}

// targetWait returns the mean wait above which the limit decreases. With a target
// below about half a service time, connections are idle at times, because service
// times vary.
func (l *limit) targetWait() float64 {
	return max(float64(l.minTargetMs), targetServiceRatio*l.meanServiceMs)
}

func (l *limit) value() int { return int(l.current) }

func (l *limit) markSaturated() { l.saturated = true }

func (l *limit) recordStart(running, cost int) {
	l.peakRunning = max(l.peakRunning, running)
	l.meanCost += costWeight * (float64(cost) - l.meanCost)
}

// recordEnd records the end of q and reports whether the limit changed.
func (l *limit) recordEnd(now clock.Millis, q *query, m DoneMsg) bool {
	if m.ServiceMs > 0 {
		l.meanServiceMs += serviceWeight * (float64(m.ServiceMs) - l.meanServiceMs)
	}
	if q.startedAt > l.lastDecrease {
		l.addSample(q.rank, m.QueueMs, m.Overloaded)
	}
	if now-l.intervalStart < l.intervalMs || l.completed < minSamples {
		return false
	}
	previous := l.value()
	if l.shouldDecrease() {
		l.current = max(min(l.current, float64(l.peakRunning))*decreaseFactor, 1)
		l.lastDecrease = now
	} else if l.saturated && l.waitsAreLow() {
		l.current = min(l.current+max(l.meanCost, 1), l.maximum)
	}
	l.startInterval(now)
	return l.value() != previous
}

func (l *limit) addSample(r rank.Rank, queueMs clock.Millis, overloaded bool) {
	l.completed++
	*l.rankSamples.Ref(r)++
	*l.rankWaits.Ref(r) += min(float64(queueMs), maxWaitTargets*l.targetWait())
	if overloaded {
		l.overloaded++
	}
}

func (l *limit) shouldDecrease() bool {
	if float64(l.overloaded) > maxOverloadedRatio*float64(l.completed) {
		return true
	}
	return l.maxMeanWait() > l.targetWait()
}

// waitsAreLow reports whether the mean wait of every rank is at most half the
// target. Between half the target and the target the limit does not change.
func (l *limit) waitsAreLow() bool { return 2*l.maxMeanWait() <= l.targetWait() }

// maxMeanWait returns the highest mean wait among the ranks with enough samples.
func (l *limit) maxMeanWait() float64 {
	longest := 0.0
	for _, r := range rank.All() {
		if n := l.rankSamples.At(r); n >= minSamples {
			longest = max(longest, l.rankWaits.At(r)/float64(n))
		}
	}
	return longest
}

func (l *limit) startInterval(now clock.Millis) {
	l.intervalStart = now
	l.saturated = false
	l.peakRunning = 0
	l.rankSamples, l.rankWaits = rank.Table[int]{}, rank.Table[float64]{}
	l.completed, l.overloaded = 0, 0
}
