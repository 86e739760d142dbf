package upstream

import (
	"slices"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
)

const (
	// A refused connection proves that nothing listens; other failures need
	// this many in a row, because one may be the fault of a single request.
	failuresUntilDead = 3
	minBackoffMs      = 250
	maxBackoffMs      = 10 * clock.Second
	// defaultShedPauseMs applies when a shedding upstream names no time.
	defaultShedPauseMs = 50
	maxShedPauseMs     = clock.Second
	// abandonedFactor estimates the latency of an attempt that was cancelled
	// while it ran: only the elapsed time is known, and the true latency is higher.
	abandonedFactor = 2
)

// RecordSent records that an attempt starts.
func (b *Balancer) RecordSent(_ clock.Millis, id ID) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.outstanding++
	if s.dead {
		s.trial = true
	}
}

// RecordReply records the end of an attempt. The latency is the reply's queue and service time.
func (b *Balancer) RecordReply(now clock.Millis, id ID, r attempt.Reply) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.ended()
	took := r.QueueMs + r.ServiceMs
	switch r.Status {
	case attempt.OK:
		s.recordLatency(now, float64(took), float64(took))
		s.succeeded(now)
	case attempt.VersionGone:
		s.succeeded(now)
	case attempt.Shed:
		s.succeeded(now)
		s.pause(now, r.RetryAfter)
	case attempt.ConnRefused:
		s.failed(now, failuresUntilDead)
	case attempt.Failed, attempt.TimedOut, attempt.Mismatched:
		s.failed(now, 1)
	}
	if fromUpstream(r.Status) {
		s.learn(now, r, now-took)
	}
}

// RecordAbandoned records that the VM gave up an attempt after elapsed, for example
// because another replica was faster.
func (b *Balancer) RecordAbandoned(now clock.Millis, id ID, elapsed clock.Millis) {
	s := b.byID[id]
	if s == nil {
		return
	}
	s.ended()
	switch ms := float64(elapsed); {
	case ms > s.latency.mean:
		s.recordLatency(now, ms, ms*abandonedFactor)
	case ms*abandonedFactor > s.latency.mean:
		// The time agrees with a slow mean, which therefore must not be forgotten.
		s.latency.lastAt = now
	}
}

// RecordHeldVersions records which snapshot versions an upstream reports outside of a
// reply. A VM that has just started learns the versions this way.
func (b *Balancer) RecordHeldVersions(now clock.Millis, id ID, held []uint64) {
	if s := b.byID[id]; s != nil && len(held) > 0 {
		s.heldAt = now
		s.setHeld(now, held)
	}
}

func (s *state) setHeld(now clock.Millis, held []uint64) {
	if !slices.Equal(s.held, held) {
		s.held = append(s.held[:0], held...)
		s.service.noteCommon(now)
	}
}

// noteCommon records since when each version is held by every group.
func (s *service) noteCommon(now clock.Millis) {
	seen, known := s.versions()
	kept := s.common[:0]
	for _, c := range s.common {
		if groups, _ := s.holders(c.version); groups == known {
			kept = append(kept, c)
		}
	}
	s.common = kept
	for _, v := range seen {
		groups, _ := s.holders(v)
		isKept := slices.ContainsFunc(s.common, func(c commonVersion) bool { return c.version == v })
		if groups == known && !isKept {
			s.common = append(s.common, commonVersion{version: v, since: now})
		}
	}
}

// MarkLeaving records a report that the upstream is leaving. It is binding
// until the upstream is observed or reported back.
func (b *Balancer) MarkLeaving(now clock.Millis, id ID) {
	if s := b.byID[id]; s != nil {
		s.leave(now)
	}
}

// MarkAvailable records a report that the upstream accepts work again.
func (b *Balancer) MarkAvailable(now clock.Millis, id ID) {
	if s := b.byID[id]; s != nil {
		s.comeBack(now)
	}
}

// fromUpstream reports whether the upstream itself wrote a reply of this status.
func fromUpstream(st attempt.Status) bool {
	return st == attempt.OK || st == attempt.VersionGone || st == attempt.Shed || st == attempt.Leaving
}

func (s *state) learn(now clock.Millis, r attempt.Reply, sentAt clock.Millis) {
	if len(r.HeldVersions) > 0 {
		s.heldAt = now
		s.probePick = s.group.picks
		s.setHeld(now, r.HeldVersions)
	}
	switch {
	case r.Leaving || r.Status == attempt.Leaving:
		s.leave(now)
	case s.leaving && sentAt > s.leavingAt:
		// An attempt sent before the mark may still end normally and proves nothing.
		s.comeBack(now)
	}
}

func (s *state) leave(now clock.Millis) {
	s.leaving = true
	s.leavingAt = now
}

func (s *state) comeBack(now clock.Millis) {
	if !s.leaving {
		return
	}
	s.leaving = false
	s.startRamp(now)
}

func (s *state) ended() {
	s.outstanding = max(s.outstanding-1, 0)
	s.trial = false
}

func (s *state) recordLatency(now clock.Millis, ms, meanMs float64) {
	s.latency.record(now, ms, meanMs)
	s.service.latency.record(now, ms, meanMs)
}

func (s *state) succeeded(now clock.Millis) {
	if s.dead {
		s.startRamp(now)
	}
	s.dead = false
	s.failures = 0
	s.backoff = 0
	s.retryAt = 0
}

func (s *state) failed(now clock.Millis, weight int) {
	s.failures += weight
	// Attempts that were in flight when the upstream was marked must not
	// lengthen its backoff.
	if s.failures < failuresUntilDead || (s.dead && now < s.retryAt) {
		return
	}
	s.dead = true
	s.backoff = min(max(2*s.backoff, minBackoffMs), maxBackoffMs)
	s.retryAt = now + s.backoff
}

func (s *state) pause(now, retryAfter clock.Millis) {
	if retryAfter <= 0 {
		retryAfter = defaultShedPauseMs
	}
	s.retryAt = now + min(retryAfter, maxShedPauseMs)
}
