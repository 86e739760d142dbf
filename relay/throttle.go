package relay

import (
	"maps"
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// MaxThrottled bounds the customers that a carrier names in one result.
	MaxThrottled = 8

	// throttledMaxAgeMs is how long what a carrier stated holds. Most VMs get results from a
	// carrier more often, and one that is silent for so long may have room again.
	throttledMaxAgeMs = 2 * clock.Second

	// OverShare is the reason of a refusal by the draw.
	OverShare = "over_share"

	// drawSalt keeps the draw of a request apart from other uses of its hash.
	drawSalt = 0x9e3779b97f4a7c15
)

// Throttled is a customer above its share whose queries would end late at a carrier. The
// VMs that its callers reach admit a part of them, before the fan-out.
type Throttled struct {
	Customer         string
	CustomerPriority int
	Priority         int     // of the route
	Admitted         float64 // part of its requests, 0 to 1
}

func (t Throttled) of(r *request) bool {
	return t.Customer == r.customer && t.CustomerPriority == r.priority.customer && t.Priority == r.priority.route
}

// throttledNow returns the customers that are throttled on this VM, for those that delegate.
func (m *Model) throttledNow(now clock.Millis) []Throttled {
	found := false
	for _, a := range m.shardShares {
		found = len(a.Throttled(now)) > 0 || found
	}
	if !found {
		return nil
	}
	var out []Throttled
	for _, p := range slices.SortedFunc(maps.Keys(m.shardShares), priority.compare) {
		for _, f := range m.shardShares[p].Throttled(now) {
			if len(out) == MaxThrottled {
				return out
			}
			if f.Customer() != "" {
				out = append(out, Throttled{Customer: f.Customer(), CustomerPriority: p.customer, Priority: p.route, Admitted: f.Admitted()})
			}
		}
	}
	return out
}

func (c *peerVM) setThrottled(now clock.Millis, list []Throttled) {
	c.throttled, c.throttledAt = list, now
}

// admitted returns the part of the requests like r that a carrier has room for.
func (c *peerVM) admitted(now clock.Millis, r *request) float64 {
	if now-c.throttledAt >= throttledMaxAgeMs {
		return 1
	}
	for _, t := range c.throttled {
		if t.of(r) {
			return t.Admitted
		}
	}
	return 1
}

// observeShare records whether a gathered request of a customer would end late here.
func (m *Model) observeShare(now clock.Millis, r *request) {
	if r.customer == "" || !r.gathers() || !r.share.ObserveDue(now) {
		return
	}
	if r.share.Observe(now, r.waitsForRoom() && now+m.estimateRequest(now, r) > r.targetAt) {
		m.event("customer_throttled", r, nil, "", 0)
	}
}

// waitsForRoom reports whether other work waits at so many shards of a request that too few
// are left for an answer. Otherwise a late answer is no matter of shares: upstreams are slow.
func (r *request) waitsForRoom() bool {
	busy := 0
	for _, sub := range r.subrequests {
		if len(sub.service.queue) > 0 {
			busy++
		}
	}
	free := float64(len(r.subrequests) - busy)
	return free < r.route.MinShardRatio*float64(len(r.subrequests))
}

// observeAssigned is observeShare for a request of which this VM gathers a part.
func (m *Model) observeAssigned(now clock.Millis, r *request, assignments []assignment) {
	for _, a := range assignments {
		if a.carrier == nil && len(a.subrequests) > 0 {
			m.observeShare(now, r)
		}
	}
}

// drawnOut reports whether a query of a customer above its share is refused, so that the
// others of that customer find room for all of their parts. The draw is of the request, so it is
// the same for all carriers.
func (m *Model) drawnOut(now clock.Millis, r *request, assignments []assignment) bool {
	part := m.admittedPart(now, r, assignments)
	return part < 1 && draw(r.hash) >= part
}

// admittedPart returns the part of the queries like r that there is room for, 0 to 1.
func (m *Model) admittedPart(now clock.Millis, r *request, assignments []assignment) float64 {
	part := 1.0
	if r.customer == "" || !r.gathers() {
		return part
	}
	for _, a := range assignments {
		if a.carrier != nil {
			part = min(part, a.carrier.admitted(now, r))
		} else if len(a.subrequests) > 0 {
			part = min(part, r.share.Admitted())
		}
	}
	return part
}

// draw returns the number from 0 to 1 that a request has at all VMs.
func draw(hash uint64) float64 {
	const bits = 53 // of a float64's fraction
	return float64(mix(hash^drawSalt)>>(64-bits)) / (1 << bits)
}

// leavesPlace reports whether a sub-request of a throttled customer leaves a free place at
// an upstream to others. At one of another data centre, whose carriers can fill it, it would
// wait before the work of others, where this VM has no say in the order. At one of this data
// centre it leaves a slot if others can't afford to wait for one.
func (m *Model) leavesPlace(now clock.Millis, sub *subrequest, u *upstream) bool {
	share := sub.req.share
	switch {
	case share.Admitted() == 1 || !u.service.isShard || !m.inFleet || !m.selfIsCarrier || !share.AboveShare():
		return false
	case m.isLocal(u):
		return m.waitIsDear(sub.req) && len(u.open) >= max(u.info.Slots-1, 1)
	}
	return m.hasHealthyLocal(now, u.service)
}

// waitIsDear reports whether a part that waits for a slot, and then takes as long as a reply
// may before it is overdue, ends too late for the target.
func (m *Model) waitIsDear(r *request) bool {
	return (1+overdueFactor)*m.statsFor(r.route).medianMs > admissionTargetShare*float64(r.route.TargetMs)
}
