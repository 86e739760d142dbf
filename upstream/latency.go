package upstream

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	// bucketsPerOctave buckets for each doubling of the latency keep the error
	// of a quantile below a tenth.
	bucketsPerOctave = 8
	// numBuckets covers 14 octaves, from 1 ms to 16 s.
	numBuckets = 14 * bucketsPerOctave
	// latencyWindow is the total weight of samples at which all weights are halved.
	latencyWindow = 512
	// latencyHalfLifeMs also halves the weight of older samples, so that a past
	// fault does not count for long at an upstream with few requests.
	latencyHalfLifeMs = 10 * clock.Second
	// meanWeight is the weight of a new sample in the exponential moving average.
	meanWeight = 1.0 / 16
	// minSamples is the number of samples below which a quantile is not reliable.
	minSamples = 16
	// maxHedgeMedians bounds the hedge delay to this many medians. With more than
	// one slow request in twenty the p95 is itself slow and no hedge would start.
	maxHedgeMedians = 4
	// quantileInterval is the number of samples between computations of the quantiles.
	quantileInterval = 8
)

// latency is a log-scale histogram of constant size whose counts decay, with an
// exponential moving average.
type latency struct {
	counts        [numBuckets]uint16
	total         int
	sinceQuantile int
	mean          float64
	p95           float64
	hedgeDelay    float64
	lastSampleAt  clock.Millis
	nextDecay     clock.Millis
}

// isOverdue reports whether an attempt without a reply has taken longer than nearly all
// replies. One that ended sooner, because its caller allows little time, says nothing about
// the upstream.
func (l *latency) isOverdue(elapsed clock.Millis) bool {
	return l.total == 0 || float64(elapsed) >= max(l.p95, l.mean)
}

// record adds ms to the histogram and meanMs to the moving average.
func (l *latency) record(now clock.Millis, ms, meanMs float64) {
	if now >= l.nextDecay {
		if l.nextDecay > 0 {
			l.halveCounts()
		}
		l.nextDecay = now + latencyHalfLifeMs
	}
	if l.total >= latencyWindow {
		l.halveCounts()
	}
	if l.mean == 0 {
		l.mean = meanMs
	}
	l.mean += (meanMs - l.mean) * meanWeight
	l.counts[bucketOf(ms)]++
	l.total++
	l.lastSampleAt = now
	l.sinceQuantile++
	if l.sinceQuantile >= quantileInterval || l.total <= minSamples {
		l.sinceQuantile = 0
		l.p95 = l.quantile(0.95)
		l.hedgeDelay = min(l.p95, maxHedgeMedians*l.quantile(0.5))
	}
}

func (l *latency) hasEnoughSamples() bool { return l.total >= minSamples }

func (l *latency) halveCounts() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += int(l.counts[i])
	}
}

func (l *latency) quantile(q float64) float64 {
	above := float64(l.total) * (1 - q)
	for i := numBuckets - 1; i >= 0; i-- {
		n := float64(l.counts[i])
		if n > 0 && above < n {
			return math.Exp2((float64(i) + 1 - above/n) / bucketsPerOctave)
		}
		above -= n
	}
	return 1
}

func bucketOf(ms float64) int {
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log2(ms)*bucketsPerOctave), numBuckets-1)
}
