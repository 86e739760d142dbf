package relay

import "lentillink.example/lentillink/clock"

// hedgeFraction is the part of the time to the target that passes before a
// hedge, if the reply is overdue sooner: work with much time left is not sent twice.
const hedgeFraction = 3

// place sends a part, lets it wait, or gives it up if there is no upstream.
func (m *Model) place(now clock.Millis, p *part) {
	if p.resolved || p.req.answered {
		return
	}
	u, any := m.choose(now, p, false)
	switch {
	case u != nil:
		m.send(now, p, u)
	case any:
		p.queued = true
		p.service.waiting = append(p.service.waiting, p)
	default:
		m.giveUp(now, p)
	}
}

func (m *Model) send(now clock.Millis, p *part, u *upstream) {
	st := m.stats(p.req.route)
	m.nextID++
	a := &attempt{id: m.nextID, part: p, upstream: u, sentAt: now, patience: st.patience(u.slowness(now))}
	a.hedgeAt = now + max(a.patience, (p.req.answerAt-now)/hedgeFraction)
	if p.arrivals > 0 {
		p.service.budget.spend(now)
	}
	p.arrivals++
	p.mayRun++
	p.tried = append(p.tried, u)
	p.open = append(p.open, a)
	p.req.open++
	u.open = append(u.open, a)
	m.attempts[a.id] = a
	m.emit(SendCmd{
		Attempt: a.id, Request: p.req.id, Upstream: u.info.ID, Address: u.info.Address,
		RemainingMs: max(p.req.due-now, 1), Gather: p.req.gathers(), NonIdempotent: !p.req.route.Idempotent,
	})
	if p.req.route.Idempotent {
		m.wake(p.req, a.hedgeAt)
	}
}

// pump sends what waits for a service while lanes are free.
func (m *Model) pump(now clock.Millis, s *service) {
	for len(s.waiting) > 0 {
		p := s.next(now)
		if p == nil {
			return
		}
		u, any := m.choose(now, p, false)
		if u == nil && any {
			return
		}
		s.unqueue(p)
		if u == nil {
			m.giveUp(now, p)
			continue
		}
		m.send(now, p, u)
	}
}

// end forgets an attempt and gives its lane to what waits.
func (m *Model) end(a *attempt) {
	delete(m.attempts, a.id)
	a.upstream.drop(a)
	a.part.drop(a)
	a.part.req.open--
}

// hedge sends overdue parts to a second upstream.
func (m *Model) hedge(now clock.Millis, r *request) {
	if !r.route.Idempotent {
		return
	}
	for _, p := range r.parts {
		if p.resolved || p.hedged || len(p.open) != 1 || p.mayRun >= r.route.MaxAttempts {
			continue
		}
		a := p.open[0]
		if now < a.hedgeAt {
			m.wake(r, a.hedgeAt)
			continue
		}
		if p.service.budget.left(now, m.vms, hedgeShare) < 1 || !m.policies.allows(now, &m.policies.hedges, r.route.Priority) {
			continue
		}
		u, _ := m.choose(now, p, true)
		if u == nil {
			continue
		}
		p.hedged = true
		m.policies.spend(now, &m.policies.hedges, r.route.Priority)
		m.event("hedge", r, u, p.service.name, now-a.sentAt)
		m.send(now, p, u)
	}
}
