package quantile

import "lentillink.example/lentillink/clock"

// Estimate returns the estimated quantile, or 0 if no sample was added in the
// second before now.
func (w *Window) Estimate(now clock.Millis) clock.Millis {
	if w.count == 0 || now-w.lastAt > staleMs {
		return 0
	}
	return w.estimate
}
