package order

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// maxAttempts bounds the attempts under one claim; each must prove not run
// before the next one starts.
const maxAttempts = 2

// replyGraceMs is how long after the deadline the reply of an attempt is still
// awaited: the carrier reports a timeout at the deadline, one hop away.
const replyGraceMs clock.Millis = 50

// lateReplyMs is how long an unknown attempt is remembered, so that a late
// reply can still mark its claim done or release it.
const lateReplyMs = 30 * clock.Second

// send starts the next attempt of a claimed order, or gives the claim up.
func (m *Model) send(now clock.Millis, o *submission) {
	if now >= o.msg.Deadline {
		m.settle(now, o, ReasonDeadline)
		return
	}
	target, ok := m.cfg.picker(now, o.msg.Service, o.msg.Group, o.tried)
	if !ok {
		m.settle(now, o, ReasonNoUpstream)
		return
	}
	o.state = sent
	o.tried = append(o.tried, target)
	o.current = m.cfg.attemptID()
	m.attempts[o.current] = o
	m.wakeAt(o.msg.Deadline+replyGraceMs, timerOrder, o.token.Seq)
	m.emit(SendCmd{Request: m.request(o, target), Token: o.token})
}

func (m *Model) request(o *submission, target upstream.ID) attempt.Request {
	return attempt.Request{
		ID: o.current, Upstream: string(target), Kind: attempt.Order,
		Service: o.msg.Service, Group: o.msg.Group, Rank: o.msg.Rank,
		Deadline: o.msg.Deadline, Body: o.msg.Body, OrderID: o.msg.ID,
	}
}

// settle refuses a claimed order of which every attempt proved not run, and
// releases its claim.
func (m *Model) settle(now clock.Millis, o *submission, reason Reason) {
	m.close(o)
	m.remember(now, o, true, true)
	if o.state != answered {
		m.finish(o, Answer{Outcome: OutcomeRefused, Execution: attempt.NotExecuted, Reason: reason})
	}
}

func (m *Model) close(o *submission) {
	delete(m.open, o.token.Seq)
	delete(m.attempts, o.current)
}

// replied handles the end of an attempt. A second reply finds no attempt and is dropped.
func (m *Model) replied(now clock.Millis, r attempt.Reply) {
	o := m.attempts[r.ID]
	if o == nil {
		return
	}
	delete(m.attempts, r.ID)
	switch {
	case provesNotRun(r):
		m.notRun(now, o)
	case r.Execution == attempt.Executed:
		m.ran(now, o, r)
	default:
		m.close(o)
		m.finishOnce(o, Answer{Outcome: OutcomeUnknown, Execution: attempt.ExecutionUnknown, Reason: ReasonUncertain})
	}
}

func (m *Model) notRun(now clock.Millis, o *submission) {
	if o.state == answered || len(o.tried) >= maxAttempts {
		m.settle(now, o, ReasonUpstreamRefused)
		return
	}
	m.send(now, o)
}

func (m *Model) ran(now clock.Millis, o *submission, r attempt.Reply) {
	m.close(o)
	if m.cfg.doneMarks {
		m.tell(now, m.ranked[o.hash.Partition()][0], ClaimRequestMsg{Op: OpMarkDone, Token: o.token, ID: o.hash, IssuedAt: o.issued})
	}
	outcome := OutcomeDone
	if r.Status != attempt.OK {
		outcome = OutcomeUnknown
	}
	m.finishOnce(o, Answer{Outcome: outcome, Execution: attempt.Executed, Body: r.Body})
}

func (m *Model) finishOnce(o *submission, a Answer) {
	if o.state != answered {
		m.finish(o, a)
	}
}

// replyDue answers an order whose reply did not come in time.
func (m *Model) replyDue(now clock.Millis, o *submission) {
	if now < o.msg.Deadline+replyGraceMs {
		return
	}
	m.finish(o, Answer{Outcome: OutcomeUnknown, Execution: attempt.ExecutionUnknown, Reason: ReasonUncertain})
	o.state = answered
	o.forget = now + lateReplyMs
	m.wakeAt(o.forget, timerOrder, o.token.Seq)
}

// provesNotRun accepts Ran only together with a status that can carry the
// proof; a contradictory reply counts as uncertain.
func provesNotRun(r attempt.Reply) bool {
	if r.Execution != attempt.NotExecuted {
		return false
	}
	switch r.Status {
	case attempt.VersionGone, attempt.Shed, attempt.Leaving, attempt.NotSent, attempt.ConnRefused, attempt.Cancelled,
		attempt.NotCarrier:
		return true
	default:
		return false
	}
}
