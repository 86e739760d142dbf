package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// Msg is a message to a Model.
type Msg interface{ queryMsg() }

// StartMsg starts an admitted query. The ID must differ from those of all open
// queries of this VM; a StartMsg that repeats one is ignored.
type StartMsg struct {
	ID          string
	Rank        rank.Rank
	Service     string
	Body        []byte
	Deadline    clock.Millis
	MinCoverage float64 // percent of the keys; below it the answer is failed
	Priority    uint32
	Policy      preset.RankPolicy
	Preset      string
	Revision    uint64
}

// ReplyMsg is the end of an attempt.
type ReplyMsg struct{ attempt.Reply }

// CallerDisconnectedMsg ends a query without an answer.
type CallerDisconnectedMsg struct{ ID string }

// OverloadMsg says whether a service is overloaded. No hedges are sent while it is.
type OverloadMsg struct {
	Service    string
	Overloaded bool
}

// TickMsg is sent at the time that NextWake returned.
type TickMsg struct{}

func (StartMsg) queryMsg()              {}
func (ReplyMsg) queryMsg()              {}
func (CallerDisconnectedMsg) queryMsg() {}
func (OverloadMsg) queryMsg()           {}
func (TickMsg) queryMsg()               {}
