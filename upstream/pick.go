package upstream

import (
	"math"
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	// rampStartShare is the share of requests that a cold upstream gets first.
	rampStartShare = 0.1
	// A latency without new samples moves halfway to the group's best in this
	// time, so that a recovered upstream is tried again.
	idleHalfLifeMs = 5 * clock.Second
	// A hedge avoids an upstream whose latency is this many times that of one
	// that was tried already.
	stragglerFactor = 2
	// An upstream known to lack the version is asked once in this many picks
	// of its group. Without that, nothing would show that it has loaded the
	// version since. A share of the load costs the same at any fleet size.
	probeInterval = 32
)

// Tiers of candidates, best first. Pick chooses within the best one present.
const (
	tierUsable = iota
	tierRamping
	tierPaused
	tierOtherVersion
	tierDead
	tierNone
)

// Pick chooses the upstream for an attempt on any version. It returns false
// if every upstream of the group is leaving or excluded.
func (b *Balancer) Pick(now clock.Millis, service, group string, exclude []ID) (ID, bool) {
	return b.PickForVersion(now, service, group, 0, exclude)
}

// PickForVersion is Pick that prefers upstreams not known to lack the version; 0 means any.
// As a last resort it returns an upstream that is marked dead.
func (b *Balancer) PickForVersion(now clock.Millis, service, group string, version uint64, exclude []ID) (ID, bool) {
	return b.pick(now, service, group, version, exclude, tierDead)
}

// PickHedge chooses the upstream for a hedge. It prefers one that was not
// tried, unless that one is a straggler beside one that was: a request that is
// slow by chance is served sooner by a second try there. It returns no
// upstream that would probably refuse, because such a hedge is only load.
func (b *Balancer) PickHedge(now clock.Millis, service, group string, version uint64, tried []ID) (ID, bool) {
	id, ok := b.pick(now, service, group, version, tried, tierRamping)
	if !ok {
		return "", false
	}
	untried := b.byID[id]
	best := untried.expectedMs(now, untried.group) / stragglerFactor
	for _, triedID := range tried {
		s := b.byID[triedID]
		if s.leaving || s.dead || s.lacks(version) || now < s.retryAt {
			continue
		}
		if ms := s.expectedMs(now, s.group); ms < best {
			best, id = ms, triedID
		}
	}
	return id, true
}

func (b *Balancer) pick(now clock.Millis, svc, grp string, version uint64, exclude []ID, worst int) (ID, bool) {
	g := b.findGroup(svc, grp)
	if g == nil {
		return "", false
	}
	g.picks++
	best := tierNone
	b.candidates = b.candidates[:0]
	for _, s := range g.upstreams {
		if s.leaving || slices.Contains(exclude, s.id) {
			continue
		}
		tier := b.tier(now, s, version)
		if tier < best {
			best = tier
			b.candidates = b.candidates[:0]
		}
		if tier == best {
			b.candidates = append(b.candidates, s)
		}
	}
	if best > worst {
		return "", false
	}
	s := b.betterOfTwo(now, g)
	if s.lacks(version) {
		s.lastProbePick = g.picks
	}
	return s.id, true
}

// betterOfTwo compares two random candidates of the scratch list.
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

// lacks reports whether the upstream is known not to hold the version; 0 means any.
func (s *upstreamState) lacks(version uint64) bool {
	return version != 0 && len(s.heldVersions) > 0 && !slices.Contains(s.heldVersions, version)
}

// rampShare rises from rampStartShare to 1 over the ramp.
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
		return 0 // its trial request is due
	}
	return float64(s.outstanding+1) * s.expectedMs(now, g)
}

// expectedMs is the mean latency, moved towards the group's best for the time
// without samples.
func (s *upstreamState) expectedMs(now clock.Millis, g *group) float64 {
	best := g.bestMean()
	if s.latency.mean == 0 {
		return best
	}
	halfLives := float64(now-s.latency.lastSampleAt) / float64(idleHalfLifeMs)
	return best + (s.latency.mean-best)*math.Exp2(-halfLives)
}

func (g *group) bestMean() float64 {
	best := 0.0
	for _, s := range g.upstreams {
		if m := s.latency.mean; m > 0 && (best == 0 || m < best) {
			best = m
		}
	}
	if best == 0 {
		return 1
	}
	return best
}
