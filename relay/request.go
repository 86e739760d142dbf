package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

// request is one request of a caller, until its last attempt has ended.
type request struct {
	id                 uint64
	name               string
	hash               uint64 // of the name
	route              *route.Route
	version            uint64
	minShardRatio      float64 // of the shards, below which a gathered answer fails
	arrived            clock.Millis
	deadline           clock.Millis  // final answer: the caller or the route waits no longer
	targetAt           clock.Millis  // an answer after this is late
	callerRetry        bool          // the caller was here before
	subrequests        []*subrequest // that are gathered here
	succeeded          int           // parts with a reply
	unresolved         int           // parts that may still get one
	answered           bool
	answeredAt         clock.Millis
	callerDisconnected bool // the caller has left
	host               string
	path               string
	totalSubrequests   int           // parts that the whole answer has
	delegations        []*delegation // parts that carriers gather
	probed             bool          // has tried an upstream that was slow
	delegated          bool          // gathered here for another VM
	partialSent        bool          // what was in when the answer became late was handed back
	retryAfterMs       clock.Millis  // longest time to come back that a carrier stated
	carrierMayHaveRun  bool          // a carrier may have begun
	openAttempts       int           // attempts that have not ended
	wakeAt             clock.Millis
}

// subrequest is what a request needs of one service.
type subrequest struct {
	req         *request
	service     *service
	dataCentre  string // data centre whose carrier gathers it, if any
	resolved    bool   // has a reply, or never will
	reply       *Reply
	lastFailure *Reply // the last reply that was no success
	tried       []*upstream
	mayRun      int // attempts that may have run
	open        []*attempt
	queued      bool
	deliveries  int // attempts that reached or may have reached an upstream
	hedged      bool
}

// attempt is one sending of a part to one upstream.
type attempt struct {
	id           uint64
	subrequest   *subrequest
	upstream     *upstream
	sentAt       clock.Millis
	overdueAfter clock.Millis // after this long a reply is overdue
	hedgeAt      clock.Millis
}

// gathers reports whether the answer is merged from parts.
func (r *request) gathers() bool { return len(r.route.Gather) > 0 }

// requiredReplies returns how many parts a gathered answer needs.
func (r *request) requiredReplies() int {
	if !r.gathers() {
		return 1
	}
	// The tolerance keeps 0.9 x 10 from becoming 10 by rounding.
	const tolerance = 1e-9
	if r.delegated {
		return 1 // the VM that handed it over decides
	}
	return max(int(math.Ceil(r.minShardRatio*float64(r.totalSubrequests)-tolerance)), 1)
}

// mayHaveRun reports whether some attempt may have run.
func (r *request) mayHaveRun() bool {
	if r.carrierMayHaveRun {
		return true
	}
	for _, d := range r.delegations {
		if !d.notStarted {
			return true // also if the carrier has not confirmed: the message may be on its way
		}
	}
	for _, sub := range r.subrequests {
		if sub.mayRun > 0 {
			return true
		}
	}
	return false
}

// precedes reports whether p is served before q: by priority, then callers that
// return, because they were refused once, then by who has less time left.
func (sub *subrequest) precedes(now clock.Millis, other *subrequest) bool {
	a, b := sub.req, other.req
	switch {
	case a.route.Priority != b.route.Priority:
		return a.route.Priority < b.route.Priority
	case (now > a.targetAt) != (now > b.targetAt):
		return now <= a.targetAt // what is late already gives way to what is not
	case a.callerRetry != b.callerRetry:
		return a.callerRetry
	case a.targetAt != b.targetAt:
		return a.targetAt < b.targetAt
	}
	return a.id < b.id
}

func (sub *subrequest) hasTried(u *upstream) bool {
	for _, t := range sub.tried {
		if t == u {
			return true
		}
	}
	return false
}

func (sub *subrequest) removeAttempt(a *attempt) {
	for i, o := range sub.open {
		if o == a {
			sub.open = append(sub.open[:i], sub.open[i+1:]...)
			return
		}
	}
}
