package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// hedgeBudgetShare is the share of the budget that hedges may use. The rest is reserved
// for retries, each of which prevents a failed answer.
const hedgeBudgetShare = 0.8

// hedgeTargetDivisor divides the time to the target; the result is the minimum delay
// of a hedge, even if the reply is overdue sooner. This avoids a second attempt while
// much time is left.
const hedgeTargetDivisor = 3

// dispatch sends a sub-request, queues it, or gives up if there is no upstream.
func (m *Model) dispatch(now clock.Millis, sub *subrequest) {
	if sub.resolved || sub.req.answered {
		return
	}
	u, available := m.chooseUpstream(now, sub, false)
	switch {
	case u != nil:
		m.send(now, sub, u)
	case available && len(sub.refusals) > 0:
		m.pause(sub, sub.refusalsEnd(now))
	case available:
		sub.queued = true
		sub.service.queue = append(sub.service.queue, sub)
		if sub.heldUntil = sub.service.heldUntil(now); sub.heldUntil > 0 {
			m.wake(sub.req, sub.heldUntil)
		}
	default:
		m.giveUp(now, sub, "no_upstream")
	}
}

func (m *Model) send(now clock.Millis, sub *subrequest, u *upstream) {
	m.nextID++
	a := &attempt{id: m.nextID, subrequest: sub, upstream: u, sentAt: now, overdueAfter: m.overdueAfter(sub.req, u.slowness(now)), expiresAt: sub.req.deadline}
	a.hedgeAt = now + max(a.overdueAfter, (sub.req.targetAt-now)/hedgeTargetDivisor)
	if sub.deliveries > 0 {
		sub.service.budget.Spend(now)
	}
	u.warming.schedule.Spend(now)
	sub.req.share.Charge(now, sub.shareCost())
	sub.deliveries++
	sub.possibleRuns++
	m.recordUse(sub, u)
	sub.open = append(sub.open, a)
	sub.req.openAttempts++
	u.open = append(u.open, a)
	u.startNext(now)
	m.attempts[a.id] = a
	m.emit(SendCmd{
		Attempt: a.id, Request: sub.req.id, Upstream: u.info.ID, Address: u.info.Address,
		RemainingMs: max(sub.req.deadline-now, 1), Gather: sub.req.gathers(), NonIdempotent: !sub.req.route.Idempotent,
		Customer: sub.req.customer,
	})
	if sub.req.route.Idempotent {
		m.wake(sub.req, a.hedgeAt)
	}
}

// dispatchQueued sends queued sub-requests of a service while the attempt limits
// allow.
func (m *Model) dispatchQueued(now clock.Millis, s *service) {
	var givenUp []*request
	for len(s.queue) > 0 {
		sub := s.next(now)
		if sub == nil {
			break
		}
		u, available := m.chooseUpstream(now, sub, false)
		if u == nil && available {
			break
		}
		s.dequeue(sub)
		if u == nil {
			m.giveUp(now, sub, "no_upstream")
			givenUp = append(givenUp, sub.req)
			continue
		}
		m.send(now, sub, u)
	}
	m.dispatchHedges(now, s)
	for _, r := range givenUp {
		m.settle(now, r) // the request may have nothing left to wait for
	}
}

// endAttempt removes an attempt from the state, which frees its place at the
// upstream.
func (m *Model) endAttempt(a *attempt) {
	delete(m.attempts, a.id)
	a.upstream.removeAttempt(a)
	a.upstream.startNext(m.now)
	a.subrequest.removeAttempt(a)
	a.subrequest.req.openAttempts--
}

// hedge sends overdue sub-requests to a second upstream.
func (m *Model) hedge(now clock.Millis, r *request) {
	for _, sub := range r.subrequests {
		if !sub.mayHedge() {
			continue
		}
		a := sub.open[0]
		if now < a.hedgeAt {
			m.wake(r, a.hedgeAt)
			continue
		}
		m.silentUpstream(now, a)
		m.sendHedge(now, sub)
	}
}

// mayHedge reports whether a second attempt beside the open one is allowed.
func (sub *subrequest) mayHedge() bool {
	r := sub.req
	return r.route.Idempotent && !r.answered && !sub.resolved && !sub.hedged && len(sub.open) == 1 && sub.possibleRuns < r.route.MaxAttempts
}

// sendHedge sends the hedge of an overdue sub-request if the budgets allow it. If the other
// upstreams have no free place, it waits for one.
func (m *Model) sendHedge(now clock.Millis, sub *subrequest) {
	r := sub.req
	if sub.service.budget.Remaining(now, m.allowancePart(now, sub.service), hedgeBudgetShare) < 1 || !m.policies.allows(now, &m.policies.hedges, r.route.Priority) {
		return
	}
	u, available := m.chooseUpstream(now, sub, true)
	if u == nil {
		if available && !sub.hedgeWaits {
			sub.hedgeWaits = true
			sub.service.waitingHedges = append(sub.service.waitingHedges, sub)
		}
		return
	}
	sub.hedged = true
	m.policies.spend(now, &m.policies.hedges, r.route.Priority)
	m.event("hedge", r, u, sub.service.name, now-sub.open[0].sentAt)
	m.send(now, sub, u)
}

// dispatchHedges sends hedges that wait for a free place, the most urgent first. First
// attempts that wait go before them.
func (m *Model) dispatchHedges(now clock.Millis, s *service) {
	if len(s.waitingHedges) == 0 || len(s.queue) > 0 || now < m.catchUpUntil {
		return
	}
	waiting := s.waitingHedges
	s.waitingHedges = nil
	slices.SortFunc(waiting, func(a, b *subrequest) int {
		switch {
		case a.precedes(now, b):
			return -1
		case b.precedes(now, a):
			return 1
		}
		return 0
	})
	for _, sub := range waiting {
		sub.hedgeWaits = false
		if sub.mayHedge() {
			m.sendHedge(now, sub)
		}
	}
}
