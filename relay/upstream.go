package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
)

// Upstream is what one upstream says of itself.
type Upstream struct {
	ID         string // of one start; an address can pass to another upstream
	Service    string
	Address    string
	DataCentre string
	Slots      int // requests that it runs at once
	Leaving    bool
	ColdMs     clock.Millis // how much longer it is slow after its start
	Born       uint64       // orders the starts under one ID
	Sequence   uint64       // orders the reports of one start
}

const (
	// slowWeight is the weight of one sample in an upstream's slowness.
	slowWeight = 0.25

	// slowHalfLifeMs is how fast a slowness that is not measured again is
	// forgotten, so that a recovered upstream is tried again within seconds.
	slowHalfLifeMs clock.Millis = 2000

	// maxSlow bounds one sample of slowness.
	maxSlow = 20.0

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
	info       Upstream
	service    *service
	open       []*attempt // unanswered, oldest first
	slow       float64    // recent latency as a multiple of the typical one
	slowAt     clock.Millis
	window     float64 // attempts that it takes at once without shedding
	failures   int     // in a row
	avoidUntil clock.Millis
	coldUntil  clock.Millis
	removed    bool
}

// slowness returns the expected latency as a multiple of the typical one.
func (u *upstream) slowness(now clock.Millis) float64 {
	s := 1.0
	if u.slow > 0 {
		s = 1 + (u.slow-1)*math.Exp2(-float64(now-u.slowAt)/float64(slowHalfLifeMs))
	}
	if now < u.coldUntil {
		s = max(s, coldFactor)
	}
	return max(s, 0.5)
}

// measured records the latency of a reply as a multiple of the typical one.
func (u *upstream) measured(now clock.Millis, ratio float64) {
	current := u.slowness(now)
	u.slow = current + slowWeight*(min(ratio, maxSlow)-current)
	u.slowAt = now
	u.failures = 0
	u.avoidUntil = min(u.avoidUntil, now)
	u.window = min(u.window+1/max(u.window, 1), maxWindow)
}

// failed notes an attempt without a reply.
func (u *upstream) failed(now clock.Millis) {
	u.failures++
	avoid := min(firstAvoidMs<<min(u.failures-1, 8), maxAvoidMs)
	u.avoidUntil = max(u.avoidUntil, now+avoid)
}

// shed notes a reply that the upstream is full.
func (u *upstream) shed(now clock.Millis) {
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
	return max(now-oldest.sentAt-oldest.patience, 0)
}

func (u *upstream) drop(a *attempt) {
	for i, o := range u.open {
		if o == a {
			u.open = append(u.open[:i], u.open[i+1:]...)
			return
		}
	}
}
