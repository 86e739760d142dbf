package query

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// Msg is an input of a Model.
type Msg interface{ queryMsg() }

// StartMsg starts an admitted query. The ID must be unique among the open
// queries of this VM; a StartMsg with the ID of an open query is ignored.
type StartMsg struct {
	ID          string
	Rank        rank.Rank
	Service     string
	Body        []byte
	Customer    string // of the caller; empty if none
	Deadline    clock.Millis
	MinCoverage float64 // percent of the keys; with less coverage the query fails
	Priority    uint32
	Policy      preset.RankPolicy
	Preset      string
	Revision    uint64
}

// ReplyMsg reports the result of an attempt.
type ReplyMsg struct{ attempt.Reply }

// CallerDisconnectedMsg ends a query without an answer, because its caller disconnected.
type CallerDisconnectedMsg struct{ ID string }

// OverloadMsg sets whether a service is overloaded. Hedges are suspended while it is.
type OverloadMsg struct {
	Service    string
	Overloaded bool
}

// TickMsg runs the timers that are due. The runtime sends it at the time returned by NextWake.
type TickMsg struct{}

func (StartMsg) queryMsg()              {}
func (ReplyMsg) queryMsg()              {}
func (CallerDisconnectedMsg) queryMsg() {}
func (OverloadMsg) queryMsg()           {}
func (TickMsg) queryMsg()               {}
