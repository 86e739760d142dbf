package relay

import "lentillink.example/lentillink/clock"

// lingerMs is how long attempts go on after the answer. Most end by then, and
// their connections are kept; an upstream must not work for a caller that left
// half a second ago.
const lingerMs clock.Millis = 250

// noUpstreamMs is the time to come back that is stated when a service has no
// upstream: a restart takes seconds.
const noUpstreamMs clock.Millis = 300

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
	case r.done+r.unresolved < r.least():
		m.finish(now, r) // the parts that are missing decide
	case r.carried && now >= r.answerAt && !r.reported:
		m.report(now, r)
		m.advance(now, r)
	case !r.carried && r.gathers() && now >= r.answerAt && r.done >= r.least():
		m.finish(now, r) // waiting for more makes it late
	case now >= r.due:
		m.finish(now, r)
	default:
		m.hedge(now, r)
		m.watchCarriers(now, r)
		if r.gathers() && now < r.answerAt {
			m.wake(r, r.answerAt)
		}
		m.wake(r, r.due)
	}
}

// report hands back what is in when the answer becomes late. The VM that handed
// the request over knows whether that is enough, and that the carrier is alive.
func (m *Model) report(now clock.Millis, r *request) {
	r.reported = true
	a := gathered(r)
	a.Version = r.version
	m.emit(PartialResultCmd{ID: r.id, Answer: a, ExpectedMs: m.expectedFor(now, r)})
}

// finish sends the final answer.
func (m *Model) finish(now clock.Millis, r *request) {
	a := m.answer(now, r)
	a.Route, a.Version, a.TookMs, a.Late = r.route.Name, r.version, now-r.arrived, now > r.answerAt
	m.conclude(now, r, a)
}

// conclude gives the final answer to the caller.
func (m *Model) conclude(now clock.Millis, r *request, a Answer) {
	m.settled(now, r)
	m.withdrawGroups(r)
	cmd := AnswerCmd{ID: r.id, Answer: a}
	if r.carried {
		cmd.ExpectedMs = m.expectedFor(now, r)
	}
	m.emit(cmd)
	if a.Outcome > Gathered || a.Missing > 0 || a.Late {
		m.event("answer_"+a.Outcome.String(), r, nil, a.Reason, a.TookMs)
	}
	m.release(now, r)
}

// settled notes that nobody waits for a request any more.
func (m *Model) settled(now clock.Millis, r *request) {
	r.answered, r.answeredAt = true, now
	*m.policies.open.Ref(rankOf(r.route.Priority))--
}

func (m *Model) answer(now clock.Millis, r *request) Answer {
	if r.done >= r.least() {
		if r.gathers() {
			return gathered(r)
		}
		return Answer{Outcome: Relayed, Reply: *r.parts[0].reply}
	}
	late := now >= r.due
	switch {
	case !r.ran() && r.open == 0:
		a := Answer{Outcome: Refused, Reason: "no_upstream", RetryAfterMs: m.comeBack(max(noUpstreamMs, r.refusedMs), r.due-now)}
		if late {
			a.Reason = "waited_too_long"
		}
		return a
	case !r.gathers() && r.parts[0].last != nil && r.open == 0:
		return Answer{Outcome: Relayed, Reply: *r.parts[0].last, Reason: "upstream_failed"}
	case late:
		return Answer{Outcome: TimedOut, Reason: "timeout"}
	default:
		return Answer{Outcome: Failed, Reason: "upstreams_failed"}
	}
}

// release forgets an answered request once its attempts have ended, and ends
// those of requests that may repeat when they have lingered.
func (m *Model) release(now clock.Millis, r *request) {
	if r.open == 0 {
		delete(m.requests, r.id)
		return
	}
	end := r.answeredAt + lingerMs
	if now < end {
		m.wake(r, end)
		return
	}
	if !r.route.Idempotent && !m.expired(now, r) {
		// Work that must not repeat is left to finish within its own time.
		m.wake(r, r.due+lingerMs)
		return
	}
	for _, p := range r.parts {
		for len(p.open) > 0 {
			a := p.open[0]
			m.end(a)
			a.upstream.failed(now)
			m.emit(CancelCmd{Attempt: a.id})
			m.pump(now, p.service)
		}
	}
	delete(m.requests, r.id)
}

func (m *Model) expired(now clock.Millis, r *request) bool { return now >= r.due+lingerMs }
