package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

const (
	decreaseFactor = 0.9

	// overloadedShare is the share of completed queries with refused
	// sub-requests above which the limit falls. A single shed sub-request of a
	// restarting upstream is no sign of overload.
	overloadedShare = 0.1

	// minSamples keeps a verdict from resting on one or two queries.
	minSamples = 4

	costWeight  = 0.05
	serveWeight = 0.05

	// targetShare is the target wait as a share of the mean service time.
	targetShare = 0.5

	// maxWaits bounds the weight of one query that waited long, in targets.
	maxWaits = 4
)

// limit adapts the number of concurrent sub-requests of one service.
//
// A verdict covers an interval. The limit falls if the mean wait of some
// rank was above the target: carriers serve ranks in order, so the wait shows
// first in the least urgent rank that runs. Only queries admitted after the
// last fall count, because older ones waited behind the load that the fall removed.
type limit struct {
	current     float64
	most        float64
	typicalCost float64
	targetMs    clock.Millis // lowest target
	serveMs     float64      // moving mean service time of sub-requests
	intervalMs  clock.Millis

	begin      clock.Millis // of the interval
	lastFall   clock.Millis
	full       bool // a query had to wait during the interval
	peak       int  // highest running cost during the interval
	samples    rank.Table[int]
	waits      rank.Table[float64] // sum of the waits, each at most maxWaits targets
	total      int
	overloaded int
}

func newLimit(sc serviceConfig, cfg config) limit {
	return limit{
		current: float64(max(sc.initial, 1)), most: float64(max(sc.max, sc.initial, 1)), typicalCost: 1,
		targetMs: cfg.targetMs, intervalMs: cfg.intervalMs, lastFall: -1,
	}
}

// target returns the wait above which the limit falls. With shorter waits than
// about half a service time the connections run idle now and then, because the
// length of services varies.
func (l *limit) target() float64 {
	return max(float64(l.targetMs), targetShare*l.serveMs)
}

func (l *limit) value() int { return int(l.current) }

func (l *limit) markFull() { l.full = true }

func (l *limit) started(running, cost int) {
	l.peak = max(l.peak, running)
	l.typicalCost += costWeight * (float64(cost) - l.typicalCost)
}

// observe records the end of q and reports whether the limit changed.
func (l *limit) observe(now clock.Millis, q *query, m DoneMsg) bool {
	if m.ServiceMs > 0 {
		l.serveMs += serveWeight * (float64(m.ServiceMs) - l.serveMs)
	}
	if q.started > l.lastFall {
		l.record(q.rank, m.QueueMs, m.Overloaded)
	}
	if now-l.begin < l.intervalMs || l.total < minSamples {
		return false
	}
	before := l.value()
	if l.tooHigh() {
		l.current = max(min(l.current, float64(l.peak))*decreaseFactor, 1)
		l.lastFall = now
	} else if l.full && l.waitsLow() {
		l.current = min(l.current+max(l.typicalCost, 1), l.most)
	}
	l.reset(now)
	return l.value() != before
}

func (l *limit) record(r rank.Rank, queueMs clock.Millis, overloaded bool) {
	l.total++
	*l.samples.Ref(r)++
	*l.waits.Ref(r) += min(float64(queueMs), maxWaits*l.target())
	if overloaded {
		l.overloaded++
	}
}

func (l *limit) tooHigh() bool {
	if float64(l.overloaded) > overloadedShare*float64(l.total) {
		return true
	}
	return l.longestWait() > l.target()
}

// waitsLow reports whether the mean wait of every rank is at most half the
// target. Between the half and the whole target the limit stays as it is.
func (l *limit) waitsLow() bool { return 2*l.longestWait() <= l.target() }

// longestWait returns the highest mean wait of the ranks.
func (l *limit) longestWait() float64 {
	longest := 0.0
	for _, r := range rank.All() {
		if n := l.samples.At(r); n >= minSamples {
			longest = max(longest, l.waits.At(r)/float64(n))
		}
	}
	return longest
}

func (l *limit) reset(now clock.Millis) {
	l.begin = now
	l.full = false
	l.peak = 0
	l.samples, l.waits = rank.Table[int]{}, rank.Table[float64]{}
	l.total, l.overloaded = 0, 0
}
