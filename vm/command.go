package vm

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// Cmd is an output of a Core.
type Cmd interface{ vmCmd() }

// Outcome is the result of a query.
type Outcome string

// The outcomes of a query.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
	Refused  Outcome = "refused"
	Failed   Outcome = "failed"
)

// QueryAnswer is the answer to a QueryMsg.
type QueryAnswer struct {
	ID             string
	Outcome        Outcome
	Execution      attempt.Execution
	Snapshot       uint64
	Expected       uint32
	Covered        uint32
	Missing        []coverage.Range
	Rows           []coverage.Row
	Rank           rank.Rank
	Service        string
	Preset         string
	Revision       uint64
	TookMs         clock.Millis
	Reason         string
	RetryAfterMs   clock.Millis
	Attempts       int
	AttemptsNeeded int
}

// OrderAnswer is the answer to an OrderMsg.
type OrderAnswer struct {
	ID           string
	Outcome      order.Outcome
	Execution    attempt.Execution
	Rank         rank.Rank
	Service      string
	Preset       string
	Revision     uint64
	TookMs       clock.Millis
	Reason       string
	RetryAfterMs clock.Millis
	Body         []byte
}

// AnswerQueryCmd sends the answer to a query to its caller.
type AnswerQueryCmd struct {
	CallID uint64
	Answer QueryAnswer
}

// AnswerOrderCmd sends the answer to an order to its caller.
type AnswerOrderCmd struct {
	CallID uint64
	Answer OrderAnswer
}

// DispatchCmd sends an attempt to its upstream. NewConn is set if there is no idle
// connection, so that a new one has to be opened.
type DispatchCmd struct {
	Request attempt.Request
	NewConn bool
}

// AbortCmd cancels a dispatched attempt at its upstream.
type AbortCmd struct {
	ID       attempt.ID
	Upstream string
}

// ConnectionLimitCmd sets the maximum number of connections that this VM may open
// to an upstream.
type ConnectionLimitCmd struct {
	Upstream    upstream.ID
	Connections int
}

// PollLoadCmd requests the load of an upstream. The result is a LoadMsg.
type PollLoadCmd struct{ Upstream upstream.ID }

// StoreCmd requests one call of the configuration store. The result is a StoreMsg.
type StoreCmd struct{ Request store.Request }

// EventCmd logs an event that was added to the event ring.
type EventCmd struct{ Event timeline.Event }

func (AnswerQueryCmd) vmCmd()     {}
func (AnswerOrderCmd) vmCmd()     {}
func (DispatchCmd) vmCmd()        {}
func (AbortCmd) vmCmd()           {}
func (ConnectionLimitCmd) vmCmd() {}
func (PollLoadCmd) vmCmd()        {}
func (StoreCmd) vmCmd()           {}
func (EventCmd) vmCmd()           {}
func (SendPeerCmd) vmCmd()        {}
