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
	claiming submissionState = iota // nothing sent
	sent                            // one attempt is outstanding
	answered                        // answered as unknown, a late reply may still settle the claim
)

// submission is one open order of this VM.
type submission struct {
	msg     SubmitMsg
	token   Token
	hash    Hash
	issued  clock.Millis
	state   submissionState
	asks    int  // times asked in a row without an answer
	reasked bool // asked more than once in all, so another owner may still hold the claim
	nextAsk clock.Millis
	forget  clock.Millis
	tried   []upstream.ID
	current attempt.ID
}

// asksPerOwner is how often one owner is asked in vain before the next VM in
// rendezvous order is asked. Any VM may write a claim; the owner only batches.
const asksPerOwner = 2

// retryAfterMs is the wait proposed with a refusal; it covers one release.
const retryAfterMs clock.Millis = 500

func (m *Model) submit(now clock.Millis, msg SubmitMsg) {
	issued, reason, ran := m.check(now, msg)
	if reason != "" {
		m.answer(Answer{CallID: msg.CallID, ID: msg.ID, Outcome: OutcomeRefused, Execution: ran, Reason: reason, RetryAfter: retryFor(reason)})
		return
	}
	m.lastSeq++
	o := &submission{
		msg: msg, hash: HashOf(msg.ID), issued: issued,
		token: Token{VM: m.cfg.self, Incarnation: m.cfg.incarnation, Seq: m.lastSeq},
	}
	m.open[m.lastSeq] = o
	m.wakeAt(msg.Deadline, timerOrder, m.lastSeq)
	m.ask(now, o)
}

// check returns the issue time of the id, or why the order is refused.
func (m *Model) check(now clock.Millis, msg SubmitMsg) (clock.Millis, Reason, attempt.Execution) {
	issued, err := ParseID(msg.ID)
	switch {
	case err != nil:
		return 0, ReasonBadID, attempt.NotExecuted
	case issued < now-MaxIDAge:
		return 0, ReasonTooOld, attempt.ExecutionUnknown
	case issued > now+MaxFutureSkew:
		return 0, ReasonTooNew, attempt.ExecutionUnknown
	case m.stopping:
		return 0, ReasonDraining, attempt.NotExecuted
	case len(m.open) >= m.cfg.openLimit:
		return 0, ReasonBusy, attempt.NotExecuted
	case now >= msg.Deadline:
		return 0, ReasonDeadline, attempt.NotExecuted
	}
	return issued, "", attempt.ExecutionUnknown
}

func retryFor(reason Reason) clock.Millis {
	switch reason {
	case ReasonBadID, ReasonTooOld, ReasonTooNew:
		return 0
	default:
		return retryAfterMs
	}
}

// ask sends the claim to its owner. The token stays the same, so asking again is harmless.
func (m *Model) ask(now clock.Millis, o *submission) {
	vms := m.ranked[o.hash.Partition()]
	to := vms[o.asks/asksPerOwner%len(vms)]
	o.reasked = o.reasked || o.asks > 0
	o.asks++
	o.nextAsk = now + m.cfg.askInterval
	m.wakeAt(o.nextAsk, timerOrder, o.token.Seq)
	m.tell(now, to, ClaimRequestMsg{
		Op: OpClaim, Token: o.token, ID: o.hash, IssuedAt: o.issued,
		Timeout: o.msg.Deadline - now, WaitForStore: o.msg.Outage == preset.OutageWait,
	})
}

func (m *Model) tell(now clock.Millis, to string, msg ClaimRequestMsg) {
	msg.From = m.cfg.self
	if to == m.cfg.self {
		m.enqueue(now, msg)
		return
	}
	m.emit(PeerCmd{To: to, Msg: msg})
}

// claimed handles an owner's answer.
func (m *Model) claimed(now clock.Millis, msg ClaimResponseMsg) {
	if msg.Token.VM != m.cfg.self || msg.Token.Incarnation != m.cfg.incarnation {
		return
	}
	o := m.open[msg.Token.Seq]
	if o == nil || o.state != claiming {
		m.claimedLate(now, msg)
		return
	}
	switch msg.Result {
	case ResultClaimed:
		m.send(now, o)
	case ResultExists:
		m.alreadySubmitted(now, o, attempt.ExecutionUnknown)
	case ResultExistsDone:
		m.alreadySubmitted(now, o, attempt.Executed)
	case ResultExpired:
		m.abandon(now, o, Answer{Outcome: OutcomeRefused, Execution: attempt.ExecutionUnknown, Reason: ReasonTooOld}, o.reasked)
	case ResultUnavailable:
		if o.msg.Outage != preset.OutageWait {
			m.abandon(now, o, Answer{Outcome: OutcomeRefused, Execution: attempt.NotExecuted, Reason: ReasonStoreUnavailable}, o.reasked)
		}
	case ResultReleased:
	}
}

func (m *Model) alreadySubmitted(now clock.Millis, o *submission, ran attempt.Execution) {
	m.event(timeline.Event{Kind: timeline.ClaimRefused, Request: o.msg.ID, Rank: o.msg.Rank.String()})
	m.abandon(now, o, Answer{Outcome: OutcomeAlreadySubmitted, Execution: ran, Reason: ReasonClaimExists}, o.reasked)
}

// abandon ends a submission that never sent an attempt. Once it has left the
// open table nothing is sent under its token. mayExist says that a claim under
// the token may be in the store.
func (m *Model) abandon(now clock.Millis, o *submission, a Answer, mayExist bool) {
	delete(m.open, o.token.Seq)
	// After already_submitted the id has a claim already, so another release is not worth a write.
	m.remember(now, o, mayExist, mayExist || a.Outcome == OutcomeRefused)
	m.finish(o, a)
}

func (m *Model) finish(o *submission, a Answer) {
	a.CallID, a.ID = o.msg.CallID, o.msg.ID
	if a.Outcome == OutcomeRefused {
		a.RetryAfter = retryFor(a.Reason)
	}
	m.answer(a)
}

func (m *Model) answer(a Answer) { m.emit(AnswerCmd{Answer: a}) }

// orderDue looks at one submission whose deadline or next question is due.
func (m *Model) orderDue(now clock.Millis, seq uint64) {
	o := m.open[seq]
	switch {
	case o == nil:
	case o.state == claiming && now >= o.msg.Deadline:
		m.abandon(now, o, Answer{Outcome: OutcomeRefused, Execution: attempt.NotExecuted, Reason: ReasonDeadline}, true)
	case o.state == claiming && now >= o.nextAsk:
		m.ask(now, o)
	case o.state == sent:
		m.replyDue(now, o)
	case o.state == answered && now >= o.forget:
		m.close(o)
	}
}
