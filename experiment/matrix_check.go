package experiment

import (
	"fmt"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/vm"
)

// The invariants of section 1.1 of the design page, and that every request is answered.
const (
	InvariantOneSnapshot   = "one-snapshot"
	InvariantTrueCoverage  = "true-coverage"
	InvariantOwnAnswer     = "own-answer"
	InvariantNotRun        = "not-run"
	InvariantAtMostOnce    = "at-most-once"
	InvariantLeaving       = "leaving"
	InvariantPlannedStop   = "planned-stop"
	InvariantPresetInForce = "preset-in-force"
	InvariantNoRevert      = "no-revert"
	InvariantOnePreset     = "one-preset"
	InvariantAnswered      = "answered"
)

// Violation is one violated invariant with its details.
type Violation struct {
	Invariant string
	Detail    string
}

// checker collects the violations of one cell.
type checker struct {
	violations []Violation
}

func (c *checker) fail(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// requests checks every answer after the run has ended.
func (c *checker) requests(list []*request, log *upstreamLog) {
	for _, q := range list {
		c.answered(q)
		for _, cmd := range q.answers {
			switch a := cmd.(type) {
			case vm.AnswerQueryCmd:
				c.query(q, a.Answer, log)
			case vm.AnswerOrderCmd:
				c.order(q, a.Answer, log)
			}
		}
	}
	for _, q := range list {
		if q.order && log.orders[q.id] > 1 {
			c.fail(InvariantAtMostOnce, "order %s was executed %d times, want at most once", q.id, log.orders[q.id])
		}
	}
	for _, l := range log.lateRequests {
		c.fail(InvariantLeaving, "%s", l)
	}
}

func (c *checker) answered(q *request) {
	switch {
	case q.disconnected:
	case len(q.answers) == 0:
		c.fail(InvariantAnswered, "request %s, sent to %s at time %d, has no answer", q.body, q.vm, q.sentAt)
	case len(q.answers) > 1:
		c.fail(InvariantOwnAnswer, "request %s has %d answers, want 1", q.body, len(q.answers))
	case q.answeredAt > q.deadline:
		c.fail(InvariantAnswered, "request %s of rank %s was answered %d ms too late by %s", q.body, q.rank, q.answeredAt-q.deadline, q.vm)
	}
}

func (c *checker) query(q *request, a vm.QueryAnswer, log *upstreamLog) {
	if q.order || a.ID != q.id {
		c.fail(InvariantOwnAnswer, "request %s received the answer to %s", q.body, a.ID)
		return
	}
	if a.Execution == attempt.NotExecuted && log.runs[q.body] > 0 {
		c.fail(InvariantNotRun, "request %s: answered as not executed, but upstreams began to execute it %d times", q.body, log.runs[q.body])
	}
	if a.Outcome != vm.Complete && a.Outcome != vm.Partial {
		return
	}
	c.rows(q, a)
	c.coverage(q, a, log)
}

func (c *checker) rows(q *request, a vm.QueryAnswer) {
	want := fmt.Sprintf("v%d", a.Snapshot)
	for _, row := range a.Rows {
		version, body := splitRow(row.Value)
		if version != want {
			c.fail(InvariantOneSnapshot, "answer to %s at snapshot %d has a row of version %s", q.body, a.Snapshot, version)
			return
		}
		if body != q.body {
			c.fail(InvariantOwnAnswer, "answer to %s has a row of request %s", q.body, body)
			return
		}
	}
}

// coverage checks that upstreams served the covered keys at the snapshot of the
// answer, and that the answer contains every row of them exactly once.
func (c *checker) coverage(q *request, a vm.QueryAnswer, log *upstreamLog) {
	var missing coverage.Set
	for _, gap := range a.Missing {
		missing.Add(gap)
	}
	if a.Covered+missing.Len() != a.Expected {
		c.fail(InvariantTrueCoverage, "answer to %s: %d covered and %d missing keys, want %d in total", q.body, a.Covered, missing.Len(), a.Expected)
	}
	if complete := a.Outcome == vm.Complete; complete != (missing.Len() == 0) {
		c.fail(InvariantTrueCoverage, "answer to %s is %s with %d missing keys", q.body, a.Outcome, missing.Len())
	}
	rows := make(map[uint32]int)
	for _, row := range a.Rows {
		rows[row.Key]++
	}
	served := log.served[q.body][a.Snapshot]
	for _, covered := range missing.Missing(coverage.Range{To: a.Expected}) {
		if served == nil || len(served.Missing(covered)) > 0 {
			c.fail(InvariantTrueCoverage, "answer to %s covers keys %d to %d, which no upstream served at its snapshot", q.body, covered.From, covered.To)
			return
		}
		for k := (covered.From + rowInterval - 1) / rowInterval * rowInterval; k < covered.To; k += rowInterval {
			switch {
			case rows[k] == 0:
				c.fail(InvariantTrueCoverage, "answer to %s covers key %d but has no row for it", q.body, k)
				return
			case rows[k] > 1:
				c.fail(InvariantOwnAnswer, "answer to %s has %d rows for key %d, want 1", q.body, rows[k], k)
				return
			}
		}
	}
}

func (c *checker) order(q *request, a vm.OrderAnswer, log *upstreamLog) {
	if !q.order || a.ID != q.id {
		c.fail(InvariantOwnAnswer, "request %s received the answer to order %s", q.body, a.ID)
		return
	}
	switch {
	case a.Execution == attempt.NotExecuted && log.runs[q.body] > 0:
		c.fail(InvariantNotRun, "order %s: answered as not executed (%s), but it was executed %d times", q.body, a.Reason, log.runs[q.body])
	case a.Outcome == order.OutcomeDone && log.runs[q.body] != 1:
		c.fail(InvariantAtMostOnce, "order %s: answered as done, but it was executed %d times, want once", q.body, log.runs[q.body])
	case a.Outcome == order.OutcomeDone && string(a.Body) != "done "+q.body:
		c.fail(InvariantOwnAnswer, "order %s received the wrong body %q", q.body, a.Body)
	}
}
