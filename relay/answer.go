package relay

import "lentillink.example/lentillink/clock"

// Outcome is the result category of a request.
type Outcome uint8

// The outcomes of a request.
const (
	Relayed      Outcome = iota // reply of one upstream, unchanged
	Gathered                    // merged replies of the shards
	Refused                     // not run and will not run
	Failed                      // may have run
	TimedOut                    // may have run, or may still be running
	NoRoute                     // no route in the configuration matches
	NotReady                    // no configuration loaded yet; not run
	Unauthorized                // no customer has the key; not run
	OverLimit                   // beyond the limit of its customer; not run
)

var outcomeNames = [...]string{"relayed", "gathered", "refused", "failed", "timed_out", "no_route", "not_ready", "unauthorized", "over_limit"}

// String returns the name of o.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Reply is the complete reply of an upstream.
type Reply struct {
	Status        int
	Receipt       string // identifies the upstream and the request that it answered
	Body          []byte
	NotRun        bool         // the upstream reports that it did not run the request
	WrongUpstream bool         // the address now belongs to another upstream; implies NotRun
	Leaving       bool         // the upstream states that it is leaving
	RetryAfterMs  clock.Millis // for how long it asks for no further requests; 0 if it does not
	Header        any          // header fields in the runtime's own type, for forwarding the reply
}

// success reports whether the reply may be part of a gathered answer.
func (r *Reply) success() bool { return r.Status >= 200 && r.Status < 300 && r.Receipt != "" }

// Statuses that promise a caller that its request has not run.
const (
	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

func promisesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	}
	return false
}

// Answer is the final answer to a caller.
type Answer struct {
	Outcome      Outcome
	Reply        Reply    // of a Relayed answer
	Body         []byte   // of a Gathered answer: the top records, in descending order
	Receipts     []string // of a Gathered answer, one per sub-request
	Missing      int      // shards without a reply in a Gathered answer
	Reason       string   // of a refusal or failure
	RetryAfterMs clock.Millis
	Route        string
	Version      uint64
	TookMs       clock.Millis
	Late         bool // sent after the target time of the route
}
