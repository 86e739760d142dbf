package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
	"lentillink.example/lentillink/fairshare"
	"lentillink.example/lentillink/route"
)

// request is one request of a caller, kept until its last attempt has ended.
type request struct {
	id                 uint64
	name               string
	hash               uint64 // of the name
	route              *route.Route
	customer           string // name of the caller's customer; empty if none
	hasCredit          bool   // of its customer, which counts the request unless it does not run
	priority           priority
	share              *fairshare.Flow // of its customer's use on this VM
	version            uint64
	minShardRatio      float64 // share of the shards below which a gathered answer fails
	arrived            clock.Millis
	deadline           clock.Millis  // for the final answer, from the timeouts of the caller and the route
	targetAt           clock.Millis  // an answer after this is late
	lateAt             clock.Millis  // when the route's target has passed, whatever time the caller states
	workMs             clock.Millis  // that it takes once it is sent, 0 if it has no customer
	subrequests        []*subrequest // gathered on this VM
	succeeded          int           // sub-requests with a reply
	unresolved         int           // sub-requests that may still get a reply
	answered           bool
	answeredAt         clock.Millis
	callerDisconnected bool
	totalSubrequests   int           // sub-requests of the complete answer
	delegations        []*delegation // sub-requests that carriers gather
	probed             bool          // has probed an upstream that was slow
	delegated          bool          // gathered here for another VM
	limits             Limits        // known to the VM that delegated it
	partialSent        bool          // the partial result at the target time was sent
	retryAfterMs       clock.Millis  // longest retry delay that a carrier returned
	carrierMayHaveRun  bool          // a carrier reported an outcome other than refused
	openAttempts       int           // attempts that have not ended
	wakeAt             clock.Millis
	costKeys           cost.Keys
	hasCostKeys        bool // costKeys are set, since the cost of requests counts
	cost               cost.Estimate
}

// subrequest is the part of a request for one service.
type subrequest struct {
	req          *request
	service      *service
	dataCentre   string // data centre whose carrier gathers it, if any
	resolved     bool   // has a reply, or will get none
	reply        *Reply
	lastFailure  *Reply // last unsuccessful reply
	tried        []*upstream
	refusals     []*upstream  // those of tried that have refused it for now
	outside      *upstream    // that may have run it and is not a common one, see mayUse
	reclaimed    bool         // gathered again after its carrier was lost
	pausedUntil  clock.Millis // when it is sent again; 0 if it does not wait for that
	possibleRuns int          // attempts that may have run
	open         []*attempt
	queued       bool
	heldUntil    clock.Millis // while queued: when an upstream that asked for no requests takes them again; 0 if none
	deliveries   int          // attempts that reached or may have reached an upstream
	hedged       bool
	hedgeWaits   bool // is in waitingHedges of its service
}

// attempt is one transmission of a sub-request to one upstream.
type attempt struct {
	id           uint64
	subrequest   *subrequest
	upstream     *upstream
	sentAt       clock.Millis
	startedAt    clock.Millis // when it began to run, as far as this VM sees; 0 if it waits at its upstream
	overdueAfter clock.Millis // latency from which the reply is overdue
	expiresAt    clock.Millis // when the time that the upstream was given runs out
	hedgeAt      clock.Millis
}

// gathers reports whether the answer is merged from several replies.
func (r *request) gathers() bool { return len(r.route.Gather) > 0 }

// requiredReplies returns how many replies an answer needs.
func (r *request) requiredReplies() int {
	if !r.gathers() {
		return 1
	}
	// The tolerance keeps a rounding error in 0.9 x 10 from raising the result to 10.
	const tolerance = 1e-9
	if r.delegated {
		return 1 // the VM that delegated it decides
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
			return true // also without an acknowledgement: the message may be in transit
		}
	}
	for _, sub := range r.subrequests {
		if sub.possibleRuns > 0 {
			return true
		}
	}
	return false
}

// precedes reports whether sub is served before other. The order is by priority,
// then requests that are not late before late ones, then those of customers within their
// share before those of others, then by the time when they are late.
// It does not depend on the time that a caller states: a short one must not delay the
// requests of others.
func (sub *subrequest) precedes(now clock.Millis, other *subrequest) bool {
	a, b := sub.req, other.req
	switch {
	case a.priority != b.priority:
		return a.priority.precedes(b.priority)
	case a.isLate(now) != b.isLate(now):
		return b.isLate(now) // late requests yield to those that are not
	case a.share.Tag() != b.share.Tag():
		return a.share.Tag() < b.share.Tag()
	case a.orderAt() != b.orderAt():
		return a.orderAt() < b.orderAt()
	}
	return a.id < b.id
}

// isLate reports whether a request ends after its target even if it is sent now.
func (r *request) isLate(now clock.Millis) bool { return now+r.workMs > r.lateAt }

func (sub *subrequest) removeAttempt(a *attempt) {
	for i, o := range sub.open {
		if o == a {
			sub.open = append(sub.open[:i], sub.open[i+1:]...)
			return
		}
	}
}

// isOverdue reports whether the reply is overdue within the time that the upstream was
// given.
func (a *attempt) isOverdue(now clock.Millis) bool {
	return min(now, a.expiresAt)-a.sentAt >= a.overdueAfter
}

// cutShort reports whether an attempt ended because the time that its caller allows ran
// out before the reply was overdue. That says nothing about the upstream, which other
// callers may give more time.
func (a *attempt) cutShort(now clock.Millis) bool { return now >= a.expiresAt && !a.isOverdue(now) }
