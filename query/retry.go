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
	scarceDelay = 1.0
	// A second hedge follows after three fifths of the delay. By then the first
	// attempt has taken far longer than usual, so waiting for the whole p95 of
	// the hedge would only add to the tail.
	secondHedgeNum, secondHedgeDen = 3, 5
	// retryBackoffMs doubles with each retry to an upstream that was tried before.
	retryBackoffMs = 4
)

// hedgeDelay stretches the delay of the book while tokens are scarce. It does
// not for a second hedge, which is seldom and worth the most.
func (m *Model) hedgeDelay(now clock.Millis, q *openQuery, up upstream.ID, hedged bool) clock.Millis {
	delay := m.book.HedgeDelay(now, up)
	if hedged {
		return delay * secondHedgeNum / secondHedgeDen
	}
	scarce := 1 - m.budgets.Ref(q.Rank).hedges.fill()
	return delay + clock.Millis(float64(delay)*scarceDelay*scarce)
}

// hedge sends a second attempt while the first one is still open.
func (m *Model) hedge(now clock.Millis, q *openQuery, g int, seq uint64) {
	p := &q.parts[g]
	t := m.slots.get(seq)
	if p.settled || p.hedges >= maxHedges || p.tries >= maxTries || p.nOpen >= maxOpen {
		return
	}
	// Tokens from the start or from an earlier preset must not be spent by a
	// rank that its preset grants no hedges.
	if q.Policy.HedgeBudgetPercent <= 0 {
		return
	}
	if q.service.overloaded {
		m.wake(now+m.book.HedgeDelay(now, t.up), timerHedge, q, g, seq)
		return
	}
	up, ok := m.pickHedge(now, q, g)
	if !ok {
		return
	}
	if !m.budgets.Ref(q.Rank).hedges.take(1) {
		m.outOfTokens(q, "hedge")
		m.wake(now+p.tokenWait(), timerHedge, q, g, seq)
		return
	}
	p.hedges++
	m.event(q, timeline.Hedged, up, "instead of "+string(t.up))
	m.send(now, q, g, up, tryHedge)
}

// pickHedge prefers an upstream that the group did not try; a second hedge may
// return to an earlier one.
func (m *Model) pickHedge(now clock.Millis, q *openQuery, g int) (upstream.ID, bool) {
	p := &q.parts[g]
	tried := p.tried[:p.nTried]
	up, ok := m.book.PickHedge(now, q.Service, q.service.groups[g], q.version, tried)
	if !ok && p.hedges > 0 {
		up, ok = m.book.PickHedge(now, q.Service, q.service.groups[g], q.version, tried[len(tried)-1:])
	}
	return up, ok
}

// sendRetry sends another attempt after the last one failed.
func (m *Model) sendRetry(now clock.Millis, q *openQuery, g int) {
	p := &q.parts[g]
	if p.settled || p.nOpen > 0 {
		return
	}
	if p.tries >= maxTries {
		m.lose(now, q, g, "attempts failed")
		return
	}
	group := q.service.groups[g]
	up, ok := m.book.PickVersion(now, q.Service, group, q.version, p.tried[:p.nTried])
	if !ok {
		m.retryTried(now, q, g)
		return
	}
	m.payRetry(now, q, g, up)
}

// retryTried retries an upstream that was tried before, after a backoff. It
// prefers another one than the last.
func (m *Model) retryTried(now clock.Millis, q *openQuery, g int) {
	p := &q.parts[g]
	group := q.service.groups[g]
	last := p.tried[max(p.nTried-1, 0):p.nTried]
	if _, ok := m.book.PickVersion(now, q.Service, group, q.version, last); !ok {
		m.lose(now, q, g, "no other upstream")
		return
	}
	at := max(now+retryBackoffMs<<p.retries, p.retryAt)
	if at >= q.answerAt {
		m.lose(now, q, g, "no time for a retry")
		return
	}
	copy(p.tried[:], last)
	p.nTried = int8(len(last))
	m.wake(at, timerRetry, q, g, 0)
}

func (m *Model) payRetry(now clock.Millis, q *openQuery, g int, up upstream.ID) {
	p := &q.parts[g]
	cost := 1.0
	if p.refused && p.retries == 0 {
		cost = refusedRetryCost
	}
	if !m.budgets.Ref(q.Rank).retries.take(cost) {
		m.outOfTokens(q, "retry")
		m.waitForToken(now, q, g)
		return
	}
	p.retries++
	m.event(q, timeline.Retried, up, q.service.groups[g])
	m.send(now, q, g, up, tryRetry)
}

// waitForToken asks for a retry token again after a while. A wait that would
// pass the deadline is pointless.
func (m *Model) waitForToken(now clock.Millis, q *openQuery, g int) {
	at := now + q.parts[g].tokenWait()
	if at >= q.answerAt {
		m.lose(now, q, g, "no retry budget")
		return
	}
	m.wake(at, timerRetry, q, g, 0)
}

// tokenWait returns the next wait for a token and doubles the one after it.
func (p *part) tokenWait() clock.Millis {
	wait := min(clock.Millis(tokenWaitMs)<<p.tokenWaits, maxTokenWaitMs)
	if wait < maxTokenWaitMs {
		p.tokenWaits++
	}
	return wait
}

// outOfTokens reports an exhausted budget once per query.
func (m *Model) outOfTokens(q *openQuery, what string) {
	m.totals.Ref(q.Rank).BudgetExhausted++
	if !q.noTokens {
		q.noTokens = true
		m.event(q, timeline.BudgetExhausted, "", what)
	}
}

// lose gives a group up and goes on with the query.
func (m *Model) lose(now clock.Millis, q *openQuery, g int, reason string) {
	m.giveUp(q, g, reason)
	m.checkSettled(now, q)
}
