package upstream

import (
	"slices"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// failuresUntilDead is the number of consecutive failures that mark an
	// upstream dead, because one failure may be caused by a single request. A
	// refused connection marks it dead at once: it proves that nothing listens.
	failuresUntilDead = 3
	minBackoffMs      = 250
	maxBackoffMs      = 10 * clock.Second
	// defaultShedPauseMs applies when an upstream sheds load without a retry time.
	defaultShedPauseMs = 50
	maxShedPauseMs     = clock.Second
	// abandonedFactor estimates the latency of an abandoned attempt from its
	// elapsed time, which is only a lower bound.
	abandonedFactor = 2
)

// RecordSent records the start of an attempt.
func (b *Balancer) RecordSent(_ clock.Millis, id ID) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.outstanding++
	if s.dead {
		s.trialInFlight = true
	}
}

// RecordReply records the reply that ends an attempt. The latency is the sum of
// the reply's queue and service time.
func (b *Balancer) RecordReply(now clock.Millis, id ID, r attempt.Reply) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.endAttempt()
	latencyMs := r.QueueMs + r.ServiceMs
	switch r.Status {
	case attempt.OK:
		s.recordLatency(now, float64(latencyMs), float64(latencyMs))
		s.recordSuccess(now)
	case attempt.VersionGone:
		s.recordSuccess(now)
	case attempt.Shed:
		s.recordSuccess(now)
		s.pauseAfterShed(now, r.RetryAfter)
	case attempt.ConnRefused:
		s.recordFailure(now, failuresUntilDead)
	case attempt.TimedOut:
		if s.latency.isOverdue(latencyMs) {
			s.recordFailure(now, 1)
		}
	case attempt.Failed, attempt.Mismatched:
		s.recordFailure(now, 1)
	}
	if fromUpstream(r.Status) {
		s.applyReply(now, r, now-latencyMs)
	}
}

// RecordAbandoned records that the VM stopped waiting for an attempt after
// elapsed, for example because another replica replied first.
func (b *Balancer) RecordAbandoned(now clock.Millis, id ID, elapsed clock.Millis) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.endAttempt()
	switch ms := float64(elapsed); {
	case ms > s.latency.mean:
		s.recordLatency(now, ms, ms*abandonedFactor)
	case ms*abandonedFactor > s.latency.mean:
		// The elapsed time is consistent with the recorded mean, so the mean's decay
		// towards the lowest mean of the group starts again.
		s.latency.lastSampleAt = now
	}
}

// RecordHeldVersions records the snapshot versions that an upstream reports
// outside of a reply. A VM that has just started gets the versions this way.
func (b *Balancer) RecordHeldVersions(now clock.Millis, id ID, held []uint64) {
	if s := b.byID[id]; s != nil && len(held) > 0 {
		s.heldVersionsAt = now
		s.setHeldVersions(now, held)
	}
}

func (s *upstreamState) setHeldVersions(now clock.Millis, held []uint64) {
	if !slices.Equal(s.heldVersions, held) {
		s.heldVersions = append(s.heldVersions[:0], held...)
		s.service.updateCommonVersions(now)
	}
}

// updateCommonVersions drops the versions that some group no longer holds and
// adds those that every group holds as of now.
func (s *service) updateCommonVersions(now clock.Millis) {
	versions, knownGroups := s.versions()
	kept := s.commonVersions[:0]
	for _, c := range s.commonVersions {
		if groups, _ := s.countHolders(c.version); groups == knownGroups {
			kept = append(kept, c)
		}
	}
	s.commonVersions = kept
	for _, v := range versions {
		groups, _ := s.countHolders(v)
		isKept := slices.ContainsFunc(s.commonVersions, func(c commonVersion) bool { return c.version == v })
		if groups == knownGroups && !isKept {
			s.commonVersions = append(s.commonVersions, commonVersion{version: v, since: now})
		}
	}
}

// MarkLeaving records a report that the upstream is leaving. The upstream gets
// no attempts until a reply or a report shows that it accepts work again.
func (b *Balancer) MarkLeaving(now clock.Millis, id ID) {
	if s := b.byID[id]; s != nil {
		s.markLeaving(now)
	}
}

// MarkAvailable records a report that the upstream accepts work again.
func (b *Balancer) MarkAvailable(now clock.Millis, id ID) {
	if s := b.byID[id]; s != nil {
		s.markAvailable(now)
	}
}

// fromUpstream reports whether a reply of this status was sent by the upstream itself.
func fromUpstream(st attempt.Status) bool {
	return st == attempt.OK || st == attempt.VersionGone || st == attempt.Shed || st == attempt.Leaving
}

func (s *upstreamState) applyReply(now clock.Millis, r attempt.Reply, sentAt clock.Millis) {
	if len(r.HeldVersions) > 0 {
		s.heldVersionsAt = now
		s.lastProbePick = s.group.picks
		s.setHeldVersions(now, r.HeldVersions)
	}
	switch {
	case r.Leaving || r.Status == attempt.Leaving:
		s.markLeaving(now)
	case s.leaving && sentAt > s.leavingAt:
		// Only the reply to an attempt sent after the mark counts: an earlier
		// attempt may still end normally while the upstream drains.
		s.markAvailable(now)
	}
}

func (s *upstreamState) markLeaving(now clock.Millis) {
	s.leaving = true
	s.leavingAt = now
}

func (s *upstreamState) markAvailable(now clock.Millis) {
	if !s.leaving {
		return
	}
	s.leaving = false
	s.startRamp(now)
}

func (s *upstreamState) endAttempt() {
	s.outstanding = max(s.outstanding-1, 0)
	s.trialInFlight = false
}

func (s *upstreamState) recordLatency(now clock.Millis, ms, meanMs float64) {
	s.latency.record(now, ms, meanMs)
	s.service.latency.record(now, ms, meanMs)
}

func (s *upstreamState) recordSuccess(now clock.Millis) {
	if s.dead {
		s.startRamp(now)
	}
	s.dead = false
	s.failures = 0
	s.backoff = 0
	s.retryAt = 0
}

func (s *upstreamState) recordFailure(now clock.Millis, weight int) {
	s.failures += weight
	// Attempts that were in flight when the upstream was marked dead must not
	// lengthen its backoff.
	if s.failures < failuresUntilDead || (s.dead && now < s.retryAt) {
		return
	}
	s.dead = true
	s.backoff = min(max(2*s.backoff, minBackoffMs), maxBackoffMs)
	s.retryAt = now + s.backoff
}

func (s *upstreamState) pauseAfterShed(now, retryAfter clock.Millis) {
	if retryAfter <= 0 {
		retryAfter = defaultShedPauseMs
	}
	s.retryAt = now + min(retryAfter, maxShedPauseMs)
}
