package relay

import "lentillink.example/lentillink/clock"

// chooseUpstream returns the upstream with the lowest expected latency for a
// sub-request, or nil if none can take it now. available reports whether some
// upstream could take it now or later.
func (m *Model) chooseUpstream(now clock.Millis, sub *subrequest, hedge bool) (chosen *upstream, available bool) {
	medianMs := m.statsFor(sub.req.route).medianMs
	bestScore, bestPlain := 0.0, 0.0
	mayProbe := !hedge && sub.req.route.Idempotent && !sub.req.probed && float64(sub.req.targetAt-now) >= probeMinMedians*medianMs
	var plain, avoided, lastResort *upstream
	for _, u := range sub.service.upstreams {
		notBefore := u.notBefore(now)
		if !sub.mayGoTo(u) || sub.hasTried(u) || !m.mayUse(sub, u) || notBefore > now && notBefore >= sub.waitLimit() {
			continue
		}
		if now < u.avoidUntil && sub.refusedBy(u) {
			available = available || u.avoidUntil < sub.req.deadline
			continue
		}
		if m.isUnreachable(now, u.info.DataCentre) {
			if lastResort == nil || len(u.open) < len(lastResort.open) {
				lastResort = u
			}
			continue
		}
		available = true
		if now < notBefore || len(u.open) >= m.attemptLimit(now, u, sub.req.route.Priority) || m.waitsHere(now, u, sub) {
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
		s, plainMs := m.scoreFor(now, u, sub.req)
		if chosen == nil || s.Total() < bestScore {
			chosen, bestScore = u, s.Total()
		}
		if plain == nil || plainMs < bestPlain {
			plain, bestPlain = u, plainMs
		}
	}
	if chosen != nil && m.byCost() {
		m.costs.stats.CountChoice(chosen != plain)
	}
	if chosen == nil && !hedge && avoided != nil && (len(avoided.open) == 0 || avoided.failures == 0) {
		// No other upstream is left: use the one whose avoidance ends first, with only
		// one attempt at a time if it has failed.
		chosen = avoided
	}
	if !available && !hedge && lastResort != nil {
		available = true
		if len(lastResort.open) < m.attemptLimit(now, lastResort, sub.req.route.Priority) {
			chosen = lastResort
		}
	}
	return chosen, available
}

// isLocal reports whether an upstream is in this VM's data centre.
func (m *Model) isLocal(u *upstream) bool { return u.info.DataCentre == m.cfg.dataCentre }
