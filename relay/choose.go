package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
)

// choice is what the next attempt of a sub-request does.
type choice struct {
	upstream  *upstream // nil if none can take it now
	available bool      // some upstream could take it now or later
	probe     bool      // it probes an upstream that was slow
	changed   bool      // without expected costs it would be another
}

// chooseUpstream returns the upstream with the lowest expected latency for a
// sub-request, or nil if none can take it now. available reports whether some
// upstream could take it now or later.
func (m *Model) chooseUpstream(now clock.Millis, sub *subrequest, hedge bool) (chosen *upstream, available bool) {
	c := m.choose(now, sub, hedge, nil)
	if c.probe {
		sub.req.probed = true
	}
	if c.upstream != nil && m.byCost() {
		m.costs.stats.CountChoice(c.changed)
	}
	return c.upstream, c.available
}

// choose makes the choice of chooseUpstream. It calls visit, if there is one, for each
// upstream that it considers.
func (m *Model) choose(now clock.Millis, sub *subrequest, hedge bool, visit func(*upstream, Exclusion, Score)) choice {
	var c choice
	medianMs := m.statsFor(sub.req.route).medianMs
	var best Score
	bestScore, bestPlain, bestOccupied := 0.0, 0.0, math.Inf(1)
	mayProbe := !hedge && sub.req.route.Idempotent && !sub.req.probed && float64(sub.req.targetAt-now) >= probeMinMedians*medianMs
	var plain, occupied, avoided, lastResort *upstream
	for _, u := range sub.service.upstreams {
		e := m.exclusion(now, sub, u)
		c.available = c.available || e == nothing || sub.mayBecomeFree(u, e)
		var score Score
		switch {
		case e == Unreachable:
			if lastResort == nil || len(u.open) < len(lastResort.open) {
				lastResort = u
			}
		case e == Avoided:
			if avoided == nil || u.avoidUntil < avoided.avoidUntil {
				avoided = u
			}
		case e == Occupied:
			score, _ = m.scoreFor(now, u, sub.req)
			if s := score.Total(); s < bestOccupied {
				occupied, bestOccupied = u, s
			}
		case e == nothing && mayProbe && u.probeDue(now) && m.isLocal(u):
			c.upstream, c.probe = u, true
		case e == nothing:
			var plainMs float64
			score, plainMs = m.scoreFor(now, u, sub.req)
			if s := score.Total(); c.upstream == nil || s < bestScore {
				c.upstream, bestScore, best = u, s, score
			}
			if plain == nil || plainMs < bestPlain {
				plain, bestPlain = u, plainMs
			}
		}
		if visit != nil {
			visit(u, e, score)
		}
		if c.probe {
			return c
		}
	}
	c.changed = c.upstream != plain
	if c.upstream != nil && bestOccupied < m.drawbackMs(c.upstream, best, sub.req) {
		c.upstream = occupied // the free ones are slow, failing or far
	}
	if c.upstream == nil && !hedge && avoided != nil && (len(avoided.open) == 0 || avoided.failures == 0) {
		// No other upstream is left: use the one whose avoidance ends first, with only
		// one attempt at a time if it has failed.
		c.upstream = avoided
	}
	if !c.available && (sub.deliveries == 0 || len(sub.tried) == 0) && lastResort != nil {
		c.available = true // the first attempt; extra ones are too few to be lost there
		if len(lastResort.open) < m.attemptLimit(now, lastResort, sub.req.route.Priority) {
			c.upstream = lastResort
		}
	}
	return c
}

// isLocal reports whether an upstream is in this VM's data centre.
func (m *Model) isLocal(u *upstream) bool { return u.info.DataCentre == m.cfg.dataCentre }
