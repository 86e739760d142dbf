package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	// maxOpenAttempts limits the concurrent attempts of one group.
	maxOpenAttempts = 3
	// maxAttempts limits the attempts of one group in one pass.
	maxAttempts = 6
	// answerMarginMs is how long before the deadline an answer is sent, so that
	// it reaches the caller in time. The margin is at most a tenth of the
	// remaining time.
	answerMarginMs = 5
	// discoveryTimeDivisor bounds the discovery of the held versions to this
	// part of the remaining time.
	discoveryTimeDivisor = 4
)

func (m *Model) start(now clock.Millis, msg StartMsg) {
	if m.byID[msg.ID] != nil {
		// An answer with this ID would go to the caller of the open query.
		m.emit(EventCmd{timeline.Event{
			Kind: timeline.Refused, Request: msg.ID, Revision: msg.Revision, Rank: msg.Rank.String(), Detail: "duplicate id",
		}})
		return
	}
	q := &openQuery{StartMsg: msg, service: m.services[msg.Service], startedAt: now}
	q.answerAt = msg.Deadline - min(answerMarginMs, (msg.Deadline-now)/10)
	m.byID[msg.ID] = q
	totals := m.totals.Ref(q.Rank)
	totals.Queries++
	if q.service == nil {
		m.finish(now, q, "unknown service")
		return
	}
	if q.answerAt <= now {
		q.merge = coverage.NewMerge(0, q.service.keys, len(q.service.groups))
		m.finish(now, q, "deadline")
		return
	}
	groupCount := len(q.service.groups)
	totals.AttemptsNeeded += groupCount
	budget := m.budgets.Ref(q.Rank)
	budget.hedges.refill(float64(groupCount) * q.Policy.HedgeBudgetPercent / 100)
	budget.retries.refill(float64(groupCount) * q.Policy.RetryBudgetPercent / 100)
	q.subrequests = make([]subrequest, groupCount)
	m.setTimer(q.answerAt, timerDeadline, q, 0, 0)
	version, _, _ := m.balancer.BestVersion(now, q.Service)
	m.fanOut(now, q, version, kindFirst)
}

// fanOut starts a pass: it sends one attempt to every group to read the version.
// Version 0 starts the discovery of the versions that the upstreams hold.
func (m *Model) fanOut(now clock.Millis, q *openQuery, version uint64, kind attemptKind) {
	q.version = version
	q.merge = coverage.NewMerge(version, q.service.keys, len(q.service.groups))
	q.unsettled = len(q.subrequests)
	q.epochRetries = 0
	if version == 0 {
		q.discoveryEnd = now + (q.answerAt-now)/discoveryTimeDivisor
		m.setTimer(q.discoveryEnd, timerDiscovery, q, 0, 0)
	}
	for g := range q.subrequests {
		q.subrequests[g] = subrequest{}
		up, ok := m.balancer.PickForVersion(now, q.Service, q.service.groups[g], version, nil)
		if !ok {
			m.failGroup(q, g, "no upstream")
			continue
		}
		m.send(now, q, g, up, kind)
	}
	m.advance(now, q)
}

func (m *Model) send(now clock.Millis, q *openQuery, g int, up upstream.ID, kind attemptKind) {
	sub := &q.subrequests[g]
	a := m.attempts.add(openAttempt{q: q, group: g, up: up, kind: kind, version: q.version, sentAt: now})
	sub.openSeqs[sub.openCount] = a.seq
	sub.openCount++
	sub.attempts++
	sub.recordTried(up)
	q.attempts++
	m.countAttempt(q, kind)
	m.balancer.RecordSent(now, up)
	m.emit(SendCmd{attempt.Request{
		ID: m.attemptID(a.seq), Upstream: string(up), Kind: attempt.Query, Service: q.Service, Group: q.service.groups[g],
		Rank: q.Rank, Priority: q.Priority, Deadline: q.answerAt, Version: q.version, Body: q.Body, Customer: q.Customer,
	}})
	if q.version != 0 && sub.openCount < maxOpenAttempts {
		m.setTimer(now+m.hedgeDelay(now, q, up, kind == kindHedge), timerHedge, q, g, a.seq)
	}
}

func (m *Model) countAttempt(q *openQuery, kind attemptKind) {
	totals := m.totals.Ref(q.Rank)
	totals.Sent++
	switch kind {
	case kindHedge:
		totals.Hedges++
	case kindRetry:
		totals.Retries++
	case kindRestart:
		totals.Restarts++
	case kindEpochRetry:
		totals.EpochRetries++
	}
}

// recordTried adds an upstream to the list of those tried, most recent last.
func (sub *subrequest) recordTried(up upstream.ID) {
	n := int(sub.triedCount)
	for i := range n {
		if sub.tried[i] == up {
			copy(sub.tried[i:n], sub.tried[i+1:n])
			sub.tried[n-1] = up
			return
		}
	}
	if n == maxAttempts {
		copy(sub.tried[:], sub.tried[1:])
		n--
	}
	sub.tried[n] = up
	sub.triedCount = int8(n + 1)
}

func (sub *subrequest) removeOpen(seq uint64) {
	for i := range sub.openCount {
		if sub.openSeqs[i] == seq {
			sub.openCount--
			sub.openSeqs[i] = sub.openSeqs[sub.openCount]
			return
		}
	}
}
