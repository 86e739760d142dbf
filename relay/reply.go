package relay

import "lentillink.example/lentillink/clock"

func (m *Model) handleReply(now clock.Millis, msg ReplyMsg) {
	a := m.attempts[msg.Attempt]
	if a == nil {
		return
	}
	m.endAttempt(a)
	sub, u, reply := a.subrequest, a.upstream, msg.Reply
	m.heardFrom(now, u.info.DataCentre)
	m.recordNotice(now, u, reply)
	m.endSuspicion(now, u)
	switch {
	case reply.NotRun:
		sub.recordNotRun(u)
		m.handleNotRun(now, a, reply)
	case reply.Status >= 500:
		if !a.cutShort(now) {
			u.recordFailure(now)
		}
		sub.lastFailure = &reply
	default:
		u.recordLatency(now, m.learn(now, a))
		m.statsFor(sub.req.route).add(now - a.sentAt)
		sub.lastFailure = &reply
	}
	m.resolve(now, sub, reply)
	m.dispatchQueued(now, u.service)
	m.settle(now, sub.req)
}

// handleNotRun handles an attempt that the upstream reports not to have run.
func (m *Model) handleNotRun(now clock.Millis, a *attempt, reply Reply) {
	u := a.upstream
	if reply.WrongUpstream {
		// The address now belongs to another upstream, so this one is gone. Each further
		// attempt would count as load of the new owner's service.
		m.event("address_reused", a.subrequest.req, u, u.info.Address, now-a.sentAt)
		if m.upstreams[u.info.ID] == u {
			m.removeUpstream(now, u.info.ID, u.era)
		}
		return
	}
	if a.cutShort(now) {
		return
	}
	u.recordShed(now)
	if holdTime(reply) == 0 { // one that names a time is left to other requests after it
		a.subrequest.recordShed(u)
	}
	m.event("upstream_shed", a.subrequest.req, u, a.subrequest.service.name, now-a.sentAt)
}

// resolve accepts the reply as the result of the sub-request, or retries.
func (m *Model) resolve(now clock.Millis, sub *subrequest, reply Reply) {
	if sub.resolved || sub.req.answered {
		return
	}
	success := !reply.NotRun && reply.Status < 500
	if sub.req.gathers() {
		success = !reply.NotRun && reply.success()
	}
	if success {
		sub.resolved, sub.reply = true, &reply
		sub.req.succeeded++
		sub.req.unresolved--
		return
	}
	m.retry(now, sub)
}

func (m *Model) handleAttemptFailure(now clock.Millis, msg AttemptFailedMsg) {
	a := m.attempts[msg.Attempt]
	if a == nil {
		return
	}
	m.endAttempt(a)
	sub, u := a.subrequest, a.upstream
	if msg.NotSent {
		sub.recordNotRun(u)
		sub.deliveries--
	}
	u.recordFailure(now)
	if a.isOverdue(now) {
		m.silentUpstream(now, a)
	}
	m.suspectRestart(now, u)
	m.event("attempt_failed", sub.req, u, msg.Cause, now-a.sentAt)
	m.retry(now, sub)
	m.dispatchQueued(now, u.service)
	m.settle(now, sub.req)
}

// retry sends a sub-request again if it may be repeated, the budget allows it and an
// untried upstream is left.
func (m *Model) retry(now clock.Millis, sub *subrequest) { m.retryWithin(now, sub, true) }

// retryWithin is retry. With byPreset set, the active preset bounds the retry too.
func (m *Model) retryWithin(now clock.Millis, sub *subrequest, byPreset bool) {
	if sub.resolved || sub.req.answered || len(sub.open) > 0 {
		return
	}
	r := sub.req
	repeatable := r.route.Idempotent || sub.possibleRuns == 0
	switch {
	case !repeatable:
		m.giveUp(now, sub, "not_repeatable")
	case sub.possibleRuns >= max(r.route.MaxAttempts, 1):
		m.giveUp(now, sub, "max_attempts")
	case now >= r.deadline:
		m.giveUp(now, sub, "deadline")
	case sub.deliveries > 0 && (sub.service.budget.Remaining(now, m.allowancePart(now, sub.service), 1) < 1 || byPreset && !m.policies.allows(now, &m.policies.retries, r.route.Priority)):
		m.event("retry_denied", r, nil, sub.service.name, now-r.arrived)
		m.giveUp(now, sub, "budget")
	default:
		if sub.deliveries > 0 && byPreset {
			m.policies.spend(now, &m.policies.retries, r.route.Priority)
		}
		m.dispatch(now, sub)
	}
}

// giveUp resolves a sub-request without a reply. The cause is logged.
func (m *Model) giveUp(now clock.Millis, sub *subrequest, cause string) {
	if sub.resolved || len(sub.open) > 0 {
		return
	}
	sub.resolved = true
	sub.req.unresolved--
	m.emit(EventCmd{Event: Event{
		Kind: "part_missing", Request: sub.req.name, Route: sub.req.route.Name, Version: sub.req.version, Customer: sub.req.customer,
		Detail: sub.service.name, Cause: cause, AgeMs: now - sub.req.arrived,
	}})
}

func (m *Model) handleCallerDisconnected(now clock.Millis, id uint64) {
	r := m.requests[id]
	if r == nil {
		m.cancelParked(now, id)
		return
	}
	r.callerDisconnected = true
	if r.answered {
		return
	}
	if !r.delegated { // a VM that delegated shards cancels them in normal operation
		m.event("caller_gone", r, nil, "", now-r.arrived)
	}
	m.markAnswered(now, r)
	m.cancelDelegations(r)
	m.release(now, r)
}
