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
	DropFinishedAttempt                   // the attempt is over: late or doubled
	DropWrongUpstream                     // it names another upstream than the attempt
	DropWrongVersion                      // it was read from another version than the attempt asked for

	// DropReasonCount is the number of reasons.
	DropReasonCount = 4
)

var dropNames = [DropReasonCount]string{"unknown_attempt", "finished_attempt", "wrong_upstream", "wrong_version"}

// String returns the name of d.
func (d DropReason) String() string { return dropNames[d] }

// Totals counts the work of one rank since the start.
type Totals struct {
	Queries            int
	Needed             int // attempts needed: one per group of each query
	Sent               int // attempts sent
	Hedges             int
	Retries            int
	Restarts           int // attempts sent again at another version
	EpochRetries       int // attempts sent to groups on an older shard map epoch
	HedgeWins          int
	BudgetExhausted    int // hedges and retries that had to wait for budget
	Complete           int
	Partial            int
	Failed             int
	CallerDisconnected int
}

// Totals returns the totals of a rank.
func (m *Model) Totals(r rank.Rank) Totals { return m.totals.At(r) }

// Dropped returns the number of replies that were dropped for the reason.
// A dropped reply may belong to no query, so there is no count per rank.
func (m *Model) Dropped(d DropReason) int { return m.dropped[d] }

// OpenQueries returns the number of open queries.
func (m *Model) OpenQueries() int { return len(m.byID) }

// NextWake returns when the model wants a TickMsg. The time may belong to a
// timer that is no longer needed; the tick then does nothing.
func (m *Model) NextWake() (clock.Millis, bool) {
	if len(m.timers.heap) == 0 {
		return 0, false
	}
	return m.timers.heap[0].at, true
}
