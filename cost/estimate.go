package cost

import "lentillink.example/lentillink/clock"

// Estimate is the distribution of the work of one request, in milliseconds at an upstream
// of typical speed. The zero value knows nothing.
type Estimate struct {
	known    bool
	meanMs   float32
	medianMs float32
	highMs   float32
	limitMs  float32          // of all values; 0 if there is none
	tailMs   [buckets]float32 // mean of the work that reaches each bucket
}

// highShare is the share of requests that need at most HighMs.
const highShare = 0.9

// Known reports whether enough has been seen of the route. If not, the other values are 0.
func (e *Estimate) Known() bool { return e.known }

// MeanMs returns the mean.
func (e *Estimate) MeanMs() float64 { return float64(e.meanMs) }

// MedianMs returns the median.
func (e *Estimate) MedianMs() float64 { return float64(e.medianMs) }

// HighMs returns the work that one in ten such requests exceeds.
func (e *Estimate) HighMs() float64 { return float64(e.highMs) }

// Limit bounds all values.
func (e *Estimate) Limit(ms float64) {
	e.limitMs = float32(ms)
	e.meanMs, e.medianMs, e.highMs = min(e.meanMs, e.limitMs), min(e.medianMs, e.limitMs), min(e.highMs, e.limitMs)
}

// RemainingMs returns the mean of the work that is left after some was done.
func (e *Estimate) RemainingMs(done clock.Millis) float64 {
	if done <= 0 {
		return float64(e.meanMs)
	}
	x := float64(done)
	b := bucketOf(x)
	tail := float64(e.tailMs[b])
	if b+1 < buckets && x > lowerMs[b] {
		share := (x - lowerMs[b]) / (lowerMs[b+1] - lowerMs[b])
		tail += share * (float64(e.tailMs[b+1]) - tail)
	}
	left := max(tail-x, minRemainingShare*x)
	if e.limitMs > 0 {
		left = min(left, float64(e.limitMs))
	}
	return left
}

// minRemainingShare is the least work that is left, as a share of what was done: no
// histogram knows when a request ends that took longer than all before.
const minRemainingShare = 0.1

// newEstimate summarizes a distribution whose shares add up to about 1.
func newEstimate(shares *[buckets]float64) Estimate {
	e := Estimate{known: true}
	sum, work := 0.0, 0.0
	for b := buckets - 1; b >= 0; b-- {
		sum += shares[b]
		work += shares[b] * typicalMs[b]
		tail := lowerMs[b]
		if sum > 0 {
			tail = work / sum
		}
		e.tailMs[b] = float32(max(tail, lowerMs[b]))
	}
	if sum <= 0 {
		return Estimate{}
	}
	e.meanMs = float32(work / sum)
	e.medianMs = float32(quantile(shares, sum*0.5))
	e.highMs = float32(quantile(shares, sum*highShare))
	return e
}

// quantile returns the time below which the shares add up to a sum.
func quantile(shares *[buckets]float64, sum float64) float64 {
	for b := range buckets - 1 {
		if shares[b] > 0 && sum <= shares[b] {
			return lowerMs[b] + (lowerMs[b+1]-lowerMs[b])*sum/shares[b]
		}
		sum -= shares[b]
	}
	return typicalMs[buckets-1]
}
