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
		m.answer(Answer{Call: msg.Call, ID: msg.ID, Outcome: Refused, Ran: ran, Reason: reason, RetryAfter: retryFor(reason)})
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
func (m *Model) check(now clock.Millis, msg SubmitMsg) (clock.Millis, Reason, attempt.Ran) {
	issued, err := ParseID(msg.ID)
	switch {
	case err != nil:
		return 0, ReasonBadID, attempt.No
	case issued < now-Window:
		return 0, ReasonTooOld, attempt.Unknown
	case issued > now+FutureLimit:
		return 0, ReasonTooNew, attempt.Unknown
	case m.stopping:
		return 0, ReasonDraining, attempt.No
	case len(m.open) >= m.cfg.openLimit:
		return 0, ReasonBusy, attempt.No
	case now >= msg.Deadline:
		return 0, ReasonDeadline, attempt.No
	}
	return issued, "", attempt.Unknown
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
	m.tell(now, to, ClaimMsg{
		Op: OpClaim, Token: o.token, ID: o.hash, Issued: o.issued,
		Budget: o.msg.Deadline - now, Wait: o.msg.Outage == preset.OutageWait,
	})
}

func (m *Model) tell(now clock.Millis, to string, msg ClaimMsg) {
	msg.From = m.cfg.self
	if to == m.cfg.self {
		m.enqueue(now, msg)
		return
	}
	m.emit(PeerCmd{To: to, Msg: msg})
}

// claimed handles an owner's answer.
func (m *Model) claimed(now clock.Millis, msg ClaimedMsg) {
	if msg.Token.VM != m.cfg.self || msg.Token.Incarnation != m.cfg.incarnation {
		return
	}
	o := m.open[msg.Token.Seq]
	if o == nil || o.state != claiming {
		m.claimedLate(now, msg)
		return
	}
	switch msg.Result {
	case Claimed:
		m.send(now, o)
	case Exists:
		m.alreadySubmitted(now, o, attempt.Unknown)
	case ExistsDone:
		m.alreadySubmitted(now, o, attempt.Yes)
	case Expired:
		m.abandon(now, o, Answer{Outcome: Refused, Ran: attempt.Unknown, Reason: ReasonTooOld}, o.reasked)
	case Unavailable:
		if o.msg.Outage != preset.OutageWait {
			m.abandon(now, o, Answer{Outcome: Refused, Ran: attempt.No, Reason: ReasonStore}, o.reasked)
		}
	case ReleaseWritten:
	}
}

func (m *Model) alreadySubmitted(now clock.Millis, o *submission, ran attempt.Ran) {
	m.event(timeline.Event{Kind: timeline.ClaimRefused, Request: o.msg.ID, Rank: o.msg.Rank.String()})
	m.abandon(now, o, Answer{Outcome: AlreadySubmitted, Ran: ran, Reason: ReasonClaimExists}, o.reasked)
}

// abandon ends a submission that never sent an attempt. Once it has left the
// open table nothing is sent under its token. mayExist says that a claim under
// the token may be in the store.
func (m *Model) abandon(now clock.Millis, o *submission, a Answer, mayExist bool) {
	delete(m.open, o.token.Seq)
	// After already_submitted the id has a claim already, so another release is not worth a write.
	m.remember(now, o, mayExist, mayExist || a.Outcome == Refused)
	m.finish(o, a)
}

func (m *Model) finish(o *submission, a Answer) {
	a.Call, a.ID = o.msg.Call, o.msg.ID
	if a.Outcome == Refused {
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
		m.abandon(now, o, Answer{Outcome: Refused, Ran: attempt.No, Reason: ReasonDeadline}, true)
	case o.state == claiming && now >= o.nextAsk:
		m.ask(now, o)
	case o.state == sent:
		m.replyDue(now, o)
	case o.state == answered && now >= o.forget:
		m.close(o)
	}
}
