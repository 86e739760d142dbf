package order

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// maxAttempts bounds the attempts under one claim. The next attempt starts only
// after the previous one was proven not to have executed.
const maxAttempts = 2

// replyGraceMs is how long after the deadline the Model waits for the reply of an
// attempt: the carrier, one network hop away, reports a timeout at the deadline.
const replyGraceMs clock.Millis = 50

// lateReplyMs is how long an order that was answered as unknown is kept, so that
// a late reply can still mark its claim done or release it.
const lateReplyMs = 30 * clock.Second

// startAttempt starts the next attempt of a claimed order, or refuses the order
// if its deadline has passed or no upstream is available.
func (m *Model) startAttempt(now clock.Millis, o *submission) {
	if now >= o.msg.Deadline {
		m.refuseAndRelease(now, o, ReasonDeadline)
		return
	}
	target, ok := m.cfg.picker(now, o.msg.Service, o.msg.Group, o.triedUpstreams)
	if !ok {
		m.refuseAndRelease(now, o, ReasonNoUpstream)
		return
	}
	o.state = stateSent
	o.triedUpstreams = append(o.triedUpstreams, target)
	o.currentAttempt = m.cfg.attemptID()
	m.attempts[o.currentAttempt] = o
	m.setTimer(o.msg.Deadline+replyGraceMs, timerSubmission, o.token.Seq)
	m.emit(SendCmd{Request: m.request(o, target), Token: o.token})
}

func (m *Model) request(o *submission, target upstream.ID) attempt.Request {
	return attempt.Request{
		ID: o.currentAttempt, Upstream: string(target), Kind: attempt.Order,
		Service: o.msg.Service, Group: o.msg.Group, Rank: o.msg.Rank,
		Deadline: o.msg.Deadline, Body: o.msg.Body, OrderID: o.msg.ID, Customer: o.msg.Customer,
	}
}

// refuseAndRelease refuses a claimed order and releases its claim. It is called
// only when every attempt was proven not to have executed.
func (m *Model) refuseAndRelease(now clock.Millis, o *submission, reason Reason) {
	m.remove(o)
	m.trackRelease(now, o, true, true)
	if o.state != stateAnswered {
		m.finish(o, Answer{Outcome: OutcomeRefused, Execution: attempt.NotExecuted, Reason: reason})
	}
}

func (m *Model) remove(o *submission) {
	delete(m.submissions, o.token.Seq)
	delete(m.attempts, o.currentAttempt)
}

// handleAttemptReply handles the end of an attempt. A duplicate reply matches no
// attempt and is dropped.
func (m *Model) handleAttemptReply(now clock.Millis, r attempt.Reply) {
	o := m.attempts[r.ID]
	if o == nil {
		return
	}
	delete(m.attempts, r.ID)
	switch {
	case provesNotExecuted(r):
		m.retryOrRefuse(now, o)
	case r.Execution == attempt.Executed:
		m.handleExecuted(now, o, r)
	default:
		m.remove(o)
		m.finishIfUnanswered(o, Answer{Outcome: OutcomeUnknown, Execution: attempt.ExecutionUnknown, Reason: ReasonUncertain})
	}
}

func (m *Model) retryOrRefuse(now clock.Millis, o *submission) {
	if o.state == stateAnswered || len(o.triedUpstreams) >= maxAttempts {
		m.refuseAndRelease(now, o, ReasonUpstreamRefused)
		return
	}
	m.startAttempt(now, o)
}

func (m *Model) handleExecuted(now clock.Millis, o *submission, r attempt.Reply) {
	m.remove(o)
	if m.cfg.doneMarks {
		m.sendToOwner(now, m.candidates[o.hash.Partition()][0], ClaimRequestMsg{Op: OpMarkDone, Token: o.token, ID: o.hash, IssuedAt: o.issuedAt})
	}
	outcome := OutcomeDone
	if r.Status != attempt.OK {
		outcome = OutcomeUnknown
	}
	m.finishIfUnanswered(o, Answer{Outcome: outcome, Execution: attempt.Executed, Body: r.Body})
}

func (m *Model) finishIfUnanswered(o *submission, a Answer) {
	if o.state != stateAnswered {
		m.finish(o, a)
	}
}

// checkReplyTimeout answers an order as unknown if its reply is overdue.
func (m *Model) checkReplyTimeout(now clock.Millis, o *submission) {
	if now < o.msg.Deadline+replyGraceMs {
		return
	}
	m.finish(o, Answer{Outcome: OutcomeUnknown, Execution: attempt.ExecutionUnknown, Reason: ReasonUncertain})
	o.state = stateAnswered
	o.removeAt = now + lateReplyMs
	m.setTimer(o.removeAt, timerSubmission, o.token.Seq)
}

// provesNotExecuted reports whether r proves that the attempt was not executed.
// NotExecuted counts only together with a status that allows it; a contradictory
// reply counts as uncertain.
func provesNotExecuted(r attempt.Reply) bool {
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
