package query

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// DropReason is the reason why a reply was dropped.
type DropReason uint8

// The reasons for dropping a reply.
const (
	DropUnknownAttempt  DropReason = iota // this VM never sent such an attempt
	DropFinishedAttempt                   // the attempt has ended: the reply is late or a duplicate
	DropWrongUpstream                     // the reply names another upstream than the attempt
	DropWrongVersion                      // the reply was read from another version than requested

	// DropReasonCount is the number of drop reasons.
	DropReasonCount = 4
)

var dropNames = [DropReasonCount]string{"unknown_attempt", "finished_attempt", "wrong_upstream", "wrong_version"}

// String returns the name of d.
func (d DropReason) String() string { return dropNames[d] }

// Totals counts the queries and attempts of one rank since the Model was created.
type Totals struct {
	Queries            int
	AttemptsNeeded     int // attempts without hedges and retries: one per group of each query
	Sent               int // all attempts sent
	Hedges             int
	Retries            int
	Restarts           int // attempts sent by restarts at another version
	EpochRetries       int // attempts repeated for groups on an older shard map epoch
	HedgeWins          int // hedges whose reply was used
	BudgetExhausted    int // times that a hedge or retry found the budget exhausted
	Complete           int
	Partial            int
	Failed             int
	CallerDisconnected int
}

// Totals returns the totals of a rank.
func (m *Model) Totals(r rank.Rank) Totals { return m.totals.At(r) }

// Dropped returns the number of replies that were dropped for the reason. A
// dropped reply may not belong to a query, so there is no count per rank.
func (m *Model) Dropped(d DropReason) int { return m.dropped[d] }

// OpenQueries returns the number of open queries.
func (m *Model) OpenQueries() int { return len(m.byID) }

// NextWake returns the time of the next TickMsg, and false if no timer is set.
// The time may belong to an obsolete timer; the tick then does nothing.
func (m *Model) NextWake() (clock.Millis, bool) {
	if len(m.timers.heap) == 0 {
		return 0, false
	}
	return m.timers.heap[0].at, true
}
