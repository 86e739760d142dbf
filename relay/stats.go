package relay

import (
	"math"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// Steps by which a sample moves the estimate of a route's median latency, as a
	// share of it. The first samples move it further, because its initial value is
	// only an assumption.
	initialStep = 0.1
	minStep     = 0.01

	// initialMedianDivisor gives the assumed median latency of a new route, as a
	// fraction of its target.
	initialMedianDivisor = 6

	// overdueFactor and overdueSlackMs define when a reply is overdue. With the
	// distribution of service times that the users state, about 1 in 50 replies takes
	// longer.
	overdueFactor               = 2.2
	overdueSlackMs clock.Millis = 3

	// maxOverdueSlowness limits the slowness that multiplies the time after which a
	// reply is overdue: the users' replicas differ by up to 1.3 in speed. An upstream
	// that is slower still gets no more time, so that hedges against it are not late.
	maxOverdueSlowness = 1.3
)

// routeStats is the latency statistics of one route on this VM.
type routeStats struct {
	medianMs  float64 // estimated median latency of an attempt, in milliseconds
	samples   int
	startedAt clock.Millis // when the last request was admitted
	relearnIn int          // the sample of this number from now replaces the estimate; 0 if none does
}

func (m *Model) statsFor(r *route.Route) *routeStats {
	s := m.routeStats[r.Name]
	if s == nil {
		s = &routeStats{medianMs: max(float64(r.TargetMs)/initialMedianDivisor, 1)}
		m.routeStats[r.Name] = s
	}
	return s
}

// add moves the median estimate towards a sample by a step that does not depend on
// the distance, so that it follows the median and not the mean: a few slow or pausing
// upstreams must not raise it, or hedges against them would be sent too late.
func (s *routeStats) add(sample clock.Millis) {
	x := max(float64(sample), 0.5)
	if s.relearnIn > 0 {
		if s.relearnIn--; s.relearnIn == 0 {
			s.samples, s.medianMs = 1, x
		}
		return
	}
	s.samples++
	step := max(initialStep/math.Sqrt(float64(s.samples)), minStep)
	switch {
	case x > s.medianMs*(1+step):
		s.medianMs *= 1 + step
	case x < s.medianMs*(1-step):
		s.medianMs *= 1 - step
	default:
		s.medianMs = x
	}
}

// overdueAfter returns the latency from which a reply of an upstream with the given
// slowness is overdue.
func (m *Model) overdueAfter(r *request, slowness float64) clock.Millis {
	longMs := max(overdueFactor*m.typicalMs(r), r.cost.HighMs())
	return clock.Millis(longMs*min(max(slowness, 1), maxOverdueSlowness)) + overdueSlackMs
}
