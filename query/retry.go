package query

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	// maxHedges is the number of hedges per group. The second one covers a
	// hedge that is itself slow.
	maxHedges = 2
	// An attempt that found no budget asks again after tokenWaitMs. The wait
	// doubles each time up to maxTokenWaitMs: thousands of parts without tokens
	// that all ask every few milliseconds would take the whole processor.
	tokenWaitMs, maxTokenWaitMs = 3, 3 << 12
	// With an empty budget a hedge waits this much longer, as a share of its
	// delay, so that the slowest attempts get the remaining tokens.
	scarceBudgetDelay = 1.0
	// A second hedge follows after three fifths of the delay. By then the first
	// attempt has taken far longer than usual, so waiting for the whole p95 of
	// the hedge would only add to the tail.
	secondHedgeNum, secondHedgeDen = 3, 5
	// retryBackoffMs doubles with each retry to an upstream that was tried before.
	retryBackoffMs = 4
)

// hedgeDelay stretches the delay of the book while tokens are scarce. It does
// not for a second hedge, which is seldom and worth the most.
func (m *Model) hedgeDelay(now clock.Millis, q *openQuery, up upstream.ID, secondHedge bool) clock.Millis {
	delay := m.book.HedgeDelay(now, up)
	if secondHedge {
		return delay * secondHedgeNum / secondHedgeDen
	}
	shortage := 1 - m.budgets.Ref(q.Rank).hedges.fillLevel()
	return delay + clock.Millis(float64(delay)*scarceBudgetDelay*shortage)
}

// hedge sends a second attempt while the first one is still open.
func (m *Model) hedge(now clock.Millis, q *openQuery, g int, seq uint64) {
	sub := &q.subrequests[g]
	a := m.attempts.get(seq)
	if sub.settled || sub.hedges >= maxHedges || sub.attempts >= maxAttempts || sub.openCount >= maxOpenAttempts {
		return
	}
	// Tokens from the start or from an earlier preset must not be spent by a
	// rank that its preset grants no hedges.
	if q.Policy.HedgeBudgetPercent <= 0 {
		return
	}
	if q.service.overloaded {
		m.setTimer(now+m.book.HedgeDelay(now, a.up), timerHedge, q, g, seq)
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

// pickHedge prefers an upstream that the group did not try; a second hedge may
// return to an earlier one.
func (m *Model) pickHedge(now clock.Millis, q *openQuery, g int) (upstream.ID, bool) {
	sub := &q.subrequests[g]
	tried := sub.tried[:sub.triedCount]
	up, ok := m.book.PickHedge(now, q.Service, q.service.groups[g], q.version, tried)
	if !ok && sub.hedges > 0 {
		up, ok = m.book.PickHedge(now, q.Service, q.service.groups[g], q.version, tried[len(tried)-1:])
	}
	return up, ok
}

// sendRetry sends another attempt after the last one failed.
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
	up, ok := m.book.PickVersion(now, q.Service, group, q.version, sub.tried[:sub.triedCount])
	if !ok {
		m.scheduleTriedUpstreamRetry(now, q, g)
		return
	}
	m.sendBudgetedRetry(now, q, g, up)
}

// scheduleTriedUpstreamRetry retries an upstream that was tried before, after a backoff. It
// prefers another one than the last.
func (m *Model) scheduleTriedUpstreamRetry(now clock.Millis, q *openQuery, g int) {
	sub := &q.subrequests[g]
	group := q.service.groups[g]
	last := sub.tried[max(sub.triedCount-1, 0):sub.triedCount]
	if _, ok := m.book.PickVersion(now, q.Service, group, q.version, last); !ok {
		m.failGroupAndAdvance(now, q, g, "no other upstream")
		return
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

// scheduleTokenRetry asks for a retry token again after a while. A wait that would
// pass the deadline is pointless.
func (m *Model) scheduleTokenRetry(now clock.Millis, q *openQuery, g int) {
	at := now + q.subrequests[g].nextTokenWait()
	if at >= q.answerAt {
		m.failGroupAndAdvance(now, q, g, "no retry budget")
		return
	}
	m.setTimer(at, timerRetry, q, g, 0)
}

// nextTokenWait returns the next wait for a token and doubles the one after it.
func (sub *subrequest) nextTokenWait() clock.Millis {
	wait := min(clock.Millis(tokenWaitMs)<<sub.tokenWaits, maxTokenWaitMs)
	if wait < maxTokenWaitMs {
		sub.tokenWaits++
	}
	return wait
}

// recordBudgetExhausted reports an exhausted budget once per query.
func (m *Model) recordBudgetExhausted(q *openQuery, attemptType string) {
	m.totals.Ref(q.Rank).BudgetExhausted++
	if !q.budgetEventSent {
		q.budgetEventSent = true
		m.emitEvent(q, timeline.BudgetExhausted, "", attemptType)
	}
}

// failGroupAndAdvance gives a group up and goes on with the query.
func (m *Model) failGroupAndAdvance(now clock.Millis, q *openQuery, g int, reason string) {
	m.failGroup(q, g, reason)
	m.advance(now, q)
}
