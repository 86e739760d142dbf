package quantile

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	windowSize     = 64 // samples
	updateInterval = 8  // samples

	// staleMs is the time after the last sample at which an estimate expires.
	// Otherwise an estimate that causes all work to be rejected would never get
	// a sample that corrects it.
	staleMs = clock.Second
)

// Window estimates one quantile of the last 64 samples. After the first eight
// it sorts them only once in eight samples, which keeps the average cost of a
// sample low.
type Window struct {
	samples     [windowSize]clock.Millis
	count       int
	sinceUpdate int
	quantile    float64
	estimate    clock.Millis
	lastAt      clock.Millis
}

// NewWindow returns a window that estimates the given quantile, from 0 to 1.
func NewWindow(quantile float64) Window { return Window{quantile: quantile} }

// Add records a sample.
func (w *Window) Add(now, sample clock.Millis) {
	w.samples[w.count%windowSize] = sample
	w.count++
	w.lastAt = now
	w.sinceUpdate++
	if w.count <= updateInterval || w.sinceUpdate >= updateInterval {
		w.update()
	}
}

func (w *Window) update() {
	w.sinceUpdate = 0
	sorted := w.samples
	filled := sorted[:min(w.count, windowSize)]
	slices.Sort(filled)
	w.estimate = filled[int(w.quantile*float64(len(filled)-1))]
}
