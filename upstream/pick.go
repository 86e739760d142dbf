package upstream

import (
	"math"
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// rampStartShare is the share of attempts that an upstream gets at the start of its ramp.
	rampStartShare = 0.1
	// idleHalfLifeMs is the time without samples in which an expected latency moves
	// halfway to the group's lowest mean, so that a recovered upstream is tried again.
	idleHalfLifeMs = 5 * clock.Second
	// stragglerFactor is the ratio of expected latencies from which a hedge goes
	// to an upstream that was tried already rather than to the untried one.
	stragglerFactor = 2
	// probeInterval is the number of picks of a group after which an upstream
	// known to lack the version is asked once. Otherwise nothing would show that
	// it has loaded the version since. A count of picks rather than a time keeps
	// the cost the same share of the load at any fleet size.
	probeInterval = 32
)

// Tiers of candidates, the most preferred first. Pick chooses from the first tier
// that has a candidate.
const (
	tierUsable       = iota
	tierRamping      // beyond its share during the ramp
	tierPaused       // after shedding
	tierOtherVersion // known to lack the version
	tierDead
	tierNone
)

// Pick picks the upstream for an attempt on any version. It returns false if
// every upstream of the group is leaving or excluded.
func (b *Balancer) Pick(now clock.Millis, service, group string, exclude []ID) (ID, bool) {
	return b.PickForVersion(now, service, group, 0, exclude)
}

// PickForVersion is like Pick, but prefers upstreams that are not known to lack
// the version; 0 means any. As a last resort it returns a dead upstream.
func (b *Balancer) PickForVersion(now clock.Millis, service, group string, version uint64, exclude []ID) (ID, bool) {
	return b.pick(now, service, group, version, exclude, tierDead)
}

// PickHedge picks the upstream for a hedge. It prefers an upstream that was not
// tried, unless its expected latency exceeds stragglerFactor times that of one
// that was: if the first attempt is slow by chance, a second one there is
// faster. It returns no upstream that is likely to refuse, because such a hedge
// only adds load.
func (b *Balancer) PickHedge(now clock.Millis, service, group string, version uint64, tried []ID) (ID, bool) {
	id, ok := b.pick(now, service, group, version, tried, tierRamping)
	if !ok {
		return "", false
	}
	untried := b.byID[id]
	lowestMs := untried.expectedMs(now, untried.group) / stragglerFactor
	for _, triedID := range tried {
		s := b.byID[triedID]
		if s.leaving || s.dead || s.lacks(version) || now < s.retryAt {
			continue
		}
		if ms := s.expectedMs(now, s.group); ms < lowestMs {
			lowestMs, id = ms, triedID
		}
	}
	return id, true
}

// pick returns false if the first tier that has a candidate comes after worstTier.
func (b *Balancer) pick(now clock.Millis, svc, grp string, version uint64, exclude []ID, worstTier int) (ID, bool) {
	g := b.findGroup(svc, grp)
	if g == nil {
		return "", false
	}
	g.picks++
	bestTier := tierNone
	b.candidates = b.candidates[:0]
	for _, s := range g.upstreams {
		if s.leaving || slices.Contains(exclude, s.id) {
			continue
		}
		tier := b.tier(now, s, version)
		if tier < bestTier {
			bestTier = tier
			b.candidates = b.candidates[:0]
		}
		if tier == bestTier {
			b.candidates = append(b.candidates, s)
		}
	}
	if bestTier > worstTier {
		return "", false
	}
	s := b.betterOfTwo(now, g)
	if s.lacks(version) {
		s.lastProbePick = g.picks
	}
	return s.id, true
}

// betterOfTwo returns the candidate with the lower score of two random ones.
func (b *Balancer) betterOfTwo(now clock.Millis, g *group) *upstreamState {
	n := len(b.candidates)
	i := b.rng.IntN(n)
	if n == 1 || b.random {
		return b.candidates[i]
	}
	j := b.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	x, y := b.candidates[i], b.candidates[j]
	if y.score(now, g) < x.score(now, g) {
		return y
	}
	return x
}

func (b *Balancer) tier(now clock.Millis, s *upstreamState, version uint64) int {
	g := s.group
	switch {
	case b.random:
		return tierUsable
	case s.dead && (s.trialInFlight || now < s.retryAt):
		return tierDead
	case s.lacks(version) && g.picks < s.lastProbePick+probeInterval:
		return tierOtherVersion
	case now < s.retryAt:
		return tierPaused
	case s.dead:
		return tierUsable // due for a trial request
	case s.ramping && b.rng.Float64() >= b.rampShare(now, s):
		return tierRamping
	}
	return tierUsable
}

// lacks reports whether the upstream is known not to hold the version. It is
// false for version 0, which means any.
func (s *upstreamState) lacks(version uint64) bool {
	return version != 0 && len(s.heldVersions) > 0 && !slices.Contains(s.heldVersions, version)
}

// rampShare rises linearly from rampStartShare to 1 over the ramp time.
func (b *Balancer) rampShare(now clock.Millis, s *upstreamState) float64 {
	if b.rampMs <= 0 || now >= s.rampStart+b.rampMs {
		s.ramping = false
		return 1
	}
	progress := float64(now-s.rampStart) / float64(b.rampMs)
	return rampStartShare + (1-rampStartShare)*progress
}

func (s *upstreamState) score(now clock.Millis, g *group) float64 {
	if s.dead {
		return 0 // a trial request is due and goes first
	}
	return float64(s.outstanding+1) * s.expectedMs(now, g)
}

// expectedMs returns the mean latency, which decays towards the lowest mean of the
// group during the time without samples.
func (s *upstreamState) expectedMs(now clock.Millis, g *group) float64 {
	lowestMean := g.lowestMean()
	if s.latency.mean == 0 {
		return lowestMean
	}
	halfLives := float64(now-s.latency.lastSampleAt) / float64(idleHalfLifeMs)
	return lowestMean + (s.latency.mean-lowestMean)*math.Exp2(-halfLives)
}

// lowestMean returns the lowest mean latency in the group, or 1 if there are no samples.
func (g *group) lowestMean() float64 {
	lowest := 0.0
	for _, s := range g.upstreams {
		if m := s.latency.mean; m > 0 && (lowest == 0 || m < lowest) {
			lowest = m
		}
	}
	if lowest == 0 {
		return 1
	}
	return lowest
}
