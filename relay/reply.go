package relay

import "lentillink.example/lentillink/clock"

func (m *Model) replied(now clock.Millis, msg ReplyMsg) {
	a := m.attempts[msg.Attempt]
	if a == nil {
		return
	}
	m.end(a)
	p, u, rep := a.part, a.upstream, msg.Reply
	switch {
	case rep.NotRun:
		p.mayRun--
		m.notRun(now, a, rep)
	case rep.Status >= 500:
		u.failed(now)
		p.last = &rep
	default:
		took := now - a.sentAt
		st := m.stats(p.req.route)
		u.measured(now, float64(max(took, 1))/st.typical)
		st.add(took)
		p.last = &rep
	}
	m.settle(now, p, rep)
	m.pump(now, u.service)
	m.advance(now, p.req)
}

// notRun takes back an attempt that the upstream states it did not run.
func (m *Model) notRun(now clock.Millis, a *attempt, rep Reply) {
	u := a.upstream
	if rep.WrongUpstream {
		// Another upstream has the address, so this one is gone. Each further
		// attempt would count as work for the service of the new owner.
		m.event("address_reused", a.part.req, u, u.info.Address, now-a.sentAt)
		if m.upstreams[u.info.ID] == u {
			m.removeUpstream(now, u.info.ID)
		}
		return
	}
	u.shed(now)
	m.event("upstream_shed", a.part.req, u, a.part.service.name, now-a.sentAt)
}

// settle takes the reply as the part's result, or tries again.
func (m *Model) settle(now clock.Millis, p *part, rep Reply) {
	if p.resolved || p.req.answered {
		return
	}
	good := !rep.NotRun && rep.Status < 500
	if p.req.gathers() {
		good = !rep.NotRun && rep.success()
	}
	if good {
		p.resolved, p.reply = true, &rep
		p.req.done++
		p.req.unresolved--
		return
	}
	m.retry(now, p)
}

func (m *Model) attemptFailed(now clock.Millis, msg AttemptFailedMsg) {
	a := m.attempts[msg.Attempt]
	if a == nil {
		return
	}
	m.end(a)
	p, u := a.part, a.upstream
	if msg.NotSent {
		p.mayRun--
		p.arrivals--
	}
	u.failed(now)
	m.event("attempt_failed", p.req, u, msg.Cause, now-a.sentAt)
	m.retry(now, p)
	m.pump(now, u.service)
	m.advance(now, p.req)
}

// retry places a part again if it may run again, the budget allows it and an
// upstream is left.
func (m *Model) retry(now clock.Millis, p *part) {
	if p.resolved || p.req.answered || len(p.open) > 0 {
		return
	}
	r := p.req
	repeatable := r.route.Idempotent || p.mayRun == 0
	switch {
	case !repeatable, p.mayRun >= max(r.route.MaxAttempts, 1), now >= r.due:
		m.giveUp(now, p)
	case p.arrivals > 0 && (p.service.budget.left(now, m.vms, 1) < 1 || !m.policies.allows(now, &m.policies.retries, r.route.Priority)):
		m.event("retry_denied", r, nil, p.service.name, now-r.arrived)
		m.giveUp(now, p)
	default:
		if p.arrivals > 0 {
			m.policies.spend(now, &m.policies.retries, r.route.Priority)
		}
		m.place(now, p)
	}
}

// giveUp resolves a part without a reply.
func (m *Model) giveUp(now clock.Millis, p *part) {
	if p.resolved || len(p.open) > 0 {
		return
	}
	p.resolved = true
	p.req.unresolved--
	m.event("part_missing", p.req, nil, p.service.name, now-p.req.arrived)
}

func (m *Model) callerGone(now clock.Millis, id uint64) {
	r := m.requests[id]
	if r == nil {
		return
	}
	r.gone = true
	if r.answered {
		return
	}
	if !r.carried { // a VM that handed shards over withdraws them as a rule
		m.event("caller_gone", r, nil, "", now-r.arrived)
	}
	m.settled(now, r)
	m.withdrawGroups(r)
	m.release(now, r)
}
