package pool

import (
	"math"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quantile"
)

// never is later than any scheduled time.
const never = clock.Millis(math.MaxInt64)

const (
	// serviceQuantile is the quantile of the service times that decides whether an
	// attempt can meet its deadline. It is low, so that only attempts that almost
	// certainly miss it are dropped.
	serviceQuantile = 0.1

	// limitRecoveryMs is the time after which a lowered limit rises by one connection.
	limitRecoveryMs = clock.Second

	// refusalsBeforeBackoff is the number of consecutive refused connections that
	// start a backoff. A single one usually means that the upstream has reached
	// its connection limit.
	refusalsBeforeBackoff              = 2
	minBackoffMs          clock.Millis = 50
	maxBackoffMs          clock.Millis = 2 * clock.Second
	maxBackoffExp                      = 6
)

// upstreamState is the queue, the connections and the limits of one upstream.
type upstreamState struct {
	id              string
	configuredLimit int // as set by LimitMsg
	effectiveLimit  int // at most configuredLimit; lowered by refused connections
	raiseLimitAt    clock.Millis
	leaving         bool
	refusals        int // consecutive refused connections
	backoffs        int // consecutive backoffs
	backoffUntil    clock.Millis
	queue           queue
	running         attemptHeap
	conns           connections
	serviceTimes    quantile.Window
	nextDueAt       clock.Millis // when schedule must be called next
}

func newUpstreamState(id string) *upstreamState {
	return &upstreamState{
		id: id, queue: newQueue(),
		running:      attemptHeap{heapID: heapOrder, less: expiresBefore},
		serviceTimes: quantile.NewWindow(serviceQuantile),
		nextDueAt:    never,
	}
}

// setLimit changes the configured limit. It does not raise an effective limit that
// was lowered, because the upstream refused connections above it.
func (u *upstreamState) setLimit(n int) {
	n = max(n, 0)
	if u.effectiveLimit < u.configuredLimit {
		u.effectiveLimit = min(u.effectiveLimit, n)
	} else {
		u.effectiveLimit = n
	}
	u.configuredLimit = n
}

// connRefused lowers the effective limit to the connections that the upstream
// currently accepts. It starts a backoff after repeated refusals without any busy
// connection.
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

// hasCapacity reports whether an attempt may be dispatched. After a backoff only
// one attempt may run, as a probe of the upstream.
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

// cannotMeetDeadline reports whether a queued attempt would miss its deadline even
// if it were dispatched now.
func (u *upstreamState) cannotMeetDeadline(now clock.Millis, a *pendingAttempt) bool {
	remaining := a.req.Deadline - now
	return remaining <= 0 || remaining < u.serviceTimes.Estimate(now)
}

// rejectStatus reports whether the upstream accepts no attempts at all, and the
// status with which queued attempts are then returned.
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

// drainMs estimates how long it takes to drain the queue, so that attempts that
// were shed are not retried before there is capacity for them.
func (u *upstreamState) drainMs(now clock.Millis) clock.Millis {
	return clock.Millis(u.queue.size) * u.serviceTimes.Estimate(now) / clock.Millis(max(u.effectiveLimit, 1))
}

// nextDue returns when schedule must be called next if no message arrives before.
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

// maxOpen returns the number of connections that may stay open.
func (u *upstreamState) maxOpen() int {
	if u.leaving {
		return 0
	}
	return u.effectiveLimit
}
