package order

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

type submissionState uint8

const (
	stateClaiming submissionState = iota // no attempt sent
	stateSent                            // one attempt is outstanding
	stateAnswered                        // answered as unknown; a late reply may still release the claim or mark it done
)

// submission is an open order that a caller submitted to this VM.
type submission struct {
	msg            SubmitMsg
	token          Token
	hash           Hash
	issuedAt       clock.Millis
	state          submissionState
	tries          int  // consecutive claim requests without a response
	retried        bool // the claim was requested more than once, so another owner may still have it queued
	retryAt        clock.Millis
	removeAt       clock.Millis
	triedUpstreams []upstream.ID
	currentAttempt attempt.ID
}

// triesPerOwner is the number of unanswered requests to one owner before the next
// VM in rendezvous order is tried. Any VM may write a claim; ownership only
// serves batching.
const triesPerOwner = 2

// retryAfterMs is the retry delay suggested with a refusal. It covers one release.
const retryAfterMs clock.Millis = 500

func (m *Model) submit(now clock.Millis, msg SubmitMsg) {
	issuedAt, reason, execution := m.validate(now, msg)
	if reason != "" {
		m.answer(Answer{CallID: msg.CallID, ID: msg.ID, Outcome: OutcomeRefused, Execution: execution, Reason: reason, RetryAfter: retryAfter(reason)})
		return
	}
	m.lastSeq++
	o := &submission{
		msg: msg, hash: HashOf(msg.ID), issuedAt: issuedAt,
		token: Token{VM: m.cfg.vm, Incarnation: m.cfg.incarnation, Seq: m.lastSeq},
	}
	m.submissions[m.lastSeq] = o
	m.setTimer(msg.Deadline, timerSubmission, m.lastSeq)
	m.sendClaim(now, o)
}

// validate returns the issue time of the order id, or the reason for a refusal.
func (m *Model) validate(now clock.Millis, msg SubmitMsg) (clock.Millis, Reason, attempt.Execution) {
	issuedAt, err := ParseID(msg.ID)
	switch {
	case err != nil:
		return 0, ReasonBadID, attempt.NotExecuted
	case issuedAt < now-MaxIDAge:
		return 0, ReasonTooOld, attempt.ExecutionUnknown
	case issuedAt > now+MaxFutureSkew:
		return 0, ReasonTooNew, attempt.ExecutionUnknown
	case m.draining:
		return 0, ReasonDraining, attempt.NotExecuted
	case len(m.submissions) >= m.cfg.maxOpenOrders:
		return 0, ReasonBusy, attempt.NotExecuted
	case now >= msg.Deadline:
		return 0, ReasonDeadline, attempt.NotExecuted
	}
	return issuedAt, "", attempt.ExecutionUnknown
}

func retryAfter(reason Reason) clock.Millis {
	switch reason {
	case ReasonBadID, ReasonTooOld, ReasonTooNew:
		return 0
	default:
		return retryAfterMs
	}
}

// sendClaim requests the claim from its owner. The token stays the same, so repeated
// requests are harmless.
func (m *Model) sendClaim(now clock.Millis, o *submission) {
	vms := m.candidates[o.hash.Partition()]
	to := vms[o.tries/triesPerOwner%len(vms)]
	o.retried = o.retried || o.tries > 0
	o.tries++
	o.retryAt = now + m.cfg.claimRetryInterval
	m.setTimer(o.retryAt, timerSubmission, o.token.Seq)
	m.sendToOwner(now, to, ClaimRequestMsg{
		Op: OpClaim, Token: o.token, ID: o.hash, IssuedAt: o.issuedAt,
		Timeout: o.msg.Deadline - now, WaitForStore: o.msg.Outage == preset.OutageWait,
	})
}

func (m *Model) sendToOwner(now clock.Millis, to string, msg ClaimRequestMsg) {
	msg.From = m.cfg.vm
	if to == m.cfg.vm {
		m.enqueue(now, msg)
		return
	}
	m.emit(PeerCmd{To: to, Msg: msg})
}

// handleClaimResponse handles an owner's response.
func (m *Model) handleClaimResponse(now clock.Millis, msg ClaimResponseMsg) {
	if msg.Token.VM != m.cfg.vm || msg.Token.Incarnation != m.cfg.incarnation {
		return
	}
	o := m.submissions[msg.Token.Seq]
	if o == nil || o.state != stateClaiming {
		m.handleLateResponse(now, msg)
		return
	}
	switch msg.Result {
	case ResultClaimed:
		m.startAttempt(now, o)
	case ResultExists:
		m.refuseDuplicate(now, o, attempt.ExecutionUnknown)
	case ResultExistsDone:
		m.refuseDuplicate(now, o, attempt.Executed)
	case ResultExpired:
		m.abandon(now, o, Answer{Outcome: OutcomeRefused, Execution: attempt.ExecutionUnknown, Reason: ReasonTooOld}, o.retried)
	case ResultUnavailable:
		if o.msg.Outage != preset.OutageWait {
			m.abandon(now, o, Answer{Outcome: OutcomeRefused, Execution: attempt.NotExecuted, Reason: ReasonStoreUnavailable}, o.retried)
		}
	case ResultReleased:
	}
}

func (m *Model) refuseDuplicate(now clock.Millis, o *submission, execution attempt.Execution) {
	m.emitEvent(timeline.Event{Kind: timeline.ClaimRefused, Request: o.msg.ID, Rank: o.msg.Rank.String()})
	m.abandon(now, o, Answer{Outcome: OutcomeAlreadySubmitted, Execution: execution, Reason: ReasonClaimExists}, o.retried)
}

// abandon ends a submission that never sent an attempt. Once it is removed from
// m.submissions nothing is sent under its token. claimMayExist says whether the
// store may contain a claim under the token.
func (m *Model) abandon(now clock.Millis, o *submission, a Answer, claimMayExist bool) {
	delete(m.submissions, o.token.Seq)
	// After already_submitted the id is claimed under another token, so a second release is not worth a write.
	m.trackRelease(now, o, claimMayExist, claimMayExist || a.Outcome == OutcomeRefused)
	m.finish(o, a)
}

func (m *Model) finish(o *submission, a Answer) {
	a.CallID, a.ID = o.msg.CallID, o.msg.ID
	if a.Outcome == OutcomeRefused {
		a.RetryAfter = retryAfter(a.Reason)
	}
	m.answer(a)
}

func (m *Model) answer(a Answer) { m.emit(AnswerCmd{Answer: a}) }

// checkSubmission handles a submission whose deadline, retry or removal may be due.
func (m *Model) checkSubmission(now clock.Millis, seq uint64) {
	o := m.submissions[seq]
	switch {
	case o == nil:
	case o.state == stateClaiming && now >= o.msg.Deadline:
		m.abandon(now, o, Answer{Outcome: OutcomeRefused, Execution: attempt.NotExecuted, Reason: ReasonDeadline}, true)
	case o.state == stateClaiming && now >= o.retryAt:
		m.sendClaim(now, o)
	case o.state == stateSent:
		m.checkReplyTimeout(now, o)
	case o.state == stateAnswered && now >= o.removeAt:
		m.remove(o)
	}
}
