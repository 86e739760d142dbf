package relay

import (
	"cmp"
	"strings"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
)

const (
	// yieldFactor is for how long a request lets later ones pass that cost nothing, as a
	// multiple of its own expected work.
	yieldFactor = 2

	// yieldSpareShare limits that time, as a share of what its target leaves beside its work.
	yieldSpareShare = 0.5

	// joinFactor is behind how much unfinished work for each slot of an upstream a request may
	// wait there, as a multiple of the median latency of its route.
	joinFactor = 1

	// queuedExtraAttempts is how many attempts beyond its slots an upstream gets while more
	// sub-requests wait here than there are slots, so that the next one is there when a slot
	// becomes free.
	queuedExtraAttempts = 1

	// farCheaper is the factor by which the expected work of requests surely differs.
	farCheaper = 2

	// maxOwnShare limits the expected work of a request in its admission, as a share of the
	// time to its target: none is refused for its own work alone.
	maxOwnShare = 0.5
)

// costs is what this VM has learned about the work of requests.
type costs struct {
	estimator *cost.Estimator // nil unless this VM places by cost
	stats     cost.Stats
}

func newCosts(on bool) costs {
	if !on {
		return costs{}
	}
	return costs{estimator: cost.New()}
}

// byCost reports whether the expected cost of requests counts.
func (m *Model) byCost() bool { return m.costs.estimator != nil && m.policies.maxCostFactor() != 1 }

// expectArrival sets what a request of a caller is expected to cost.
func (m *Model) expectArrival(now clock.Millis, r *request, msg ArrivalMsg) {
	if m.byCost() {
		m.expect(now, r, cost.KeysOf(cost.Features{
			Route: r.route.Name, Customer: r.customer, Method: cmp.Or(msg.Method, "GET"),
			Path: strings.TrimPrefix(msg.Path, r.route.Prefix), BodyBytes: msg.BodyBytes,
		}))
	}
}

// expectDelegated sets what a request that another VM delegated is expected to cost. One that
// comes without keys shows only its route and its customer.
func (m *Model) expectDelegated(now clock.Millis, r *request, keys cost.Keys) {
	if !m.byCost() {
		return
	}
	if keys == (cost.Keys{}) {
		keys = cost.KeysOf(cost.Features{Route: r.route.Name, Customer: r.customer})
	}
	m.expect(now, r, keys)
}

// expect sets what a request with some features is expected to cost.
func (m *Model) expect(now clock.Millis, r *request, keys cost.Keys) {
	r.costKeys, r.hasCostKeys = keys, true
	r.cost = m.costs.estimator.Estimate(now, &r.costKeys)
	m.costs.stats.CountEstimate(&r.cost)
	if factor := m.policies.maxCostFactor(); factor > 0 {
		r.cost.Limit(factor * m.statsFor(r.route).medianMs)
	}
}

// meanMs returns the expected work of a request at an upstream of typical speed.
func (m *Model) meanMs(r *request) float64 {
	if !r.cost.Known() {
		return m.statsFor(r.route).medianMs
	}
	return r.cost.MeanMs()
}

// typicalMs returns the median of the work of requests like r.
func (m *Model) typicalMs(r *request) float64 {
	if !r.cost.Known() {
		return m.statsFor(r.route).medianMs
	}
	return max(r.cost.MedianMs(), 1) // times are in whole milliseconds
}

// unfinishedMs returns the expected work that is left of what this VM has open at u.
func (m *Model) unfinishedMs(now clock.Millis, u *upstream) float64 {
	sum := 0.0
	for _, a := range u.open {
		sum += m.remainingMs(now, a)
	}
	return sum
}

// remainingMs returns the expected work that is left of an open attempt.
func (m *Model) remainingMs(now clock.Millis, a *attempt) float64 {
	r := a.subrequest.req
	if !r.cost.Known() || a.startedAt == 0 {
		return m.meanMs(r)
	}
	return r.cost.RemainingMs(now - a.startedAt)
}

// scoreFor returns the Score of an upstream for a request, and its total as it is while the
// cost of requests does not count.
func (m *Model) scoreFor(now clock.Millis, u *upstream, r *request) (s Score, plainMs float64) {
	s = m.score(now, u, m.statsFor(r.route).medianMs)
	plainMs = s.Total()
	if m.byCost() {
		slowness := u.slowness(now)
		s.WorkMs = m.meanMs(r) * slowness
		s.BusyMs = m.waitMs(now, u) * slowness
	}
	return s, plainMs
}

// waitMs returns how long what is open at u delays another request.
func (m *Model) waitMs(now clock.Millis, u *upstream) float64 {
	n := len(u.open)
	if n == 0 {
		return 0
	}
	share := sharedAttemptFactor
	if m.fillsAlone(u) {
		share = openAttemptFactor
	}
	if slots := u.info.Slots; slots > 0 {
		share += float64(max(n+1-slots, 0)) / float64(n*slots)
	}
	return share * m.unfinishedMs(now, u)
}

