package relay

import "lentillink.example/lentillink/clock"

const (
	// crossCentreMs is how much faster an upstream in another data centre must be
	// expected to answer to be chosen, because the users pay for traffic between data
	// centres. On slow routes it is crossCentreFactor times the median latency instead.
	crossCentreMs     = 20.0
	crossCentreFactor = 0.4

	// doubtfulMs is added for an upstream in a data centre with a silent VM.
	doubtfulMs = 1000.0

	// openAttemptFactor is the share of the median latency by which each open attempt
	// delays the next one while the upstream has free slots.
	openAttemptFactor = 0.15

	// sharedAttemptFactor replaces openAttemptFactor at an upstream that other VMs use
	// too, where one open attempt of this VM implies several from other VMs.
	sharedAttemptFactor = 0.5

	// failureFactor is the cost of a failed attempt, in terms of what an upstream in
	// another data centre costs. It takes time and one of the few extra attempts.
	failureFactor = 6
)

// Score is the expected latency of the next attempt at an upstream by its parts, all in
// milliseconds. The upstream with the lowest total is chosen.
type Score struct {
	WorkMs     float64 `json:"work_ms"`     // of the request at this upstream
	BusyMs     float64 `json:"busy_ms"`     // waiting for what this VM has open there
	OverdueMs  float64 `json:"overdue_ms"`  // the oldest open attempt is overdue
	DistanceMs float64 `json:"distance_ms"` // the upstream is in another data centre
	FailureMs  float64 `json:"failure_ms"`  // attempts there may fail
	DoubtMs    float64 `json:"doubt_ms"`    // its data centre may be cut off
	JitterMs   float64 `json:"jitter_ms"`   // breaks ties, so that VMs do not all prefer the same upstream
}

// Total returns the sum of the parts.
func (s Score) Total() float64 {
	return s.WorkMs + s.BusyMs + s.OverdueMs + s.DistanceMs + s.FailureMs + s.DoubtMs + s.JitterMs
}

// fillsAlone reports whether hardly any other VM sends work to an upstream.
func (m *Model) fillsAlone(u *upstream) bool {
	return u.service.isShard && m.inFleet && m.selfIsCarrier
}

// score returns the Score of an upstream for a route with the given median latency.
func (m *Model) score(now clock.Millis, u *upstream, medianMs float64) Score {
	busy := sharedAttemptFactor * float64(len(u.open))
	if slots := u.info.Slots; m.fillsAlone(u) && slots > 0 {
		queued := max(len(u.open)+1-slots, 0)
		busy = openAttemptFactor*float64(len(u.open)) + float64(queued)/float64(slots)
	}
	remoteMs := max(crossCentreMs, crossCentreFactor*medianMs)
	s := Score{
		WorkMs:    medianMs * u.slowness(now),
		FailureMs: failureFactor * remoteMs * u.reliability.FailingShare(now),
		JitterMs:  m.rng.Float64() * 0.1 * medianMs,
	}
	s.BusyMs = s.WorkMs * busy
	if overdue := u.overdue(now); overdue > 0 {
		s.OverdueMs = float64(overdue) + medianMs
	}
	if !m.isLocal(u) {
		s.DistanceMs = remoteMs
	}
	if m.isDoubtful(now, u.info.DataCentre) {
		s.DoubtMs = doubtfulMs
	}
	return s
}
