package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
)

// Cmd is a command of a Model.
type Cmd interface{ queryCmd() }

// SendCmd sends an attempt.
type SendCmd struct{ attempt.Request }

// CancelCmd cancels an attempt whose reply is no longer wanted.
type CancelCmd struct {
	ID       attempt.ID
	Upstream string
}

// AnswerCmd answers a query. Each started query gets exactly one, unless its caller is gone.
type AnswerCmd struct{ Answer }

// EventCmd records an event.
type EventCmd struct{ timeline.Event }

func (SendCmd) queryCmd()   {}
func (CancelCmd) queryCmd() {}
func (AnswerCmd) queryCmd() {}
func (EventCmd) queryCmd()  {}

// Outcome says how a query ended.
type Outcome string

// The outcomes of a query.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
	Failed   Outcome = "failed"
)

// Answer is the answer to one query.
type Answer struct {
	ID            string
	Outcome       Outcome
	Execution     attempt.Execution // No only if every attempt proved not run
	Snapshot      uint64
	Expected      uint32
	Covered       uint32
	Missing       []coverage.Range
	Rows          []coverage.Row
	Preset        string
	Revision      uint64
	Rank          rank.Rank
	TookMs        clock.Millis
	Reason        string
	Attempts      int          // attempts sent
	Needed        int          // attempts needed: one per group
	MaxQueueMs    clock.Millis // longest carrier queue wait in the replies
	MeanQueueMs   clock.Millis // mean carrier queue wait in the replies
	MeanServiceMs clock.Millis // mean time of the answered attempts without that wait
	Overloaded    bool         // an attempt was shed or dropped under load
}
