package relay

import "lentillink.example/lentillink/clock"

// attemptGraceMs is how long open attempts may continue after the answer. Most end
// within that time, and their connections can be reused. It is less than half a
// second, after which no upstream may still work for a disconnected caller.
const attemptGraceMs clock.Millis = 250

// noUpstreamRetryMs is the retry delay returned when a service has no upstream: a
// restart takes seconds.
const noUpstreamRetryMs clock.Millis = 300

// settle answers a request that has nothing left to wait for. Any other request is left to
// the next TickMsg, which comes after the messages that are already queued.
func (m *Model) settle(now clock.Millis, r *request) {
	if m.requests[r.id] == r && !m.finishSettled(now, r) {
		m.wake(r, now)
	}
}

// finishSettled answers a request that has nothing left to wait for, and releases one that
// is answered. It reports whether the request was one of these.
func (m *Model) finishSettled(now clock.Millis, r *request) bool {
	switch {
	case r.answered:
		m.release(now, r)
	case r.unresolved == 0:
		m.finish(now, r)
	case r.succeeded+r.unresolved < r.requiredReplies():
		m.finish(now, r) // too many replies are missing
	default:
		return false
	}
	return true
}

// advance answers a request that has nothing left to wait for or whose time is up.
// Otherwise it sends hedges, checks the carriers and sets the next timers.
func (m *Model) advance(now clock.Millis, r *request) {
	if m.finishSettled(now, r) {
		return
	}
	if r.delegated && now >= r.targetAt && !r.partialSent {
		m.sendPartialResult(now, r)
	}
	enough := !r.delegated && r.gathers() && r.succeeded >= r.requiredReplies()
	if now >= r.deadline || now >= r.targetAt && enough {
		m.finish(now, r) // waiting for more replies would miss the target
		return
	}
	m.dispatchHeld(now, r)
	m.resumePaused(now, r)
	if now < m.catchUpUntil {
		m.wake(r, m.catchUpUntil)
	} else {
		m.hedge(now, r)
		m.checkCarriers(now, r)
	}
	if r.gathers() && now < r.targetAt {
		m.wake(r, r.targetAt)
	}
	m.wake(r, r.deadline)
}

// sendPartialResult sends the replies gathered up to the target time. The VM that
// delegated the request decides whether they are enough. The message also shows it
// that this carrier is alive.
func (m *Model) sendPartialResult(now clock.Millis, r *request) {
	r.partialSent = true
	a := mergeReplies(r)
	a.Version = r.version
	m.emit(PartialResultCmd{ID: r.id, Answer: a, ExpectedMs: m.estimateRequest(now, r), Throttled: m.throttledNow(now)})
}

// finish builds and sends the final answer.
func (m *Model) finish(now clock.Millis, r *request) {
	a := m.buildAnswer(now, r)
	a.Route, a.Version, a.TookMs, a.Late = r.route.Name, r.version, now-r.arrived, now > r.targetAt
	m.sendAnswer(now, r, a)
}

// sendAnswer sends the final answer and cancels the open delegations.
func (m *Model) sendAnswer(now clock.Millis, r *request, a Answer) {
	m.markAnswered(now, r)
	m.cancelDelegations(r)
	cmd := AnswerCmd{ID: r.id, Answer: a}
	if r.delegated {
		cmd.ExpectedMs, cmd.Throttled = m.estimateRequest(now, r), m.throttledNow(now)
	}
	if a.Outcome > Gathered || a.Missing > 0 || a.Late {
		// Logged before the answer is sent, so that the log explains every answer that a
		// caller has.
		m.event("answer_"+a.Outcome.String(), r, nil, a.Reason, a.TookMs)
	}
	m.emit(cmd)
	m.release(now, r)
}

// markAnswered records that no caller waits for the request any more.
func (m *Model) markAnswered(now clock.Millis, r *request) {
	r.answered, r.answeredAt = true, now
	m.returnCredit(r)
	*m.policies.open.Ref(rankOf(r.route.Priority))--
}

func (m *Model) buildAnswer(now clock.Millis, r *request) Answer {
	if r.succeeded >= r.requiredReplies() {
		if r.gathers() {
			return mergeReplies(r)
		}
		return r.relayed(*r.subrequests[0].reply, "")
	}
	deadlinePassed := now >= r.deadline
	switch {
	case !r.mayHaveRun() && r.openAttempts == 0:
		a := refusal(r, unavailableReason(r.subrequests), m.retryAfterHold(now, r, max(noUpstreamRetryMs, r.retryAfterMs)))
		if deadlinePassed {
			a.Reason = waitedTooLong
		}
		return a
	case !r.gathers() && r.subrequests[0].lastFailure != nil && r.openAttempts == 0:
		return r.relayed(*r.subrequests[0].lastFailure, "upstream_failed")
	case deadlinePassed:
		return Answer{Outcome: TimedOut, Reason: "timeout"}
	default:
		return Answer{Outcome: Failed, Reason: "upstreams_failed"}
	}
}

// relayed returns an answer that passes on a reply. To the caller of a request that may not
// be repeated some statuses promise that it has not run, so they need the upstream's word
// for it.
func (r *request) relayed(reply Reply, reason string) Answer {
	if !r.route.Idempotent && !reply.NotRun && promisesNotRun(reply.Status) {
		return Answer{Outcome: Failed, Reason: "unproven_refusal"}
	}
	return Answer{Outcome: Relayed, Reply: reply, Reason: reason}
}

// release deletes an answered request once its attempts have ended. After the
// grace period it cancels the attempts of idempotent requests.
func (m *Model) release(now clock.Millis, r *request) {
	if r.openAttempts == 0 {
		delete(m.requests, r.id)
		return
	}
	end := r.answeredAt + attemptGraceMs
	if now < end {
		m.wake(r, end)
		return
	}
	if !r.route.Idempotent && !m.graceExpired(now, r) {
		// Attempts of non-idempotent requests may finish until the request's deadline.
		m.wake(r, r.deadline+attemptGraceMs)
		return
	}
	for _, sub := range r.subrequests {
		for len(sub.open) > 0 {
			a := sub.open[0]
			m.endAttempt(a)
			m.learnCut(now, a)
			if a.isOverdue(now) {
				a.upstream.recordFailure(now)
				m.silentUpstream(now, a)
			}
			m.emit(CancelCmd{Attempt: a.id})
			m.dispatchQueued(now, sub.service)
		}
	}
	delete(m.requests, r.id)
}

func (m *Model) graceExpired(now clock.Millis, r *request) bool {
	return now >= r.deadline+attemptGraceMs
}
