package gateway

import (
	"math"
	"sync"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/lag"
)

// answerLag estimates how long this VM takes from the decision about an answer until the
// answer is written, towards the upper tail. On a VM with a small share of a processor that
// is a part of the target that shows in no other way.
type answerLag struct {
	mu sync.Mutex
	ms float64
}

// add records one answer.
func (l *answerLag) add(sample clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ms = lag.Track(l.ms, float64(sample))
}

// estimate returns the estimated lag.
func (l *answerLag) estimate() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Millis(math.Round(l.ms))
}
