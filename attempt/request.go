package attempt

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/rank"
)

// Kind tells idempotent from non-idempotent work.
type Kind uint8

// Query is idempotent and may be retried. Order is not and is sent at most once.
const (
	Query Kind = iota
	Order
)

// Request is one attempt to run work on one upstream.
type Request struct {
	ID       ID
	Upstream string // service/group/replica
	Kind     Kind
	Service  string
	Group    string
	Rank     rank.Rank
	Priority uint32       // drawn once per query; higher is served first within a rank
	Deadline clock.Millis // absolute on the local clock; sent as the remaining budget
	Version  uint64       // snapshot to read; 0 for orders
	Body     []byte
	OrderID  string // only for orders
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
	HeldVersions []uint64 // snapshot versions that the upstream holds now
	Rows         []coverage.Row
	Body         []byte       // only for orders
	Leaving      bool         // binding: the upstream asks for no new work
	QueueMs      clock.Millis // time spent queued at the carrier
	ServiceMs    clock.Millis // time between dispatch and reply at the carrier
	RetryAfter   clock.Millis
}
