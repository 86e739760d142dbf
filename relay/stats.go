package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// Steps by which a sample moves a route's typical latency, as a share of it.
	// The first samples move it further, because the start is only a guess.
	firstStep = 0.1
	leastStep = 0.01

	// targetFraction gives the latency that is assumed of a new route.
	targetFraction = 6

	// patienceFactor and patienceMs say when a reply is overdue. With the spread
	// of work that the users state, about 1 in 50 replies takes longer.
	patienceFactor              = 2.2
	patienceMs     clock.Millis = 3

	// maxPatience bounds how much longer a slow upstream may take, as a multiple: the
	// users' replicas differ by up to 1.3 in speed. Beyond that a hedge is due at
	// the same time as elsewhere.
	maxPatience = 1.3
)

// stats is what this VM has measured of one route.
type stats struct {
	typical float64 // median latency of an attempt, in milliseconds
	samples int
	longest clock.Millis
}

func (m *Model) stats(r *route.Route) *stats {
	s := m.routes[r.Name]
	if s == nil {
		s = &stats{typical: max(float64(r.TargetMs)/targetFraction, 1)}
		m.routes[r.Name] = s
	}
	return s
}

// add moves the typical latency towards a sample by a step that does not depend
// on how far away it is. So it follows the median: some slow or pausing upstreams
// must not make slowness typical, or hedges against them would come too late.
func (s *stats) add(sample clock.Millis) {
	s.samples++
	step := max(firstStep/math.Sqrt(float64(s.samples)), leastStep)
	x := max(float64(sample), 0.5)
	switch {
	case x > s.typical*(1+step):
		s.typical *= 1 + step
	case x < s.typical*(1-step):
		s.typical *= 1 - step
	default:
		s.typical = x
	}
}

// patience returns how long an attempt at an upstream of the given slowness may take.
func (s *stats) patience(slowness float64) clock.Millis {
	return clock.Millis(patienceFactor*s.typical*min(max(slowness, 1), maxPatience)) + patienceMs
}

// spent returns how long the caller has waited before this attempt of its own.
// Callers state what is left of their time, and the longest that was seen on
// the route belongs to first attempts.
func (s *stats) spent(left clock.Millis) clock.Millis {
	s.longest = max(s.longest, left)
	return s.longest - left
}
