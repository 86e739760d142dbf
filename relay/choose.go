package relay

import "lentillink.example/lentillink/clock"

const (
	// crossCentreMs is how much faster an upstream in another data centre must be
	// expected to answer to be chosen, because the users pay for traffic between data
	// centres. On slow routes it is crossCentreFactor times the median latency instead.
	crossCentreMs     = 20.0
	crossCentreFactor = 0.4

	// doubtfulMs is added for an upstream in a data centre with a silent VM.
	doubtfulMs = 1000.0

	// openAttemptFactor is the share of the median latency by which each open attempt
	// delays the next one while the upstream has free slots.
	openAttemptFactor = 0.15

	// sharedAttemptFactor replaces openAttemptFactor at an upstream that other VMs use
	// too, where one open attempt of this VM implies several from other VMs.
	sharedAttemptFactor = 0.5
)

// chooseUpstream returns the upstream with the lowest expected latency for a
// sub-request, or nil if none can take it now. available reports whether some
// upstream could take it now or later.
func (m *Model) chooseUpstream(now clock.Millis, sub *subrequest, hedge bool) (chosen *upstream, available bool) {
	medianMs := m.statsFor(sub.req.route).medianMs
	bestScore := 0.0
	mayProbe := !hedge && sub.req.route.Idempotent && !sub.req.probed && float64(sub.req.targetAt-now) >= probeMinMedians*medianMs
	var avoided, lastResort *upstream
	for _, u := range m.candidates(now, sub) {
		notBefore := u.notBefore(now)
		if sub.hasTried(u) || notBefore > now && notBefore >= sub.waitLimit() {
			continue
		}
		if m.isUnreachable(now, u.info.DataCentre) {
			if lastResort == nil || len(u.open) < len(lastResort.open) {
				lastResort = u
			}
			continue
		}
		available = true
		if now < notBefore || len(u.open) >= m.attemptLimit(now, u, sub.req.route.Priority) {
			continue
		}
		if now < u.avoidUntil {
			if avoided == nil || u.avoidUntil < avoided.avoidUntil {
				avoided = u
			}
			continue
		}
		if mayProbe && u.probeDue(now) && m.isLocal(u) {
			sub.req.probed = true
			return u, true
		}
		if s := m.score(now, u, medianMs); chosen == nil || s < bestScore {
			chosen, bestScore = u, s
		}
	}
	if chosen == nil && !hedge && avoided != nil && (len(avoided.open) == 0 || avoided.failures == 0) {
		// No other upstream is left: use the one whose avoidance ends first, with only
		// one attempt at a time if it has failed.
		chosen = avoided
	}
	if !available && (sub.deliveries == 0 || len(sub.tried) == 0) && lastResort != nil {
		available = true // the first attempt; extra ones are too few to be lost there
		if len(lastResort.open) < m.attemptLimit(now, lastResort, sub.req.route.Priority) {
			chosen = lastResort
		}
	}
	return chosen, available
}

// isLocal reports whether an upstream is in this VM's data centre.
func (m *Model) isLocal(u *upstream) bool { return u.info.DataCentre == m.cfg.dataCentre }

// score returns the expected latency of the next attempt at u, in milliseconds.
func (m *Model) score(now clock.Millis, u *upstream, medianMs float64) float64 {
	busy := sharedAttemptFactor * float64(len(u.open))
	if slots := u.info.Slots; u.service.isShard && m.inFleet && m.selfIsCarrier && slots > 0 {
		queued := max(len(u.open)+1-slots, 0)
		busy = openAttemptFactor*float64(len(u.open)) + float64(queued)/float64(slots)
	}
	score := medianMs * u.slowness(now) * (1 + busy)
	score += float64(u.overdue(now))
	if u.overdue(now) > 0 {
		score += medianMs
	}
	if !m.isLocal(u) {
		score += max(crossCentreMs, crossCentreFactor*medianMs)
	}
	if m.isDoubtful(now, u.info.DataCentre) {
		score += doubtfulMs
	}
	// Jitter breaks ties, so that VMs do not all prefer the same upstream.
	return score + m.rng.Float64()*0.1*medianMs
}
