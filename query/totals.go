package query

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// Drop is the reason why a reply was dropped.
type Drop uint8

// The reasons for dropping a reply.
const (
	DropUnknown  Drop = iota // this VM never sent such an attempt
	DropFinished             // the attempt is over: late or doubled
	DropUpstream             // it names another upstream than the attempt
	DropVersion              // it was read from another version than the attempt asked for

	// DropReasons is the number of reasons.
	DropReasons = 4
)

var dropNames = [DropReasons]string{"unknown_attempt", "finished_attempt", "wrong_upstream", "wrong_version"}

// String returns the name of d.
func (d Drop) String() string { return dropNames[d] }

// Totals counts the work of one rank since the start.
type Totals struct {
	Queries    int
	Needed     int // attempts needed: one per group of each query
	Sent       int // attempts sent
	Hedges     int
	Retries    int
	Restarts   int // attempts sent again at another version
	Reasks     int // attempts sent to groups on an older shard map epoch
	HedgeWins  int
	NoTokens   int // hedges and retries that had to wait for budget
	Complete   int
	Partial    int
	Failed     int
	CallerGone int
}

// Totals returns the totals of a rank.
func (m *Model) Totals(r rank.Rank) Totals { return m.totals.At(r) }

// Dropped returns the number of replies that were dropped for the reason.
// A dropped reply may belong to no query, so there is no count per rank.
func (m *Model) Dropped(d Drop) int { return m.dropped[d] }

// Open returns the number of open queries.
func (m *Model) Open() int { return len(m.byID) }

// NextWake returns when the model wants a TickMsg. The time may belong to a
// timer that is no longer needed; the tick then does nothing.
func (m *Model) NextWake() (clock.Millis, bool) {
	if len(m.timers.heap) == 0 {
		return 0, false
	}
	return m.timers.heap[0].at, true
}
