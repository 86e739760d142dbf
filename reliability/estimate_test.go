package reliability_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/reliability"
)

// TestEstimate guards against an estimate that misses an upstream that fails in part, keeps
// one out for good, or blames one for a single failure.
func TestEstimate(t *testing.T) {
	tests := []struct {
		name      string
		failed    []bool // how the attempts ended, 50 ms apart
		idleMs    clock.Millis
		low, high float64
	}{
		{"no attempt", nil, 0, 0, 0},
		{"only successes", []bool{false, false, false}, 0, 0, 0},
		{"one failure", []bool{true}, 0, 0.1, 0.2},
		{"half of them fail", alternating(40), 0, 0.35, 0.65},
		{"all fail", repeated(true, 40), 0, 0.9, 1},
		{"recovered", append(repeated(true, 40), repeated(false, 30)...), 0, 0, 0.1},
		{"nothing sent for 12 s", repeated(true, 40), 12 * clock.Second, 0, 0.1},
		{"clock steps back", repeated(true, 40), -clock.Second, 0.9, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e reliability.Estimate
			now := clock.Millis(1000)
			for _, failed := range tt.failed {
				e.Record(now, failed)
				now += 50
			}
			if got := e.FailingShare(now + tt.idleMs); got < tt.low || got > tt.high {
				t.Errorf("got %.3f, want %.2f to %.2f", got, tt.low, tt.high)
			}
		})
	}
}

func repeated(failed bool, n int) []bool {
	out := make([]bool, n)
	for i := range out {
		out[i] = failed
	}
	return out
}

func alternating(n int) []bool {
	out := make([]bool, n)
	for i := range out {
		out[i] = i%2 == 0
	}
	return out
}

// BenchmarkRecord shows that an estimate costs little and allocates nothing.
func BenchmarkRecord(b *testing.B) {
	var e reliability.Estimate
	b.ReportAllocs()
	for i := range b.N {
		e.Record(clock.Millis(i), i%3 == 0)
	}
}
