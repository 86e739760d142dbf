package quantile

import "lentillink.example/lentillink/clock"

// Estimate returns the estimate at now; it is 0 if there was no sample for a second.
func (w *Window) Estimate(now clock.Millis) clock.Millis {
	if w.count == 0 || now-w.lastAt > staleMs {
		return 0
	}
	return w.estimate
}
