package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
)

// Cmd is a command that a Model returns for the runtime to execute.
type Cmd interface{ queryCmd() }

// SendCmd sends an attempt to an upstream.
type SendCmd struct{ attempt.Request }

// CancelCmd cancels an attempt whose reply is no longer needed.
type CancelCmd struct {
	ID       attempt.ID
	Upstream string
}

// AnswerCmd answers a query. Each started query gets exactly one, unless its
// caller disconnects first.
type AnswerCmd struct{ Answer }

// EventCmd records an event in the timeline.
type EventCmd struct{ timeline.Event }

func (SendCmd) queryCmd()   {}
func (CancelCmd) queryCmd() {}
func (AnswerCmd) queryCmd() {}
func (EventCmd) queryCmd()  {}

// Outcome is the result class of a query.
type Outcome string

// Complete answers cover every key; Partial ones cover at least MinCoverage percent.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
	Failed   Outcome = "failed"
)

// Answer is the answer to one query.
type Answer struct {
	ID             string
	Outcome        Outcome
	Execution      attempt.Execution // NotExecuted only if every attempt is proven not executed
	Snapshot       uint64
	Expected       uint32
	Covered        uint32
	Missing        []coverage.Range
	Rows           []coverage.Row
	Preset         string
	Revision       uint64
	Rank           rank.Rank
	TookMs         clock.Millis
	Reason         string
	Attempts       int          // attempts sent, including hedges and retries
	AttemptsNeeded int          // attempts without hedges and retries: one per group
	MaxQueueMs     clock.Millis // longest queue wait at a carrier, as the replies state it
	MeanQueueMs    clock.Millis // mean queue wait at the carriers, as the replies state it
	MeanServiceMs  clock.Millis // mean latency of the successful attempts without that wait
	Overloaded     bool         // an attempt was shed by its upstream or dropped by its carrier
}
