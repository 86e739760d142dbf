package attempt

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/rank"
)

// Kind distinguishes idempotent from non-idempotent requests.
type Kind uint8

// Query is idempotent and may be retried. Order is not and is sent at most once.
const (
	Query Kind = iota
	Order
)

// Request is the request of one attempt to one upstream.
type Request struct {
	ID       ID
	Upstream string // service/group/replica
	Kind     Kind
	Service  string
	Group    string
	Rank     rank.Rank
	Priority uint32       // random, chosen once per query; higher is served first within a rank
	Deadline clock.Millis // absolute time on the local clock; sent as the remaining time
	Version  uint64       // snapshot version to read; 0 for orders
	Body     []byte
	OrderID  string // only for orders
	Customer string // of the caller; empty if none
}

// Reply is the result of an attempt.
type Reply struct {
	ID           ID
	Upstream     string
	Status       Status
	Execution    Execution
	Version      uint64
	Epoch        uint64 // shard map epoch under which Ranges was computed
	Ranges       []coverage.Range
	HeldVersions []uint64 // snapshot versions that the upstream currently holds
	Rows         []coverage.Row
	Body         []byte       // only for orders
	Leaving      bool         // the upstream is leaving; no new attempts may be sent to it
	QueueMs      clock.Millis // time in the carrier's queue
	ServiceMs    clock.Millis // time from dispatch to reply at the carrier
	RetryAfter   clock.Millis // time until a retry may be accepted; 0 if unknown
}
