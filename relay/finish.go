package relay

import "lentillink.example/lentillink/clock"

// attemptGraceMs is how long attempts go on after the answer. Most end by then, and
// their connections are kept; an upstream must not work for a caller that left
// half a second ago.
const attemptGraceMs clock.Millis = 250

// noUpstreamRetryMs is the time to come back that is stated when a service has no
// upstream: a restart takes seconds.
const noUpstreamRetryMs clock.Millis = 300

// advance answers a request once its answer is due, and looks after it otherwise.
func (m *Model) advance(now clock.Millis, r *request) {
	if m.requests[r.id] != r {
		return
	}
	if r.answered {
		m.release(now, r)
		return
	}
	switch {
	case r.unresolved == 0:
		m.finish(now, r)
	case r.succeeded+r.unresolved < r.requiredReplies():
		m.finish(now, r) // the parts that are missing decide
	case r.delegated && now >= r.targetAt && !r.partialSent:
		m.sendPartialResult(now, r)
		m.advance(now, r)
	case !r.delegated && r.gathers() && now >= r.targetAt && r.succeeded >= r.requiredReplies():
		m.finish(now, r) // waiting for more makes it late
	case now >= r.deadline:
		m.finish(now, r)
	default:
		m.hedge(now, r)
		m.checkCarriers(now, r)
		if r.gathers() && now < r.targetAt {
			m.wake(r, r.targetAt)
		}
		m.wake(r, r.deadline)
	}
}

// sendPartialResult hands back what is in when the answer becomes late. The VM that handed
// the request over knows whether that is enough, and that the carrier is alive.
func (m *Model) sendPartialResult(now clock.Millis, r *request) {
	r.partialSent = true
	a := mergeReplies(r)
	a.Version = r.version
	m.emit(PartialResultCmd{ID: r.id, Answer: a, ExpectedMs: m.estimateRequest(now, r)})
}

// finish sends the final answer.
func (m *Model) finish(now clock.Millis, r *request) {
	a := m.buildAnswer(now, r)
	a.Route, a.Version, a.TookMs, a.Late = r.route.Name, r.version, now-r.arrived, now > r.targetAt
	m.sendAnswer(now, r, a)
}

// sendAnswer gives the final answer to the caller.
func (m *Model) sendAnswer(now clock.Millis, r *request, a Answer) {
	m.markAnswered(now, r)
	m.cancelDelegations(r)
	cmd := AnswerCmd{ID: r.id, Answer: a}
	if r.delegated {
		cmd.ExpectedMs = m.estimateRequest(now, r)
	}
	m.emit(cmd)
	if a.Outcome > Gathered || a.Missing > 0 || a.Late {
		m.event("answer_"+a.Outcome.String(), r, nil, a.Reason, a.TookMs)
	}
	m.release(now, r)
}

// markAnswered notes that nobody waits for a request any more.
func (m *Model) markAnswered(now clock.Millis, r *request) {
	r.answered, r.answeredAt = true, now
	*m.policies.open.Ref(rankOf(r.route.Priority))--
}

func (m *Model) buildAnswer(now clock.Millis, r *request) Answer {
	if r.succeeded >= r.requiredReplies() {
		if r.gathers() {
			return mergeReplies(r)
		}
		return Answer{Outcome: Relayed, Reply: *r.subrequests[0].reply}
	}
	late := now >= r.deadline
	switch {
	case !r.mayHaveRun() && r.openAttempts == 0:
		a := Answer{Outcome: Refused, Reason: "no_upstream", RetryAfterMs: m.retryAfter(max(noUpstreamRetryMs, r.retryAfterMs), r.deadline-now)}
		if late {
			a.Reason = "waited_too_long"
		}
		return a
	case !r.gathers() && r.subrequests[0].lastFailure != nil && r.openAttempts == 0:
		return Answer{Outcome: Relayed, Reply: *r.subrequests[0].lastFailure, Reason: "upstream_failed"}
	case late:
		return Answer{Outcome: TimedOut, Reason: "timeout"}
	default:
		return Answer{Outcome: Failed, Reason: "upstreams_failed"}
	}
}

// release forgets an answered request once its attempts have ended, and ends
// those of requests that may repeat when they have lingered.
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
		// Work that must not repeat is left to finish within its own time.
		m.wake(r, r.deadline+attemptGraceMs)
		return
	}
	for _, sub := range r.subrequests {
		for len(sub.open) > 0 {
			a := sub.open[0]
			m.endAttempt(a)
			a.upstream.recordFailure(now)
			m.emit(CancelCmd{Attempt: a.id})
			m.dispatchQueued(now, sub.service)
		}
	}
	delete(m.requests, r.id)
}

func (m *Model) graceExpired(now clock.Millis, r *request) bool {
	return now >= r.deadline+attemptGraceMs
}
