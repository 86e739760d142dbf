package relay

import "lentillink.example/lentillink/clock"

// Outcome says how a request ended.
type Outcome uint8

// The outcomes of a request.
const (
	Relayed  Outcome = iota // the reply of one upstream, unchanged
	Gathered                // the merged parts of the shards
	Refused                 // not run, and never will be
	Failed                  // may have run
	TimedOut                // may have run or may still run
	NoRoute                 // the configuration names no such route
	NotReady                // no configuration is known; not run
)

var outcomeNames = [...]string{"relayed", "gathered", "refused", "failed", "timed_out", "no_route", "not_ready"}

// String returns the name of o.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Reply is the whole reply of an upstream.
type Reply struct {
	Status        int
	Receipt       string // proves who answered which request
	Body          []byte
	NotRun        bool // the upstream states that it did not run the request
	WrongUpstream bool // another upstream has the address; implies NotRun
	Leaving       bool // the upstream closes the connection
	Header        any  // what the runtime needs to pass the reply on
}

// success reports whether the reply may be part of a gathered answer.
func (r *Reply) success() bool { return r.Status >= 200 && r.Status < 300 && r.Receipt != "" }

// Answer is the final answer to a caller.
type Answer struct {
	Outcome      Outcome
	Reply        Reply    // of a Relayed answer
	Body         []byte   // of a Gathered answer: the greatest records, falling
	Receipts     []string // of a Gathered answer, one for each part
	Missing      int      // shards that are left out of a Gathered answer
	Reason       string   // of a refusal or failure
	RetryAfterMs clock.Millis
	Route        string
	Version      uint64
	TookMs       clock.Millis
	Late         bool // after the target of the route
}
