package relay

import (
	"cmp"
	"slices"

	"lentillink.example/lentillink/clock"
)

// rankedMs is how long an upstream that is leaving, or has left, keeps its place in the order on which VMs agree.
// Within that time all of them have learned that it leaves, and what they had sent by the order
// before has ended.
const rankedMs = 2 * clock.Second

// mayUse reports whether another attempt of a sub-request may go to u.
//
// One request may run on MaxAttempts upstreams of a shard, also if its carrier is lost and
// the VM that delegated it gathers the shard again without knowing where it ran. So all
// VMs agree on MaxAttempts-1 common upstreams. A VM that gathers again uses only these. A
// carrier uses one other at a time, which it may replace if that one has not run the
// request. The common ones are elsewhere than the carrier where possible, because its data
// centre may be lost with it.
func (m *Model) mayUse(sub *subrequest, u *upstream) bool {
	if sub.dataCentre == "" || sub.outside == nil && !sub.reclaimed {
		return true
	}
	return m.isCommon(sub, u)
}

// isCommon reports whether u is one of the common upstreams of a sub-request.
func (m *Model) isCommon(sub *subrequest, u *upstream) bool {
	limit := max(sub.req.route.MaxAttempts, 1)
	others, ahead := 0, 0
	count := func(o *upstream) {
		others++
		if m.compareCandidates(sub, o, u) < 0 {
			ahead++
		}
	}
	for _, o := range sub.service.upstreams {
		if o != u && (sub.mayGoTo(o) || o.info.Leaving && o.leftLately(m.now)) {
			count(o)
		}
	}
	for _, o := range sub.service.departed {
		if o.leftLately(m.now) && m.upstreams[o.info.ID] == nil {
			count(o)
		}
	}
	return others < limit || ahead > 0 && ahead < limit // the first is near the carrier
}

// mayGoTo reports whether u accepts new requests and the request may go there.
func (sub *subrequest) mayGoTo(u *upstream) bool { return sub.barred(u) == nothing }

// barred returns why u does not accept new requests, or why the request may not go there.
func (sub *subrequest) barred(u *upstream) Exclusion {
	if e := u.unusable(); e != nothing {
		return e
	}
	if sub.req.limits.excludes(u) {
		return Evacuated
	}
	return nothing
}

// leftLately reports whether other VMs may not know yet that u is leaving, or has left.
func (u *upstream) leftLately(now clock.Millis) bool { return now < u.leavingAt+rankedMs }

// addDeparted records that u has left the service, and drops those that left long ago.
func (s *service) addDeparted(now clock.Millis, u *upstream) {
	u.leavingAt = now
	s.departed = append(slices.DeleteFunc(s.departed, func(o *upstream) bool { return !o.leftLately(now) }), u)
}

// compareCandidates orders upstreams in a way on which all VMs agree: those in the data
// centre of the carrier first, then by a hash of the request.
func (m *Model) compareCandidates(sub *subrequest, a, b *upstream) int {
	if near := a.info.DataCentre == sub.dataCentre; near != (b.info.DataCentre == sub.dataCentre) {
		if near {
			return -1
		}
		return 1
	}
	return cmp.Compare(mix(sub.req.hash^a.hash), mix(sub.req.hash^b.hash))
}

// recordUse records that an attempt of the sub-request goes to u.
func (m *Model) recordUse(sub *subrequest, u *upstream) {
	sub.tried = append(sub.tried, u)
	if sub.dataCentre != "" && !m.isCommon(sub, u) {
		sub.outside = u
	}
}

// recordNotRun records that u has not run the sub-request.
func (sub *subrequest) recordNotRun(u *upstream) {
	sub.possibleRuns--
	if sub.outside == u {
		sub.outside = nil
	}
}

// recordShed records that u has refused the sub-request for now.
func (sub *subrequest) recordShed(u *upstream) {
	if !sub.refusedBy(u) {
		sub.refusals = append(sub.refusals, u)
	}
}

// refusedBy reports whether u has refused the sub-request for now. It may be asked again
// once it is no longer avoided.
func (sub *subrequest) refusedBy(u *upstream) bool { return slices.Contains(sub.refusals, u) }

// hasTried reports whether u must not be asked, or not asked again.
func (sub *subrequest) hasTried(u *upstream) bool {
	return slices.Contains(sub.tried, u) && !sub.refusedBy(u)
}
