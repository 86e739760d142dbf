package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/timeline"
)

func (m *Model) reply(now clock.Millis, r attempt.Reply) {
	if r.ID.VM != m.vm || r.ID.Incarnation != m.incarnation || !m.slots.wasIssued(r.ID.Seq) {
		m.drop(r, DropUnknownAttempt)
		return
	}
	t := m.slots.get(r.ID.Seq)
	if t == nil {
		// The end of an attempt that the model cancelled is expected.
		if r.Status != attempt.Cancelled {
			m.drop(r, DropFinishedAttempt)
		}
		return
	}
	if string(t.up) != r.Upstream {
		m.drop(r, DropWrongUpstream)
		return
	}
	if r.Status == attempt.OK && (r.Version != t.version || t.version == 0) {
		// The attempt is over, but nothing of the reply may be used.
		m.drop(r, DropWrongVersion)
		r = attempt.Reply{ID: r.ID, Upstream: r.Upstream, Status: attempt.Mismatched, QueueMs: r.QueueMs}
	}
	m.settle(now, *t, r)
}

// drop counts a reply that must not be used. A reply that crossed its own
// cancellation is expected, so it makes no event.
func (m *Model) drop(r attempt.Reply, d DropReason) {
	m.dropped[d]++
	if d == DropFinishedAttempt && m.slots.wasCancelled(r.ID.Seq) {
		return
	}
	m.emit(EventCmd{timeline.Event{
		Kind: timeline.ReplyDropped, Request: r.ID.String(), Upstream: r.Upstream, Detail: d.String(),
	}})
}

// settle ends an attempt with its reply.
func (m *Model) settle(now clock.Millis, t try, r attempt.Reply) {
	q, p := t.q, &t.q.parts[t.group]
	m.slots.remove(t.seq)
	p.close(t.seq)
	q.noteRan(r.Execution)
	// What the query waits for includes the way to the carrier.
	r.ServiceMs = max(now-t.sentAt-r.QueueMs, 0)
	q.noteQueue(r)
	m.book.Observe(now, t.up, r)
	p.lastStatus = r.Status
	switch {
	case r.Status == attempt.OK:
		m.accept(now, t, r)
	case p.nOpen > 0:
		// Another attempt of the group is still running.
		p.refused = r.Execution == attempt.NotExecuted
		m.wake(now, timerHedge, q, t.group, p.open[0])
	case r.Status == attempt.VersionGone:
		m.versionGone(now, q, t.group)
	case r.Status == attempt.NotSent && now+m.book.TypicalMs(q.Service) > q.answerAt:
		// The carrier dropped it for lack of time, so a retry would not finish either.
		m.lose(now, q, t.group, "dropped by its carrier")
	default:
		p.refused = r.Execution == attempt.NotExecuted
		if r.Status == attempt.Shed {
			p.retryAt = max(p.retryAt, now+r.RetryAfter)
		}
		m.sendRetry(now, q, t.group)
	}
}

// noteQueue keeps what admission needs to judge the load of the carriers.
func (q *openQuery) noteQueue(r attempt.Reply) {
	q.maxQueue = max(q.maxQueue, r.QueueMs)
	q.sumQueue += r.QueueMs
	q.replies++
	if r.Status == attempt.OK {
		q.sumServe += r.ServiceMs
		q.served++
	}
	q.overloaded = q.overloaded || r.Status == attempt.Shed || r.Status == attempt.NotSent
}

func (q *openQuery) noteRan(r attempt.Execution) {
	switch r {
	case attempt.Executed:
		q.ranYes = true
	case attempt.ExecutionUnknown:
		q.ranMaybe = true
	}
}

func (m *Model) accept(now clock.Millis, t try, r attempt.Reply) {
	q, p := t.q, &t.q.parts[t.group]
	q.merge.Add(coverage.Part{Group: t.group, Version: r.Version, Epoch: r.Epoch, Ranges: r.Ranges, Rows: r.Rows})
	if t.kind == tryHedge {
		m.totals.Ref(q.Rank).HedgeWins++
	}
	p.answered = true
	q.ranYes = true
	m.cancel(now, p)
	m.settlePart(q, p)
	m.checkSettled(now, q)
}

// cancel gives up the open attempts of a part.
func (m *Model) cancel(now clock.Millis, p *part) {
	for _, seq := range p.open[:p.nOpen] {
		t := m.slots.get(seq)
		t.q.ranMaybe = true
		m.emit(CancelCmd{ID: m.id(seq), Upstream: string(t.up)})
		m.book.Abandon(now, t.up, now-t.sentAt)
		m.slots.cancel(seq)
	}
	p.nOpen = 0
}

func (m *Model) settlePart(q *openQuery, p *part) {
	if !p.settled {
		p.settled = true
		q.waiting--
	}
}

// giveUp settles a group that gives no answer in this pass.
func (m *Model) giveUp(q *openQuery, g int, reason string) {
	p := &q.parts[g]
	if p.settled {
		return
	}
	if !p.answered {
		if p.lastStatus != attempt.OK {
			reason += ", last one " + p.lastStatus.String()
		}
		m.event(q, timeline.GroupMissing, "", q.service.groups[g]+": "+reason)
	}
	m.settlePart(q, p)
}

// checkSettled goes on once every group answered or was given up.
func (m *Model) checkSettled(now clock.Millis, q *openQuery) {
	switch {
	case q.done || q.waiting > 0:
	case q.version == 0:
		m.learned(now, q)
	case q.merge.Complete() || !m.planReask(now, q):
		m.finish(now, q, "")
	}
}
