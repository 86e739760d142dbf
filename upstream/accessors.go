package upstream

import (
	"cmp"
	"math"
	"slices"

	"lentillink.example/lentillink/clock"
)

// Avoided is an upstream that gets fewer or no attempts, with the reason.
type Avoided struct {
	ID     ID           `json:"id"`
	Reason string       `json:"reason"` // leaving, dead, shedding or ramping
	Until  clock.Millis `json:"until_ms,omitempty"`
}

// HedgeDelay returns the time between an attempt on the upstream and its hedge:
// the lowest p95 in the group, at most maxHedgeMedians medians. With its own
// p95, a straggler would delay the hedge by its own long tail.
func (b *Balancer) HedgeDelay(_ clock.Millis, id ID) clock.Millis {
	s := b.byID[id]
	if s == nil {
		return max(defaultLatencyMs, b.minHedgeMs)
	}
	shortestMs := 0.0
	for _, replica := range s.group.upstreams {
		if replica.latency.hasEnoughSamples() && (shortestMs == 0 || replica.latency.hedgeDelay < shortestMs) {
			shortestMs = replica.latency.hedgeDelay
		}
	}
	if shortestMs == 0 {
		shortestMs = s.service.hedgeMs()
	}
	return max(clock.Millis(math.Ceil(shortestMs)), b.minHedgeMs)
}

// LatencyP95 returns the p95 latency of the service's attempts.
func (b *Balancer) LatencyP95(service string) clock.Millis {
	svc := b.services[service]
	if svc == nil {
		return defaultLatencyMs
	}
	return clock.Millis(math.Ceil(svc.p95Ms()))
}

// CommonVersion returns the newest version that at least one usable upstream of
// every group holds. Groups without known versions are ignored.
func (b *Balancer) CommonVersion(service string) (version uint64, ok bool) {
	svc := b.services[service]
	if svc == nil {
		return 0, false
	}
	versions, knownGroups := svc.versions()
	for _, v := range versions {
		if groups, _ := svc.countHolders(v); groups == knownGroups && v > version {
			version = v
		}
	}
	return version, version != 0
}

// BestVersion returns the version for the next query, with the number of
// groups that hold it and of groups with known versions.
//
// It is the newest version that every group has held for versionSettleMs. If
// there is none, it is the version that the most groups hold; ties go to the
// version that the most upstreams hold, then to the newest. If the newest
// common version were used at once, all work would go to the first upstreams
// that load it, with half the capacity of their groups. Without the time limit,
// one upstream that never loads it would keep the whole service on an old
// snapshot.
func (b *Balancer) BestVersion(now clock.Millis, service string) (version uint64, holdingGroups, knownGroups int) {
	svc := b.services[service]
	if svc == nil {
		return 0, 0, 0
	}
	versions, knownGroups := svc.versions()
	if v := svc.settledVersion(now); v != 0 {
		if groups, _ := svc.countHolders(v); groups == knownGroups {
			return v, groups, knownGroups
		}
	}
	mostUpstreams := 0
	for _, v := range versions {
		groups, upstreams := svc.countHolders(v)
		better := cmp.Or(cmp.Compare(groups, holdingGroups), cmp.Compare(upstreams, mostUpstreams), cmp.Compare(v, version))
		if better > 0 {
			version, holdingGroups, mostUpstreams = v, groups, upstreams
		}
	}
	return version, holdingGroups, knownGroups
}

// settledVersion returns the newest version that every group has held for versionSettleMs, or 0.
func (s *service) settledVersion(now clock.Millis) uint64 {
	var newest uint64
	for _, c := range s.commonVersions {
		if now >= c.since+versionSettleMs {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// GroupsHolding returns the number of groups in which a usable upstream is known to hold the version.
func (b *Balancer) GroupsHolding(service string, version uint64) int {
	svc := b.services[service]
	if svc == nil {
		return 0
	}
	groups, _ := svc.countHolders(version)
	return groups
}

// MayHold reports whether some usable upstream of the group holds the version
// or has not reported its versions.
func (b *Balancer) MayHold(service, group string, version uint64) bool {
	g := b.findGroup(service, group)
	return g != nil && slices.ContainsFunc(g.upstreams, func(s *upstreamState) bool {
		return s.usable() && (len(s.heldVersions) == 0 || slices.Contains(s.heldVersions, version))
	})
}

// HeldVersions returns the versions that the upstream last reported and the time of the report.
func (b *Balancer) HeldVersions(id ID) ([]uint64, clock.Millis) {
	s := b.byID[id]
	if s == nil {
		return nil, 0
	}
	return slices.Clone(s.heldVersions), s.heldVersionsAt
}

// Outstanding returns the number of this VM's attempts in flight on the upstream.
func (b *Balancer) Outstanding(id ID) int {
	if s := b.byID[id]; s != nil {
		return s.outstanding
	}
	return 0
}

// Avoided lists the upstreams that get fewer or no attempts at now.
func (b *Balancer) Avoided(now clock.Millis) []Avoided {
	var list []Avoided
	for _, s := range b.byID {
		switch {
		case s.leaving:
			list = append(list, Avoided{ID: s.id, Reason: "leaving"})
		case s.dead:
			list = append(list, Avoided{ID: s.id, Reason: "dead", Until: s.retryAt})
		case now < s.retryAt:
			list = append(list, Avoided{ID: s.id, Reason: "shedding", Until: s.retryAt})
		case s.ramping && now < s.rampStart+b.rampMs:
			list = append(list, Avoided{ID: s.id, Reason: "ramping", Until: s.rampStart + b.rampMs})
		}
	}
	slices.SortFunc(list, func(x, y Avoided) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return list
}

func (b *Balancer) findGroup(svc, grp string) *group {
	if s := b.services[svc]; s != nil {
		return s.byName[grp]
	}
	return nil
}

func (s *service) p95Ms() float64 {
	if !s.latency.hasEnoughSamples() {
		return defaultLatencyMs
	}
	return s.latency.p95
}

func (s *service) hedgeMs() float64 {
	if !s.latency.hasEnoughSamples() {
		return defaultLatencyMs
	}
	return s.latency.hedgeDelay
}

// versions returns the versions that usable upstreams hold and the number of
// groups in which a usable upstream has reported any.
func (s *service) versions() (seen []uint64, knownGroups int) {
	for _, g := range s.groups {
		anyKnown := false
		for _, u := range g.upstreams {
			if !u.usable() {
				continue
			}
			anyKnown = anyKnown || len(u.heldVersions) > 0
			for _, v := range u.heldVersions {
				if !slices.Contains(seen, v) {
					seen = append(seen, v)
				}
			}
		}
		if anyKnown {
			knownGroups++
		}
	}
	return seen, knownGroups
}

// countHolders counts the groups and the usable upstreams that hold the version.
func (s *service) countHolders(version uint64) (groups, upstreams int) {
	for _, g := range s.groups {
		before := upstreams
		for _, u := range g.upstreams {
			if u.usable() && slices.Contains(u.heldVersions, version) {
				upstreams++
			}
		}
		if upstreams > before {
			groups++
		}
	}
	return groups, upstreams
}

func (s *upstreamState) usable() bool { return !s.leaving && !s.dead }
