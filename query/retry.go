package query

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	// maxHedges limits the hedges per group. The second one covers the case
	// that the first hedge is slow too.
	maxHedges = 2
	// A hedge or retry that finds the budget exhausted checks it again after
	// tokenWaitMs. The wait doubles each time up to maxTokenWaitMs, because
	// thousands of subrequests that poll every few milliseconds would take the
	// whole processor.
	tokenWaitMs, maxTokenWaitMs = 3, 3 << 12
	// scarceBudgetDelay is the increase of the hedge delay at an empty budget, as
	// a fraction of the delay. Longer delays leave the remaining tokens to the
	// slowest attempts.
	scarceBudgetDelay = 1.0
	// A second hedge follows after three fifths of the delay. By then the first
	// attempt has taken far longer than usual, so waiting for the whole p95 of
	// the first hedge would only add to the tail latency.
	secondHedgeNum, secondHedgeDen = 3, 5
	// retryBackoffMs is the base delay of a retry to an upstream that was tried
	// before. It doubles with each retry.
	retryBackoffMs = 4
)

// hedgeDelay returns the time until an attempt is hedged. The delay grows as
// the budget empties, except before a second hedge, which is rare and has the
// greatest effect.
func (m *Model) hedgeDelay(now clock.Millis, q *openQuery, up upstream.ID, secondHedge bool) clock.Millis {
	delay := m.balancer.HedgeDelay(now, up)
	if secondHedge {
		return delay * secondHedgeNum / secondHedgeDen
	}
	shortage := 1 - m.budgets.Ref(q.Rank).hedges.fillLevel()
	return delay + clock.Millis(float64(delay)*scarceBudgetDelay*shortage)
}

// hedge sends an additional attempt while the attempt seq is still open.
func (m *Model) hedge(now clock.Millis, q *openQuery, g int, seq uint64) {
	sub := &q.subrequests[g]
	a := m.attempts.get(seq)
	if sub.settled || sub.hedges >= maxHedges || sub.attempts >= maxAttempts || sub.openCount >= maxOpenAttempts {
		return
	}
	// A rank without a hedge budget in its preset must not spend the initial
	// tokens or those of an earlier preset.
	if q.Policy.HedgeBudgetPercent <= 0 {
		return
	}
	if q.service.overloaded {
		m.setTimer(now+m.balancer.HedgeDelay(now, a.up), timerHedge, q, g, seq)
		return
	}
	up, ok := m.pickHedge(now, q, g)
	if !ok {
		return
	}
	if !m.budgets.Ref(q.Rank).hedges.take(1) {
		m.recordBudgetExhausted(q, "hedge")
		m.setTimer(now+sub.nextTokenWait(), timerHedge, q, g, seq)
		return
	}
	sub.hedges++
	m.emitEvent(q, timeline.Hedged, up, "instead of "+string(a.up))
	m.send(now, q, g, up, kindHedge)
}

// pickHedge selects the upstream of a hedge, preferably one that was not tried
// for this group. A second hedge may go to any but the last one tried.
func (m *Model) pickHedge(now clock.Millis, q *openQuery, g int) (upstream.ID, bool) {
	sub := &q.subrequests[g]
	tried := sub.tried[:sub.triedCount]
	up, ok := m.balancer.PickHedge(now, q.Service, q.service.groups[g], q.version, tried)
	if !ok && sub.hedges > 0 {
		up, ok = m.balancer.PickHedge(now, q.Service, q.service.groups[g], q.version, tried[len(tried)-1:])
	}
	return up, ok
}

// sendRetry retries a group that has no open attempt, at an upstream that was
// not tried if there is one.
func (m *Model) sendRetry(now clock.Millis, q *openQuery, g int) {
	sub := &q.subrequests[g]
	if sub.settled || sub.openCount > 0 {
		return
	}
	if sub.attempts >= maxAttempts {
		m.failGroupAndAdvance(now, q, g, "attempts failed")
		return
	}
	group := q.service.groups[g]
	up, ok := m.balancer.PickForVersion(now, q.Service, group, q.version, sub.tried[:sub.triedCount])
	if !ok {
		m.scheduleTriedUpstreamRetry(now, q, g)
		return
	}
	m.sendBudgetedRetry(now, q, g, up)
}

// scheduleTriedUpstreamRetry schedules a retry, after a backoff, that may go to
// any upstream tried before. The last one is tried again only if no other
// upstream of the group accepts work, for example because it is leaving.
func (m *Model) scheduleTriedUpstreamRetry(now clock.Millis, q *openQuery, g int) {
	sub := &q.subrequests[g]
	group := q.service.groups[g]
	last := sub.tried[max(sub.triedCount-1, 0):sub.triedCount]
	if _, ok := m.balancer.PickForVersion(now, q.Service, group, q.version, last); !ok {
		last = nil
		if _, ok := m.balancer.PickForVersion(now, q.Service, group, q.version, nil); !ok {
			m.failGroupAndAdvance(now, q, g, "no upstream")
			return
		}
	}
	at := max(now+retryBackoffMs<<sub.retries, sub.earliestRetry)
	if at >= q.answerAt {
		m.failGroupAndAdvance(now, q, g, "no time for a retry")
		return
	}
	copy(sub.tried[:], last)
	sub.triedCount = int8(len(last))
	m.setTimer(at, timerRetry, q, g, 0)
}

// sendBudgetedRetry sends a retry if the retry budget allows it, and otherwise
// schedules another try.
func (m *Model) sendBudgetedRetry(now clock.Millis, q *openQuery, g int, up upstream.ID) {
	sub := &q.subrequests[g]
	cost := 1.0
	if sub.notExecuted && sub.retries == 0 {
		cost = notExecutedRetryCost
	}
	if !m.budgets.Ref(q.Rank).retries.take(cost) {
		m.recordBudgetExhausted(q, "retry")
		m.scheduleTokenRetry(now, q, g)
		return
	}
	sub.retries++
	m.emitEvent(q, timeline.Retried, up, q.service.groups[g])
	m.send(now, q, g, up, kindRetry)
}

// scheduleTokenRetry schedules another check of the retry budget. It fails the
// group if the wait would exceed the deadline.
func (m *Model) scheduleTokenRetry(now clock.Millis, q *openQuery, g int) {
	at := now + q.subrequests[g].nextTokenWait()
	if at >= q.answerAt {
		m.failGroupAndAdvance(now, q, g, "no retry budget")
		return
	}
	m.setTimer(at, timerRetry, q, g, 0)
}

// nextTokenWait returns the next wait for a budget token and doubles the one after it.
func (sub *subrequest) nextTokenWait() clock.Millis {
	wait := min(clock.Millis(tokenWaitMs)<<sub.tokenWaits, maxTokenWaitMs)
	if wait < maxTokenWaitMs {
		sub.tokenWaits++
	}
	return wait
}

// recordBudgetExhausted counts an exhausted budget and emits an event for the
// first one of the query.
func (m *Model) recordBudgetExhausted(q *openQuery, attemptType string) {
	m.totals.Ref(q.Rank).BudgetExhausted++
	if !q.budgetEventSent {
		q.budgetEventSent = true
		m.emitEvent(q, timeline.BudgetExhausted, "", attemptType)
	}
}

// failGroupAndAdvance fails a group and continues the query without it.
func (m *Model) failGroupAndAdvance(now clock.Millis, q *openQuery, g int, reason string) {
	m.failGroup(q, g, reason)
	m.advance(now, q)
}
