package relay

import (
	"lentillink.example/lentillink/clock"
)

// Upstream is what one upstream says of itself.
type Upstream struct {
	ID          string // of one start; an address can pass to another upstream
	Service     string
	Address     string
	DataCentre  string
	Slots       int // requests that it runs at once
	Leaving     bool
	ColdMs      clock.Millis // how much longer it is slow after its start
	Incarnation uint64       // orders the starts under one ID
	Sequence    uint64       // orders the reports of one start
}

const (
	// latencyRatioWeight is the weight of one sample in an upstream's speed.
	latencyRatioWeight = 0.1

	// slowThreshold is the multiple of the typical latency from which a reply counts
	// as slow. One in fifty replies is slower by the spread of work alone.
	slowThreshold = 2.2

	// An upstream that was slow is avoided for firstHoldMs, which outlasts a pause
	// of the users' upstreams, and twice as long each time it is slow again.
	firstSlowAvoidMs clock.Millis = 250
	maxSlowAvoidMs   clock.Millis = 4000

	// confirmedSlowAvoidMs is the hold from which only requests with time for a hedge
	// try an upstream again: it was slow twice in a row, so it is no pause.
	confirmedSlowAvoidMs clock.Millis = 500

	// probeMinMedians is how many typical latencies are time for a hedge.
	probeMinMedians = 5

	// maxSlowRatio bounds one sample of slowness.
	maxSlowRatio = 20.0

	// coldFactor is the slowness of an upstream that has just started.
	coldFactor = 1.6

	// Time for which an upstream is avoided after a failure. It doubles.
	firstAvoidMs clock.Millis = 100
	maxAvoidMs   clock.Millis = 2000

	// shedAvoidMs lets a full upstream finish some requests.
	shedAvoidMs clock.Millis = 30
)

// upstream is what this VM knows of one upstream.
type upstream struct {
	info           Upstream
	service        *service
	hash           uint64       // of the identifier
	open           []*attempt   // unanswered, oldest first
	latencyRatio   float64      // latency of replies that were not slow, as a multiple of the typical one
	slowRatio      float64      // the same of the last slow reply
	slowAvoidMs    clock.Millis // how long it is avoided after that; 0 if the last reply was not slow
	slowAvoidUntil clock.Millis
	window         float64 // attempts that it takes at once without shedding
	failures       int     // in a row
	avoidUntil     clock.Millis
	coldUntil      clock.Millis
	removed        bool
}

// slowness returns the expected latency as a multiple of the typical one.
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

// sustainedSlowness returns the slowness that is no pause, as a multiple of the typical latency.
func (u *upstream) sustainedSlowness() float64 {
	if u.slowAvoidMs >= confirmedSlowAvoidMs {
		return max(u.slowRatio, u.latencyRatio)
	}
	return max(u.latencyRatio, 0.5)
}

// probeDue reports whether an upstream that was slow several times should be
// tried again. Only requests with time for a hedge try it, one upstream each,
// because with many shards nearly every request would meet a slow one otherwise.
func (u *upstream) probeDue(now clock.Millis) bool {
	return u.slowAvoidMs >= confirmedSlowAvoidMs && now >= u.slowAvoidUntil && len(u.open) == 0
}

// recordLatency records the latency of a reply as a multiple of the typical one.
func (u *upstream) recordLatency(now clock.Millis, ratio float64) {
	u.failures = 0
	u.avoidUntil = min(u.avoidUntil, now)
	u.window = min(u.window+1/max(u.window, 1), maxWindow)
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

// recordFailure notes an attempt without a reply.
func (u *upstream) recordFailure(now clock.Millis) {
	u.failures++
	avoid := min(firstAvoidMs<<min(u.failures-1, 8), maxAvoidMs)
	u.avoidUntil = max(u.avoidUntil, now+avoid)
}

// recordShed notes a reply that the upstream is full.
func (u *upstream) recordShed(now clock.Millis) {
	u.window = max(u.window/2, 1)
	u.avoidUntil = max(u.avoidUntil, now+shedAvoidMs)
}

// overdue returns for how long the oldest unanswered attempt has been expected
// back, 0 if it is not overdue. It shows a pause before any reply does.
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
