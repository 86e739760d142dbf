package cost

// Ratios are the upper bounds of the classes in which Stats counts samples, as multiples of
// the estimate. A last class is for those above.
var Ratios = [...]float64{0.25, 0.5, 0.75, 1, 1.5, 2, 4, 8}

// Stats counts the estimates of a VM since its start, and what they changed.
type Stats struct {
	Known, Unknown   uint64                  // requests with and without an estimate
	Samples          [len(Ratios) + 1]uint64 // ended attempts by their work as a multiple of the estimate
	RatioSum         float64                 // of these multiples
	Choices, Changed uint64                  // of upstreams, and those that would be others without estimates
}

// CountEstimate counts the estimate of a new request.
func (s *Stats) CountEstimate(e *Estimate) {
	if e.Known() {
		s.Known++
		return
	}
	s.Unknown++
}

// CountSample counts the work of an attempt beside its estimate.
func (s *Stats) CountSample(e *Estimate, workMs float64) {
	if !e.Known() || e.MeanMs() <= 0 {
		return
	}
	ratio := workMs / e.MeanMs()
	s.RatioSum += ratio
	i := 0
	for i < len(Ratios) && ratio > Ratios[i] {
		i++
	}
	s.Samples[i]++
}

// CountChoice counts the choice of an upstream.
func (s *Stats) CountChoice(changed bool) {
	s.Choices++
	if changed {
		s.Changed++
	}
}
