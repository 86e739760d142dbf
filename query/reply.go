package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/timeline"
)

func (m *Model) reply(now clock.Millis, r attempt.Reply) {
	if r.ID.VM != m.vm || r.ID.Incarnation != m.incarnation || !m.attempts.wasIssued(r.ID.Seq) {
		m.dropReply(r, DropUnknownAttempt)
		return
	}
	a := m.attempts.get(r.ID.Seq)
	if a == nil {
		// A Cancelled reply is the expected result of a CancelCmd.
		if r.Status != attempt.Cancelled {
			m.dropReply(r, DropFinishedAttempt)
		}
		return
	}
	if string(a.up) != r.Upstream {
		m.dropReply(r, DropWrongUpstream)
		return
	}
	if r.Status == attempt.OK && (r.Version != a.version || a.version == 0) {
		// The attempt has ended, but its rows belong to another version.
		m.dropReply(r, DropWrongVersion)
		r = attempt.Reply{ID: r.ID, Upstream: r.Upstream, Status: attempt.Mismatched, QueueMs: r.QueueMs}
	}
	m.endAttempt(now, *a, r)
}

// dropReply counts a reply that must not be used. It emits no event for a reply
// that was already on its way when its attempt was cancelled.
func (m *Model) dropReply(r attempt.Reply, d DropReason) {
	m.dropped[d]++
	if d == DropFinishedAttempt && m.attempts.wasCancelled(r.ID.Seq) {
		return
	}
	m.emit(EventCmd{timeline.Event{
		Kind: timeline.ReplyDropped, Request: r.ID.String(), Upstream: r.Upstream, Detail: d.String(),
	}})
}

// endAttempt closes an attempt and acts on its reply.
func (m *Model) endAttempt(now clock.Millis, a openAttempt, r attempt.Reply) {
	q, sub := a.q, &a.q.subrequests[a.group]
	m.attempts.remove(a.seq)
	sub.removeOpen(a.seq)
	q.recordExecution(r.Execution)
	// The latency that a query sees includes the round trip to the carrier.
	r.ServiceMs = max(now-a.sentAt-r.QueueMs, 0)
	q.recordLoad(r)
	m.balancer.RecordReply(now, a.up, r)
	sub.lastStatus = r.Status
	switch {
	case r.Status == attempt.OK:
		m.acceptReply(now, a, r)
	case sub.openCount > 0:
		// Another attempt of the group is still open; hedge it now.
		sub.notExecuted = r.Execution == attempt.NotExecuted
		m.setTimer(now, timerHedge, q, a.group, sub.openSeqs[0])
	case r.Status == attempt.VersionGone:
		m.versionGone(now, q, a.group)
	case r.Status == attempt.NotSent && now+m.balancer.LatencyP95(q.Service) > q.answerAt:
		// The carrier dropped the attempt because too little time remained, so a
		// retry would miss the deadline too.
		m.failGroupAndAdvance(now, q, a.group, "dropped by its carrier")
	default:
		sub.notExecuted = r.Execution == attempt.NotExecuted
		if r.Status == attempt.Shed {
			sub.earliestRetry = max(sub.earliestRetry, now+r.RetryAfter)
		}
		m.sendRetry(now, q, a.group)
	}
}

// recordLoad collects the queue and service times from which admission
// control estimates the load of the carriers.
func (q *openQuery) recordLoad(r attempt.Reply) {
	q.maxQueueMs = max(q.maxQueueMs, r.QueueMs)
	q.totalQueueMs += r.QueueMs
	q.replies++
	if r.Status == attempt.OK {
		q.totalServiceMs += r.ServiceMs
		q.okReplies++
	}
	q.overloaded = q.overloaded || r.Status == attempt.Shed || r.Status == attempt.NotSent
}

func (q *openQuery) recordExecution(r attempt.Execution) {
	switch r {
	case attempt.Executed:
		q.executed = true
	case attempt.ExecutionUnknown:
		q.maybeExecuted = true
	}
}

func (m *Model) acceptReply(now clock.Millis, a openAttempt, r attempt.Reply) {
	q, sub := a.q, &a.q.subrequests[a.group]
	q.merge.Add(coverage.Part{Group: a.group, Version: r.Version, Epoch: r.Epoch, Ranges: r.Ranges, Rows: r.Rows})
	if a.kind == kindHedge {
		m.totals.Ref(q.Rank).HedgeWins++
	}
	sub.answered = true
	q.executed = true
	m.cancelOpen(now, sub)
	m.settleSubrequest(q, sub)
	m.advance(now, q)
}

// cancelOpen cancels the open attempts of a subrequest. Each of them may
// already have been executed.
func (m *Model) cancelOpen(now clock.Millis, sub *subrequest) {
	for _, seq := range sub.openSeqs[:sub.openCount] {
		a := m.attempts.get(seq)
		a.q.maybeExecuted = true
		m.emit(CancelCmd{ID: m.attemptID(seq), Upstream: string(a.up)})
		m.balancer.RecordAbandoned(now, a.up, now-a.sentAt)
		m.attempts.cancel(seq)
	}
	sub.openCount = 0
}

func (m *Model) settleSubrequest(q *openQuery, sub *subrequest) {
	if !sub.settled {
		sub.settled = true
		q.unsettled--
	}
}

// failGroup settles the subrequest of a group without an answer.
func (m *Model) failGroup(q *openQuery, g int, reason string) {
	sub := &q.subrequests[g]
	if sub.settled {
		return
	}
	if !sub.answered {
		if sub.lastStatus != attempt.OK {
			reason += ", last one " + sub.lastStatus.String()
		}
		m.emitEvent(q, timeline.GroupMissing, "", q.service.groups[g]+": "+reason)
	}
	m.settleSubrequest(q, sub)
}

// advance continues or finishes the query once every subrequest is settled.
func (m *Model) advance(now clock.Millis, q *openQuery) {
	switch {
	case q.done || q.unsettled > 0:
	case q.version == 0:
		m.endDiscovery(now, q)
	case q.merge.Complete() || !m.scheduleEpochRetry(now, q):
		m.finish(now, q, "")
	}
}
