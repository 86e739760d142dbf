package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	// maxOpen bounds the attempts of one group that are open at once.
	maxOpen = 3
	// maxTries bounds the attempts of one group in one pass.
	maxTries = 6
	// An answer is sent this long before the deadline, or a tenth of the
	// time if that is less, so that it reaches the caller in time.
	answerMarginMs = 5
	// Learning the held versions may take this part of the remaining time.
	learnShare = 4
)

func (m *Model) start(now clock.Millis, msg StartMsg) {
	if m.byID[msg.ID] != nil {
		// An answer under this ID would reach the first caller.
		m.emit(EventCmd{timeline.Event{
			Kind: timeline.Refused, Request: msg.ID, Revision: msg.Revision, Rank: msg.Rank.String(), Detail: "duplicate id",
		}})
		return
	}
	q := &openQuery{StartMsg: msg, service: m.services[msg.Service], startAt: now}
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
	needed := len(q.service.groups)
	totals.Needed += needed
	budget := m.budgets.Ref(q.Rank)
	budget.hedges.earn(float64(needed) * q.Policy.HedgeBudgetPercent / 100)
	budget.retries.earn(float64(needed) * q.Policy.RetryBudgetPercent / 100)
	q.parts = make([]part, needed)
	m.wake(q.answerAt, timerDeadline, q, 0, 0)
	version, _, _ := m.book.BestVersion(now, q.Service)
	m.fanOut(now, q, version, tryNeeded)
}

// fanOut sends one attempt to every group at the version.
func (m *Model) fanOut(now clock.Millis, q *openQuery, version uint64, kind tryKind) {
	q.version = version
	q.merge = coverage.NewMerge(version, q.service.keys, len(q.service.groups))
	q.waiting = len(q.parts)
	q.reasks = 0
	if version == 0 {
		q.learnBy = now + (q.answerAt-now)/learnShare
		m.wake(q.learnBy, timerLearn, q, 0, 0)
	}
	for g := range q.parts {
		q.parts[g] = part{}
		up, ok := m.book.PickVersion(now, q.Service, q.service.groups[g], version, nil)
		if !ok {
			m.giveUp(q, g, "no upstream")
			continue
		}
		m.send(now, q, g, up, kind)
	}
	m.checkSettled(now, q)
}

func (m *Model) send(now clock.Millis, q *openQuery, g int, up upstream.ID, kind tryKind) {
	p := &q.parts[g]
	t := m.slots.add(try{q: q, group: g, up: up, kind: kind, version: q.version, sentAt: now})
	p.open[p.nOpen] = t.seq
	p.nOpen++
	p.tries++
	p.noteTried(up)
	q.attempts++
	m.count(q, kind)
	m.book.Sent(now, up)
	m.emit(SendCmd{attempt.Request{
		ID: m.id(t.seq), Upstream: string(up), Kind: attempt.Query, Service: q.Service, Group: q.service.groups[g],
		Rank: q.Rank, Priority: q.Priority, Deadline: q.answerAt, Version: q.version, Body: q.Body,
	}})
	if q.version != 0 && p.nOpen < maxOpen {
		m.wake(now+m.hedgeDelay(now, q, up, kind == tryHedge), timerHedge, q, g, t.seq)
	}
}

func (m *Model) count(q *openQuery, kind tryKind) {
	totals := m.totals.Ref(q.Rank)
	totals.Sent++
	switch kind {
	case tryHedge:
		totals.Hedges++
	case tryRetry:
		totals.Retries++
	case tryRestart:
		totals.Restarts++
	case tryReask:
		totals.EpochRetries++
	}
}

// noteTried keeps the upstreams tried, the latest one last.
func (p *part) noteTried(up upstream.ID) {
	n := int(p.nTried)
	for i := range n {
		if p.tried[i] == up {
			copy(p.tried[i:n], p.tried[i+1:n])
			p.tried[n-1] = up
			return
		}
	}
	if n == maxTries {
		copy(p.tried[:], p.tried[1:])
		n--
	}
	p.tried[n] = up
	p.nTried = int8(n + 1)
}

func (p *part) close(seq uint64) {
	for i := range p.nOpen {
		if p.open[i] == seq {
			p.nOpen--
			p.open[i] = p.open[p.nOpen]
			return
		}
	}
}
