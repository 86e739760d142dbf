package clock_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
)

// TestPauseDetector guards against a pause that goes unnoticed because the steady clock
// does not count it, and against a step of the wall clock that is taken for one.
func TestPauseDetector(t *testing.T) {
	tests := []struct {
		name                string
		steady, wall, boot  clock.Millis // how far each clock advances
		want                clock.Millis
		stepBack, againWant clock.Millis // wall clock steps back afterwards
	}{
		{"running", 900, 900, 900, 0, 0, 0},
		{"stopped", 3000, 3000, 3000, 3000, 0, 0},
		{"suspended", 10, 8010, 8010, 8010, 0, 0},
		{"wall clock steps forward", 10, 5010, 10, 0, 0, 0},
		{"wall clock steps forward and back", 10, 5010, 10, 0, 5000, 0},
		{"wall clock steps back", 10, -4990, 10, 0, 0, 0},
		{"suspended while the wall clock steps back", 10, -4990, 3010, 3010, 0, 0},
		{"slow drift", 900, 950, 900, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			boot := clock.Millis(70_000)
			d := clock.NewPauseDetector(1000, 1_700_000_000_000, func() clock.Millis { return boot })
			boot += tt.boot
			steady, wall := 1000+tt.steady, 1_700_000_000_000+tt.wall
			if got := d.Check(steady, wall); got != tt.want {
				t.Errorf("got a pause of %d ms, want %d", got, tt.want)
			}
			boot += 100
			if got := d.Check(steady+100, wall+100-tt.stepBack); got != tt.againWant {
				t.Errorf("next check: got a pause of %d ms, want %d", got, tt.againWant)
			}
		})
	}
}
