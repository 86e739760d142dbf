package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/reliability"
)

// Upstream is the state that an upstream reports about itself.
type Upstream struct {
	ID          string // from the registration; its address can pass to another upstream
	Service     string
	Address     string
	DataCentre  string
	Slots       int // requests that it runs concurrently
	Leaving     bool
	ColdMs      clock.Millis // remaining warm-up time after its start
	Incarnation uint64       // increases with each start under one ID
	Sequence    uint64       // increases with each report of one incarnation
}

const (
	// latencyRatioWeight is the weight of one sample in an upstream's latency ratio.
	latencyRatioWeight = 0.1

	// slowThreshold is the multiple of the median latency from which a reply counts as
	// slow. One in fifty replies exceeds it through the normal spread of service times
	// alone.
	slowThreshold = 2.2

	// A slow upstream is avoided for firstSlowAvoidMs, which outlasts a pause of the
	// users' upstreams, and for twice as long each time that it is slow again.
	firstSlowAvoidMs clock.Millis = 250
	maxSlowAvoidMs   clock.Millis = 4000

	// confirmedSlowAvoidMs is the avoidance time from which only requests with enough
	// time for a hedge probe the upstream: it was slow twice in a row, so this is not
	// a pause.
	confirmedSlowAvoidMs clock.Millis = 500

	// probeMinMedians is the time to the target, in median latencies, that leaves
	// enough time for a hedge.
	probeMinMedians = 5

	// maxSlowRatio limits one sample of the latency ratio of slow replies.
	maxSlowRatio = 20.0

	// coldFactor is the slowness of an upstream during its warm-up.
	coldFactor = 1.6

	// An upstream is avoided for this time after a failure. The time doubles with each
	// further failure in a row.
	firstAvoidMs clock.Millis = 100
	maxAvoidMs   clock.Millis = 2000

	// shedAvoidMs gives an upstream that shed load time to finish some requests.
	shedAvoidMs clock.Millis = 30
)

// upstream is the state that this VM keeps of one upstream.
type upstream struct {
	info           Upstream
	service        *service
	hash           uint64       // of the ID
	open           []*attempt   // unanswered, oldest first
	latencyRatio   float64      // average latency of replies that were not slow, as a multiple of the median
	slowRatio      float64      // the same for the last slow reply
	slowAvoidMs    clock.Millis // avoidance time after that; 0 if the last reply was not slow
	slowAvoidUntil clock.Millis
	attemptWindow  float64 // attempts that it accepts at once without shedding
	failures       int     // in a row
	avoidUntil     clock.Millis
	holdUntil      clock.Millis // the upstream asked for no requests before this time
	reportedAt     clock.Millis // when its last report arrived
	leavingAt      clock.Millis // when this VM learned that it is leaving, or has left
	coldUntil      clock.Millis
	warming        warming
	removed        bool
	reliability    reliability.Estimate
	evacuated      bool // its data centre is evacuated
	older          olderReports
	era, revision  uint64 // of its entry in the store
}

// slowness returns the expected latency as a multiple of the median latency.
func (u *upstream) slowness(now clock.Millis) float64 {
	s := 1.0
	if u.latencyRatio > 0 {
		s = u.latencyRatio
	}
	if now < u.slowAvoidUntil || u.slowAvoidMs >= confirmedSlowAvoidMs {
		s = max(s, u.slowRatio)
	}
	if now < u.coldUntil {
		s = max(s, coldFactor)
	}
	return max(s, 0.5)
}

// sustainedSlowness returns the slowness as a multiple of the median latency, without
// the effect of a short pause.
func (u *upstream) sustainedSlowness() float64 {
	if u.slowAvoidMs >= confirmedSlowAvoidMs {
		return max(u.slowRatio, u.latencyRatio)
	}
	return max(u.latencyRatio, 0.5)
}

// probeDue reports whether an upstream that was slow several times in a row should
// be probed. Only requests with enough time for a hedge probe, and each probes one
// upstream at most: with many shards, nearly every request would otherwise use a slow
// upstream.
func (u *upstream) probeDue(now clock.Millis) bool {
	return u.slowAvoidMs >= confirmedSlowAvoidMs && now >= u.slowAvoidUntil && len(u.open) == 0
}

// recordLatency records the latency of a reply as a multiple of the median.
func (u *upstream) recordLatency(now clock.Millis, ratio float64) {
	u.reliability.Record(now, false)
	u.failures = 0
	u.avoidUntil = min(u.avoidUntil, now)
	u.attemptWindow = min(u.attemptWindow+1/max(u.attemptWindow, 1), maxAttemptWindow)
	if ratio < slowThreshold {
		u.slowAvoidMs, u.slowAvoidUntil = 0, min(u.slowAvoidUntil, now)
		u.latencyRatio += latencyRatioWeight * (ratio - u.latencyRatio)
		return
	}
	u.slowRatio = min(ratio, maxSlowRatio)
	if now >= u.slowAvoidUntil {
		u.slowAvoidMs = min(max(2*u.slowAvoidMs, firstSlowAvoidMs), maxSlowAvoidMs)
	}
	u.slowAvoidUntil = now + u.slowAvoidMs
}

// recordFailure records an attempt without a reply or with a server error.
func (u *upstream) recordFailure(now clock.Millis) {
	u.reliability.Record(now, true)
	u.failures++
	avoid := min(firstAvoidMs<<min(u.failures-1, 8), maxAvoidMs)
	u.avoidUntil = max(u.avoidUntil, now+avoid)
}

// recordShed records a reply that the upstream is full.
func (u *upstream) recordShed(now clock.Millis) {
	u.reliability.Record(now, true)
	u.attemptWindow = max(u.attemptWindow/2, 1)
	u.avoidUntil = max(u.avoidUntil, now+shedAvoidMs)
}

// overdue returns by how much the oldest unanswered attempt is overdue, 0 if it is
// not. This detects a paused upstream before it replies.
func (u *upstream) overdue(now clock.Millis) clock.Millis {
	if len(u.open) == 0 {
		return 0
	}
	oldest := u.open[0]
	return max(now-oldest.sentAt-oldest.overdueAfter, 0)
}

func (u *upstream) removeAttempt(a *attempt) {
	for i, o := range u.open {
		if o == a {
			u.open = append(u.open[:i], u.open[i+1:]...)
			return
		}
	}
}
