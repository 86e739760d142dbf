package relay

import "lentillink.example/lentillink/clock"

const (
	// crossMs is how much sooner an upstream in another data centre must be
	// expected to answer to be chosen, and crossFactor the same for long work, as a
	// share of the typical latency. The users pay for bytes between data centres.
	crossMs     = 20.0
	crossFactor = 0.4

	// openFactor is the share of a typical latency by which an attempt that is
	// already open delays the next while the upstream has free slots.
	openFactor = 0.15

	// sharedFactor is the same at an upstream that other VMs use too: one open
	// attempt of this VM stands for several.
	sharedFactor = 0.5
)

// choose returns the upstream that is expected to answer a part first, nil if
// none can take it now. any reports whether some upstream could take it later.
func (m *Model) choose(now clock.Millis, p *part, hedge bool) (best *upstream, any bool) {
	typical := m.stats(p.req.route).typical
	bestScore := 0.0
	mayProbe := !hedge && p.req.route.Idempotent && !p.req.probing && float64(p.req.answerAt-now) >= probeSlack*typical
	var avoided *upstream
	for _, u := range m.candidates(p) {
		if p.triedUpstream(u) {
			continue
		}
		any = true
		if len(u.open) >= m.lanes(u, p.req.route.Priority) {
			continue
		}
		if now < u.avoidUntil {
			if avoided == nil || u.avoidUntil < avoided.avoidUntil {
				avoided = u
			}
			continue
		}
		if mayProbe && u.probeDue(now) && m.near(u) {
			p.req.probing = true
			return u, true
		}
		if s := m.score(now, u, typical); best == nil || s < bestScore {
			best, bestScore = u, s
		}
	}
	if best == nil && !hedge && avoided != nil && (len(avoided.open) == 0 || avoided.failures == 0) {
		// Nothing better is left: one attempt at a time finds out whether it is back.
		best = avoided
	}
	return best, any
}

// near reports whether an upstream is in this VM's data centre.
func (m *Model) near(u *upstream) bool { return u.info.DataCentre == m.cfg.dataCentre }

// score is the expected latency of the next attempt at u, in milliseconds.
func (m *Model) score(now clock.Millis, u *upstream, typical float64) float64 {
	busy := sharedFactor * float64(len(u.open))
	if slots := u.info.Slots; u.service.carried && m.listed && m.carries && slots > 0 {
		queued := max(len(u.open)+1-slots, 0)
		busy = openFactor*float64(len(u.open)) + float64(queued)/float64(slots)
	}
	score := typical * u.slowness(now) * (1 + busy)
	score += float64(u.overdue(now))
	if u.overdue(now) > 0 {
		score += typical
	}
	if !m.near(u) {
		score += max(crossMs, crossFactor*typical)
	}
	// Spreads equal choices, so that VMs do not all prefer the same upstream.
	return score + m.rng.Float64()*0.1*typical
}