// waitsHere reports whether a sub-request waits in the queue of this VM, which is in order,
// rather than in that of u: behind others that wait here, or behind work that takes long.
func (m *Model) waitsHere(now clock.Millis, u *upstream, sub *subrequest) bool {
	slots := u.info.Slots
	if !m.byCost() || !sub.req.cost.Known() || slots <= 0 || len(u.open) < slots || m.fillsAlone(u) {
		return false
	}
	queued := len(sub.service.queue)
	if !sub.queued && queued > 0 {
		return true
	}
	if len(u.open) < slots+queuedExtraAttempts && queued > sub.service.slots() {
		return false // the order matters less here than that no slot is idle
	}
	return m.unfinishedMs(now, u) > joinFactor*m.statsFor(sub.req.route).medianMs*float64(slots)
}

// drawbackMs returns by how much an upstream is worse for a request than a healthy one nearby,
// whatever is open there.
func (m *Model) drawbackMs(u *upstream, s Score, r *request) float64 {
	return s.DistanceMs + s.FailureMs + s.DoubtMs + (u.sustainedSlowness()-1)*m.meanMs(r)
}

// slots returns the slots of the upstreams of a service.
func (s *service) slots() int {
	n := 0
	for _, u := range s.upstreams {
		n += u.info.Slots
	}
	return n
}

// orderAt orders the requests of one priority. A dear one lets cheap ones pass that arrive
// within a multiple of its own expected work, as far as it can still be in time, and no
// others, so that it does not starve.
func (r *request) orderAt() clock.Millis {
	if !r.cost.Known() {
		return r.lateAt
	}
	spare := yieldSpareShare * (float64(r.route.TargetMs) - r.cost.MeanMs())
	return r.lateAt + clock.Millis(min(yieldFactor*r.cost.MeanMs(), max(spare, 0)))
}

// backlog is the work before a new sub-request.
type backlog struct {
	slots, running, waiting int
	runningMs, waitingMs    float64 // expected work that is left
}

// add adds an open attempt or a queued sub-request.
func (b *backlog) add(runs bool, ms float64) {
	if runs {
		b.running++
		b.runningMs += ms
		return
	}
	b.waiting++
	b.waitingMs += ms
}

// waitMs returns the time until a slot is free for the new sub-request.
func (b *backlog) waitMs() float64 {
	if b.slots == 0 || b.running+b.waiting < b.slots {
		return 0
	}
	return (b.waitingMs + b.runningMs/float64(max(b.running, 1))) / float64(b.slots)
}

// estimateByCost estimates how long a sub-request takes from now by the expected work of what
// is open and of what is queued before it.
func (m *Model) estimateByCost(now clock.Millis, sub *subrequest, slowness float64) clock.Millis {
	var b backlog
	for _, u := range sub.service.upstreams {
		if !u.usable() || now < u.notBefore(now) {
			continue
		}
		n := m.attemptLimit(now, u, sub.req.route.Priority)
		if u.info.Slots > 0 {
			n = min(n, u.info.Slots)
		}
		b.slots += n
		for _, a := range u.open {
			b.add(a.startedAt > 0, m.remainingMs(now, a))
		}
	}
	n, queuedMs := m.queuedWork(sub)
	b.waiting, b.waitingMs = b.waiting+n, b.waitingMs+queuedMs
	ownMs := m.statsFor(sub.req.route).medianMs
	if !sub.req.delegated { // the estimate for another VM is that of all requests of the route
		ownMs = min(m.typicalMs(sub.req), max(ownMs, maxOwnShare*float64(sub.req.targetAt-now)))
	}
	return clock.Millis((b.waitMs() + ownMs) * slowness)
}

// queuedWork returns how many queued sub-requests are served before a new one, and their
// expected work.
func (m *Model) queuedWork(sub *subrequest) (n int, ms float64) {
	for _, queued := range sub.service.queue {
		if !queued.req.answered && !m.passes(sub, queued) {
			n++
			ms += m.meanMs(queued.req)
		}
	}
	// Of those, the share of the customer decides how many go first.
	if first := sub.service.queuedAhead(sub.req); first < n {
		ms, n = ms*float64(first)/float64(n), first
	}
	return n, ms
}

// passes reports whether a new sub-request is surely served before a queued one: it is of a
// higher priority, or far cheaper. Otherwise later ones may pass it as it does that one.
func (m *Model) passes(sub, queued *subrequest) bool {
	a, b := sub.req, queued.req
	if a.priority != b.priority {
		return a.priority.precedes(b.priority)
	}
	return a.orderAt() < b.orderAt() && m.meanMs(b) > farCheaper*m.meanMs(a)
}

// PlacesByCost reports whether this VM estimates what requests cost, unless a preset bounds
// that to the median of their routes.
func (m *Model) PlacesByCost() bool { return m.costs.estimator != nil }

// CostStats returns the counts of estimates, all 0 unless this VM places by cost.
func (m *Model) CostStats() cost.Stats { return m.costs.stats }
