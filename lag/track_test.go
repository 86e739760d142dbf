package lag_test

import (
	"testing"

	"lentillink.example/lentillink/lag"
)

// TestTrack guards against an estimate that follows the typical lag and not the long ones,
// or keeps a long one after it has ended.
func TestTrack(t *testing.T) {
	tests := []struct {
		name      string
		samples   func(i int) float64
		n         int
		low, high float64
	}{
		{"constant", func(int) float64 { return 6 }, 50, 5.9, 6},
		{"one in five is long", func(i int) float64 {
			if i%5 == 0 {
				return 10
			}
			return 1
		}, 200, 6, 10},
		{"one long sample", func(i int) float64 {
			if i == 0 {
				return 100
			}
			return 1
		}, 150, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := 0.0
			for i := range tt.n {
				got = lag.Track(got, tt.samples(i))
			}
			if got < tt.low || got > tt.high {
				t.Errorf("got %.2f, want %.1f to %.1f", got, tt.low, tt.high)
			}
		})
	}
}
