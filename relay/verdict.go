package relay

import "lentillink.example/lentillink/clock"

// Reasons of a refusal that several functions name.
const (
	full          = "full"
	queueFull     = "queue_full"
	stopping      = "stopping"
	waitedTooLong = "waited_too_long"
)

// verdict is whether a request is admitted.
type verdict struct {
	reason  string       // why it is refused; empty if it is admitted
	limitAt clock.Millis // time limit that decides, 0 if it was not reached
	excess  clock.Millis // by which it is expected to exceed the limit
	probes  bool         // admitted to renew the estimate, although it seems to miss the limit
}

// checkTime decides whether a request can end before its deadline and before this VM stops.
func (m *Model) checkTime(now clock.Millis, r *request) verdict {
	switch {
	case r.deadline <= now:
		return verdict{reason: waitedTooLong}
	case m.outlastsStop(now, r):
		return verdict{reason: stopping}
	}
	return verdict{}
}

// assess decides whether a request that has time left is admitted.
func (m *Model) assess(now clock.Millis, r *request, assignments []assignment) verdict {
	switch {
	case m.policies.queueFull(r.route.Priority):
		return verdict{reason: queueFull}
	case r.gathers() && reachable(r.subrequests) < r.requiredReplies():
		return verdict{reason: unavailableReason(r.subrequests)}
	}
	v := m.wouldMissTarget(now, r, assignments)
	if v.reason == "" && m.drawnOut(now, r, assignments) {
		v.reason, v.probes = OverShare, false
	}
	return v
}

// recordVerdict records that a request is admitted.
func (m *Model) recordVerdict(r *request, v verdict) {
	if v.probes {
		// Replies to sub-requests that are sent together come in the order of their latency.
		m.statsFor(r.route).relearnIn = (len(r.subrequests) + 1) / 2
	}
}

// refusalDelay returns the retry delay of a refused request.
func (m *Model) refusalDelay(now clock.Millis, r *request, v verdict) clock.Millis {
	switch v.reason {
	case waitedTooLong:
		return m.retryAfter(0, 0)
	case stopping:
		return m.retryAfter(0, r.deadline-now)
	case OverShare:
		return m.retryAfterHold(now, r, r.route.TargetMs)
	case queueFull:
		return m.retryAfter(r.route.TargetMs, r.deadline-now)
	case full:
		return m.retryAfterHold(now, r, v.excess)
	}
	return m.retryAfterHold(now, r, noUpstreamRetryMs)
}
