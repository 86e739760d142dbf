package quantile_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quantile"
)

// TestWindow guards against wrong quantiles and against estimates that do not
// expire after the last sample.
func TestWindow(t *testing.T) {
	tests := []struct {
		name     string
		quantile float64
		samples  []clock.Millis // added one per ms, repeated 64 times
		age      clock.Millis
		want     clock.Millis
	}{
		{"none", 0.5, nil, 0, 0},
		{"one value", 0.1, []clock.Millis{7}, 0, 7},
		{"median", 0.5, []clock.Millis{30, 10, 20}, 0, 20},
		{"low quantile", 0.1, []clock.Millis{30, 10, 20}, 0, 10},
		{"a second old", 0.5, []clock.Millis{7}, clock.Second, 7},
		{"stale", 0.5, []clock.Millis{7}, clock.Second + 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := quantile.NewWindow(tt.quantile)
			now := clock.Millis(0)
			for range 64 {
				for _, sample := range tt.samples {
					now++
					w.Add(now, sample)
				}
			}
			if got := w.Estimate(now + tt.age); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestWindowDropsOldSamples guards against samples that stay in the estimate
// after 64 newer ones.
func TestWindowDropsOldSamples(t *testing.T) {
	w := quantile.NewWindow(0.5)
	for i := range clock.Millis(200) {
		w.Add(i, 100)
	}
	for i := range clock.Millis(64) {
		w.Add(200+i, 5)
	}
	if got := w.Estimate(264); got != 5 {
		t.Errorf("got %d, want 5", got)
	}
}
