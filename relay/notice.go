package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// maxNotices bounds the upstreams whose notices are kept.
	maxNotices = 8192

	// maxHoldMs limits how long an upstream gets no requests after one refusal. It is
	// longer than any overload should last, and one request then shows whether the
	// upstream is back.
	maxHoldMs = 5 * clock.Minute

	// holdJitterShare is the share of the requested time that is added at random, at
	// least minHoldJitterMs, so that VMs that were refused together do not return
	// together.
	holdJitterShare              = 0.2
	minHoldJitterMs clock.Millis = 100
)

// notice is what one incarnation of an upstream stated about itself in its replies. It
// outlives the upstream's entry in the store, which may be older than the reply, or be
// removed and written again.
type notice struct {
	incarnation uint64
	leaving     bool
	holdUntil   clock.Millis
}

// recordNotice applies what a reply states about its upstream. This VM sends a leaving
// upstream nothing more. It does not tell the other VMs: each learns it from its own
// next reply, while the upstream still serves.
func (m *Model) recordNotice(now clock.Millis, u *upstream, reply Reply) {
	if reply.WrongUpstream {
		return // another upstream replied
	}
	hold := holdTime(reply)
	if hold == 0 && (!reply.Leaving || u.info.Leaving) {
		return
	}
	n := m.notices.get(u.info.ID)
	current := m.upstreams[u.info.ID]
	// A kept notice may have a start time that is too high. The report in force does not,
	// or is outvoted.
	newest := n.incarnation
	if current != nil {
		newest = current.info.Incarnation
	}
	if newest > u.info.Incarnation {
		return
	}
	if n.incarnation != u.info.Incarnation {
		n = notice{incarnation: u.info.Incarnation}
	}
	n.leaving = n.leaving || reply.Leaving
	if hold > 0 {
		jitter := max(clock.Millis(holdJitterShare*float64(hold)), minHoldJitterMs)
		n.holdUntil = max(n.holdUntil, now+hold+1+clock.Millis(m.rng.Int64N(int64(jitter))))
	}
	m.notices.set(u.info.ID, n)
	m.applyNotice(u, n)
	if current != nil && current != u {
		m.applyNotice(current, n)
	}
}

// holdTime returns for how long a reply asks for no further requests.
func holdTime(reply Reply) clock.Millis {
	if reply.Status != statusUnavailable || reply.RetryAfterMs <= 0 {
		return 0
	}
	return min(reply.RetryAfterMs, maxHoldMs)
}

// applyNotice applies a notice to an upstream if it is of the same incarnation.
func (m *Model) applyNotice(u *upstream, n notice) {
	if n.incarnation != u.info.Incarnation {
		return
	}
	if n.holdUntil > u.holdUntil {
		u.holdUntil = n.holdUntil
		u.attemptWindow = 1 // one request then shows whether it takes more
		m.emit(EventCmd{Event: Event{Kind: "upstream_hold", Upstream: u.info.ID, Detail: u.service.name}})
	}
	if n.leaving {
		m.markLeaving(u, "reply")
	}
}

// markLeaving records that an upstream is leaving, from another source than its newest
// report.
func (m *Model) markLeaving(u *upstream, source string) {
	if u.info.Leaving {
		return
	}
	u.info.Leaving, u.leavingAt = true, m.now
	u.service.upstreamsChanged()
	m.emit(EventCmd{Event: Event{Kind: "upstream_leaving", Upstream: u.info.ID, Detail: u.service.name + " " + source}})
}

// waitLimit returns until when a sub-request may wait for an upstream that asked for no
// requests. A part of a gathered answer waits no longer than the answer does.
func (sub *subrequest) waitLimit() clock.Millis {
	if sub.req.gathers() {
		return sub.req.targetAt
	}
	return sub.req.deadline
}

// heldUntil returns when the first upstream of a service takes requests again, or 0 if
// one does now, or none is left.
func (s *service) heldUntil(now clock.Millis) clock.Millis {
	first := clock.Millis(0)
	for _, u := range s.upstreams {
		switch at := u.notBefore(now); {
		case !u.usable():
		case now >= at:
			return 0
		case first == 0 || at < first:
			first = at
		}
	}
	return first
}

// holdRemaining returns the time until enough shards of a request have an upstream that
// takes requests again, 0 if they have one now.
func (m *Model) holdRemaining(now clock.Millis, subrequests []*subrequest, required int) clock.Millis {
	waits := make([]clock.Millis, 0, len(subrequests))
	for _, sub := range subrequests {
		waits = append(waits, max(sub.service.heldUntil(now)-now, 0))
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(max(required-1, 0), len(waits)-1)]
}

// dispatchHeld sends the queued sub-requests of a request whose upstreams take requests
// again, and sets the timer for the others.
func (m *Model) dispatchHeld(now clock.Millis, r *request) {
	for _, sub := range r.subrequests {
		if !sub.queued || sub.heldUntil == 0 {
			continue
		}
		if now < sub.heldUntil {
			m.wake(r, sub.heldUntil)
			continue
		}
		sub.heldUntil = 0
		m.dispatchQueued(now, sub.service)
		if sub.queued { // a cold upstream takes one at a time
			if sub.heldUntil = sub.service.heldUntil(now); sub.heldUntil > 0 {
				m.wake(r, sub.heldUntil)
			}
		}
	}
}
