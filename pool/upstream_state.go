package pool

import (
	"math"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quantile"
)

// never is later than every time at which something is due.
const never = clock.Millis(math.MaxInt64)

const (
	// serviceQuantile is low, so that only work which almost surely misses its
	// deadline is dropped.
	serviceQuantile = 0.1

	// limitRecoveryMs is the time after which a shrunken limit grows by one connection.
	limitRecoveryMs = clock.Second

	// refusalsBeforeBackoff is the number of successive refused connections that start a
	// backoff. A single one usually means that the upstream is at its limit.
	refusalsBeforeBackoff              = 2
	minBackoffMs          clock.Millis = 50
	maxBackoffMs          clock.Millis = 2 * clock.Second
	maxBackoffExp                      = 6
)

// upstreamState is the state of one upstream.
type upstreamState struct {
	id              string
	configuredLimit int // as set by LimitMsg
	effectiveLimit  int // at most limit; shrunk by refused connections
	raiseLimitAt    clock.Millis
	leaving         bool
	refusals        int // successive refused connections
	backoffs        int // successive backoffs
	backoffUntil    clock.Millis
	queue           queue
	running         attemptHeap
	conns           connections
	serviceTimes    quantile.Window
	nextDueAt       clock.Millis // when something is due next
}

func newUpstreamState(id string) *upstreamState {
	return &upstreamState{
		id: id, queue: newQueue(),
		running:      attemptHeap{heapID: heapOrder, less: expiresBefore},
		serviceTimes: quantile.NewWindow(serviceQuantile),
		nextDueAt:    never,
	}
}

// setLimit changes the configured limit. A shrunken effective limit does not
// jump back up, because the upstream refused connections above it.
func (u *upstreamState) setLimit(n int) {
	n = max(n, 0)
	if u.effectiveLimit < u.configuredLimit {
		u.effectiveLimit = min(u.effectiveLimit, n)
	} else {
		u.effectiveLimit = n
	}
	u.configuredLimit = n
}

// connRefused shrinks the limit to what the upstream has just accepted.
func (u *upstreamState) connRefused(now clock.Millis) {
	u.effectiveLimit = min(u.effectiveLimit, max(u.conns.busy, 1))
	u.raiseLimitAt = now + limitRecoveryMs
	u.refusals++
	if u.refusals < refusalsBeforeBackoff || u.conns.busy > 0 {
		return
	}
	u.backoffUntil = now + min(minBackoffMs<<u.backoffs, maxBackoffMs)
	u.backoffs = min(u.backoffs+1, maxBackoffExp)
}

func (u *upstreamState) raiseLimit(now clock.Millis) {
	for u.effectiveLimit < u.configuredLimit && now >= u.raiseLimitAt {
		u.effectiveLimit++
		u.raiseLimitAt += limitRecoveryMs
	}
}

// hasCapacity reports whether an attempt may be dispatched. After a backoff a single
// attempt probes the upstream.
func (u *upstreamState) hasCapacity(now clock.Millis) bool {
	if u.inBackoff(now) {
		return false
	}
	limit := u.effectiveLimit
	if u.refusals >= refusalsBeforeBackoff {
		limit = min(limit, 1)
	}
	return u.conns.busy < limit
}

func (u *upstreamState) inBackoff(now clock.Millis) bool { return now < u.backoffUntil }

// cannotMeetDeadline reports whether the attempt can no longer finish by its deadline.
func (u *upstreamState) cannotMeetDeadline(now clock.Millis, a *pendingAttempt) bool {
	remaining := a.req.Deadline - now
	return remaining <= 0 || remaining < u.serviceTimes.Estimate(now)
}

// rejectStatus returns the status of work that the upstream cannot take now.
func (u *upstreamState) rejectStatus(now clock.Millis) (attempt.Status, bool) {
	switch {
	case u.leaving:
		return attempt.Leaving, true
	case u.configuredLimit == 0:
		return attempt.NotSent, true
	case u.inBackoff(now):
		return attempt.ConnRefused, true
	}
	return attempt.OK, false
}

// drainMs estimates how long the queue takes, so that work that was shed does
// not come back before there is room for it.
func (u *upstreamState) drainMs(now clock.Millis) clock.Millis {
	return clock.Millis(u.queue.size) * u.serviceTimes.Estimate(now) / clock.Millis(max(u.effectiveLimit, 1))
}

// nextDue returns when the lane has to be pumped next if no message comes before.
func (u *upstreamState) nextDue(now, idleTimeoutMs clock.Millis) clock.Millis {
	at := never
	if a := u.queue.earliestDeadline(); a != nil {
		at = min(at, a.req.Deadline, a.req.Deadline-u.serviceTimes.Estimate(now)+1)
		if u.effectiveLimit < u.configuredLimit {
			at = min(at, u.raiseLimitAt)
		}
	}
	if u.running.Len() > 0 {
		at = min(at, u.running.top().expiresAt)
	}
	if len(u.conns.idle) > 0 {
		at = min(at, u.conns.idle[0]+idleTimeoutMs)
	}
	return at
}

// maxOpen is the number of connections that may stay open.
func (u *upstreamState) maxOpen() int {
	if u.leaving {
		return 0
	}
	return u.effectiveLimit
}
