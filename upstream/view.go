package upstream

import (
	"cmp"
	"math"
	"slices"

	"lentillink.example/lentillink/clock"
)

// Avoided is an upstream that gets less or no work, and why.
type Avoided struct {
	ID     ID           `json:"id"`
	Reason string       `json:"reason"` // leaving, dead, shedding or ramping
	Until  clock.Millis `json:"until_ms,omitempty"`
}

// HedgeDelay returns how long to wait for an attempt on the upstream before a
// hedge: the lowest p95 in the group, so that a straggler does not wait for
// its own long tail, and at most a few medians.
func (b *Balancer) HedgeDelay(_ clock.Millis, id ID) clock.Millis {
	s := b.byID[id]
	if s == nil {
		return max(defaultLatencyMs, b.floorMs)
	}
	best := 0.0
	for _, o := range s.group.upstreams {
		if o.latency.known() && (best == 0 || o.latency.hedge < best) {
			best = o.latency.hedge
		}
	}
	if best == 0 {
		best = s.service.hedgeMs()
	}
	return max(clock.Millis(math.Ceil(best)), b.floorMs)
}

// LatencyP95 returns the p95 latency of the service's attempts.
func (b *Balancer) LatencyP95(service string) clock.Millis {
	svc := b.services[service]
	if svc == nil {
		return defaultLatencyMs
	}
	return clock.Millis(math.Ceil(svc.typicalMs()))
}

// CommonVersion returns the newest version that at least one usable upstream of
// every group holds. Groups with nothing known are ignored.
func (b *Balancer) CommonVersion(service string) (version uint64, ok bool) {
	svc := b.services[service]
	if svc == nil {
		return 0, false
	}
	seen, known := svc.versions()
	for _, v := range seen {
		if groups, _ := svc.holders(v); groups == known && v > version {
			version = v
		}
	}
	return version, version != 0
}

// BestVersion returns the version for the next query, with the number of
// groups that hold it and of groups with known versions.
//
// It is the newest version that every group has held for settleMs. Before that
// it is the version that the most groups hold; of several, the one that the
// most upstreams hold; of several, the newest. Taking the newest common version
// at once would send all work to the first upstreams that load it, with half
// the capacity of their groups; without the time limit one upstream that never
// loads it would keep the whole service on an old snapshot.
func (b *Balancer) BestVersion(now clock.Millis, service string) (version uint64, holds, known int) {
	svc := b.services[service]
	if svc == nil {
		return 0, 0, 0
	}
	seen, known := svc.versions()
	if v := svc.settled(now); v != 0 {
		if groups, _ := svc.holders(v); groups == known {
			return v, groups, known
		}
	}
	most := 0
	for _, v := range seen {
		groups, upstreams := svc.holders(v)
		better := cmp.Or(cmp.Compare(groups, holds), cmp.Compare(upstreams, most), cmp.Compare(v, version))
		if better > 0 {
			version, holds, most = v, groups, upstreams
		}
	}
	return version, holds, known
}

// settled returns the newest version that every group has held for settleMs, or 0.
func (s *service) settled(now clock.Millis) uint64 {
	var newest uint64
	for _, c := range s.common {
		if now >= c.since+settleMs {
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
	groups, _ := svc.holders(version)
	return groups
}

// MayHold reports whether some usable upstream of the group holds the version
// or has not said what it holds.
func (b *Balancer) MayHold(service, group string, version uint64) bool {
	g := b.find(service, group)
	return g != nil && slices.ContainsFunc(g.upstreams, func(s *state) bool {
		return s.usable() && (len(s.held) == 0 || slices.Contains(s.held, version))
	})
}

// HeldVersions returns the versions that the upstream last reported and when.
func (b *Balancer) HeldVersions(id ID) ([]uint64, clock.Millis) {
	s := b.byID[id]
	if s == nil {
		return nil, 0
	}
	return slices.Clone(s.held), s.heldAt
}

// Outstanding returns the number of this VM's open attempts on the upstream.
func (b *Balancer) Outstanding(id ID) int {
	if s := b.byID[id]; s != nil {
		return s.outstanding
	}
	return 0
}

// Avoided lists the upstreams that get less or no work at now.
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
		case s.ramping && now < s.rampFrom+b.rampMs:
			list = append(list, Avoided{ID: s.id, Reason: "ramping", Until: s.rampFrom + b.rampMs})
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

func (b *Balancer) find(svc, grp string) *group {
	if s := b.services[svc]; s != nil {
		return s.byName[grp]
	}
	return nil
}

func (s *service) typicalMs() float64 {
	if !s.latency.known() {
		return defaultLatencyMs
	}
	return s.latency.p95
}

func (s *service) hedgeMs() float64 {
	if !s.latency.known() {
		return defaultLatencyMs
	}
	return s.latency.hedge
}

// versions returns the versions that usable upstreams hold and the number of
// groups that have any.
func (s *service) versions() (seen []uint64, known int) {
	for _, g := range s.groups {
		has := false
		for _, u := range g.upstreams {
			if !u.usable() {
				continue
			}
			has = has || len(u.held) > 0
			for _, v := range u.held {
				if !slices.Contains(seen, v) {
					seen = append(seen, v)
				}
			}
		}
		if has {
			known++
		}
	}
	return seen, known
}

// holders counts the groups and the usable upstreams that hold the version.
func (s *service) holders(version uint64) (groups, upstreams int) {
	for _, g := range s.groups {
		before := upstreams
		for _, u := range g.upstreams {
			if u.usable() && slices.Contains(u.held, version) {
				upstreams++
			}
		}
		if upstreams > before {
			groups++
		}
	}
	return groups, upstreams
}

func (s *state) usable() bool { return !s.leaving && !s.dead }
