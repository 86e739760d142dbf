package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// finish answers a query with what is there.
func (m *Model) finish(now clock.Millis, q *openQuery, reason string) {
	for g := range q.parts {
		m.giveUp(q, g, reason)
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
		ID: q.ID, Outcome: Failed, Execution: q.ran(), Snapshot: q.version, Preset: q.Preset, Revision: q.Revision,
		Rank: q.Rank, TookMs: now - q.startAt, Reason: reason, Attempts: q.attempts, Needed: len(q.parts),
		MaxQueueMs: q.maxQueue, MeanQueueMs: q.sumQueue / clock.Millis(max(q.replies, 1)), Overloaded: q.overloaded,
		MeanServiceMs: q.sumServe / clock.Millis(max(q.served, 1)),
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

func (q *openQuery) ran() attempt.Execution {
	switch {
	case q.ranYes:
		return attempt.Executed
	case q.ranMaybe:
		return attempt.ExecutionUnknown
	}
	return attempt.NotExecuted
}

func (m *Model) cancelAll(now clock.Millis, q *openQuery) {
	for g := range q.parts {
		m.cancel(now, &q.parts[g])
	}
}

func (m *Model) callerGone(now clock.Millis, id string) {
	q := m.byID[id]
	if q == nil {
		return
	}
	m.cancelAll(now, q)
	q.done = true
	delete(m.byID, id)
	m.totals.Ref(q.Rank).CallerDisconnected++
	m.event(q, timeline.Answered, "", "caller gone")
}
