package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// Steps by which a sample moves a route's typical latency, as a share of it.
	// The first samples move it further, because the start is only a guess.
	initialStep = 0.1
	minStep     = 0.01

	// initialMedianDivisor gives the latency that is assumed of a new route.
	initialMedianDivisor = 6

	// overdueFactor and patienceMs say when a reply is overdue. With the spread
	// of work that the users state, about 1 in 50 replies takes longer.
	overdueFactor               = 2.2
	overdueSlackMs clock.Millis = 3

	// maxOverdueSlowness bounds how much longer a slow upstream may take, as a multiple: the
	// users' replicas differ by up to 1.3 in speed. Beyond that a hedge is due at
	// the same time as elsewhere.
	maxOverdueSlowness = 1.3
)

// routeStats is what this VM has measured of one route.
type routeStats struct {
	medianMs       float64 // median latency of an attempt, in milliseconds
	samples        int
	maxRemainingMs clock.Millis
}

func (m *Model) statsFor(r *route.Route) *routeStats {
	s := m.routeStats[r.Name]
	if s == nil {
		s = &routeStats{medianMs: max(float64(r.TargetMs)/initialMedianDivisor, 1)}
		m.routeStats[r.Name] = s
	}
	return s
}

// add moves the typical latency towards a sample by a step that does not depend
// on how far away it is. So it follows the median: some slow or pausing upstreams
// must not make slowness typical, or hedges against them would come too late.
func (s *routeStats) add(sample clock.Millis) {
	s.samples++
	step := max(initialStep/math.Sqrt(float64(s.samples)), minStep)
	x := max(float64(sample), 0.5)
	switch {
	case x > s.medianMs*(1+step):
		s.medianMs *= 1 + step
	case x < s.medianMs*(1-step):
		s.medianMs *= 1 - step
	default:
		s.medianMs = x
	}
}

// overdueAfter returns how long an attempt at an upstream of the given slowness may take.
func (s *routeStats) overdueAfter(slowness float64) clock.Millis {
	return clock.Millis(overdueFactor*s.medianMs*min(max(slowness, 1), maxOverdueSlowness)) + overdueSlackMs
}

// callerElapsed returns how long the caller has waited before this attempt of its own.
// Callers state what is left of their time, and the longest that was seen on
// the route belongs to first attempts.
func (s *routeStats) callerElapsed(remaining clock.Millis) clock.Millis {
	s.maxRemainingMs = max(s.maxRemainingMs, remaining)
	return s.maxRemainingMs - remaining
}
