package quantile

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

const (
	windowSize   = 64
	refreshEvery = 8

	// staleMs bounds how long an estimate outlives its last sample. Without it
	// an estimate that refuses all work would never see a sample that corrects it.
	staleMs = clock.Second
)

// Window estimates one quantile of the last 64 samples. It sorts once in
// eight samples, so that a sample costs little on average.
type Window struct {
	samples  [windowSize]clock.Millis
	n        int
	sinceRun int
	share    float64
	estimate clock.Millis
	last     clock.Millis
}

// NewWindow returns a window that estimates the quantile share, 0 to 1.
func NewWindow(share float64) Window { return Window{share: share} }

// Add records a sample.
func (w *Window) Add(now, sample clock.Millis) {
	w.samples[w.n%windowSize] = sample
	w.n++
	w.last = now
	w.sinceRun++
	if w.n <= refreshEvery || w.sinceRun >= refreshEvery {
		w.refresh()
	}
}

func (w *Window) refresh() {
	w.sinceRun = 0
	sorted := w.samples
	filled := sorted[:min(w.n, windowSize)]
	slices.Sort(filled)
	w.estimate = filled[int(w.share*float64(len(filled)-1))]
}
