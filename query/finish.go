package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// finish ends a query and answers it with the replies received so far.
func (m *Model) finish(now clock.Millis, q *openQuery, reason string) {
	for g := range q.subrequests {
		m.failGroup(q, g, reason)
	}
	m.cancelAll(now, q)
	q.done = true
	delete(m.byID, q.ID)
	a := q.answer(now, reason)
	totals := m.totals.Ref(q.Rank)
	switch a.Outcome {
	case Complete:
		totals.Complete++
	case Partial:
		totals.Partial++
	default:
		totals.Failed++
	}
	m.emit(AnswerCmd{a})
}

func (q *openQuery) answer(now clock.Millis, reason string) Answer {
	a := Answer{
		ID: q.ID, Outcome: Failed, Execution: q.execution(), Snapshot: q.version, Preset: q.Preset, Revision: q.Revision,
		Rank: q.Rank, TookMs: now - q.startedAt, Reason: reason, Attempts: q.attempts, AttemptsNeeded: len(q.subrequests),
		MaxQueueMs: q.maxQueueMs, MeanQueueMs: q.totalQueueMs / clock.Millis(max(q.replies, 1)), Overloaded: q.overloaded,
		MeanServiceMs: q.totalServiceMs / clock.Millis(max(q.okReplies, 1)),
	}
	if q.merge == nil {
		return a
	}
	a.Expected, a.Covered, a.Missing = q.merge.Expected(), q.merge.Covered(), q.merge.Missing()
	switch {
	case a.Covered == a.Expected && q.version != 0:
		a.Outcome, a.Reason = Complete, ""
	case a.Covered > 0 && float64(a.Covered)*100 >= q.MinCoverage*float64(a.Expected):
		a.Outcome = Partial
	}
	if a.Reason == "" && a.Outcome != Complete {
		a.Reason = "missing groups"
	}
	a.Rows = q.merge.Rows()
	return a
}

func (q *openQuery) execution() attempt.Execution {
	switch {
	case q.executed:
		return attempt.Executed
	case q.maybeExecuted:
		return attempt.ExecutionUnknown
	}
	return attempt.NotExecuted
}

func (m *Model) cancelAll(now clock.Millis, q *openQuery) {
	for g := range q.subrequests {
		m.cancelOpen(now, &q.subrequests[g])
	}
}

func (m *Model) callerDisconnected(now clock.Millis, id string) {
	q := m.byID[id]
	if q == nil {
		return
	}
	m.cancelAll(now, q)
	q.done = true
	delete(m.byID, id)
	m.totals.Ref(q.Rank).CallerDisconnected++
	m.emitEvent(q, timeline.Answered, "", "caller gone")
}
