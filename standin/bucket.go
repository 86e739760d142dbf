package standin

import (
	"sync"
	"time"
)

// burstSeconds is the capacity of a bucket, in seconds of its rate. A tenth of
// a second allows bursts of a few milliseconds and rejects a sustained excess.
const burstSeconds = 0.1

// bucket is a token bucket. A rate of 0 means no limit.
type bucket struct {
	mu     sync.Mutex
	rate   float64 // tokens per second
	tokens float64
	last   time.Time
}

func (b *bucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
}

func (b *bucket) capacity() float64 { return max(1, b.rate*burstSeconds) }

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		return true
	}
	if b.last.IsZero() {
		b.tokens = b.capacity()
	} else {
		b.tokens = min(b.capacity(), b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
