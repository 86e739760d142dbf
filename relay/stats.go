package relay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

const (
	// latencyWeight is the weight of one sample in a route's typical latency.
	latencyWeight = 0.03

	// maxSample bounds one sample as a multiple of the typical latency, so that
	// slow upstreams do not make slowness typical.
	maxSample = 3.0

	// targetFraction gives the latency that is assumed of a new route.
	targetFraction = 6

	// patienceFactor and patienceMs say when a reply is overdue. With the spread
	// of work that the users state, about 1 in 50 replies takes longer.
	patienceFactor              = 2.2
	patienceMs     clock.Millis = 3
)

// stats is what this VM has measured of one route.
type stats struct {
	typical float64 // latency of an attempt, in milliseconds
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

func (s *stats) add(sample clock.Millis) {
	x := min(max(float64(sample), 0.5), maxSample*s.typical)
	s.typical += latencyWeight * (x - s.typical)
}

// patience returns how long an attempt at an upstream of the given slowness may take.
func (s *stats) patience(slowness float64) clock.Millis {
	return clock.Millis(patienceFactor*s.typical*min(max(slowness, 1), 2)) + patienceMs
}

// spent returns how long the caller has waited before this attempt of its own.
// Callers state what is left of their time, and the longest that was seen on
// the route belongs to first attempts.
func (s *stats) spent(left clock.Millis) clock.Millis {
	s.longest = max(s.longest, left)
	return s.longest - left
}
