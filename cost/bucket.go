package cost

import "math"

const (
	// buckets is the number of buckets of a histogram, two for each doubling. They span
	// minMs to 32 s; less and more fall into the first and the last one.
	buckets = 32
	minMs   = 0.5
)

// mantissaBits is the length of the fraction of a float64.
const mantissaBits = 52

// bucketOf returns the bucket of a time in milliseconds, which is not NaN.
func bucketOf(ms float64) int {
	x := ms / minMs
	if x < 1 {
		return 0
	}
	bits := math.Float64bits(x)
	exponent := int(bits>>mantissaBits) - 1023
	return min(2*exponent+int(bits>>(mantissaBits-1)&1), buckets-1)
}

// lowerMs and typicalMs are the lower edges of the buckets, and a value in the middle of each.
var lowerMs, typicalMs = edges()

func edges() (lower, typical [buckets]float64) {
	edge := func(b int) float64 {
		return minMs * math.Ldexp(1+0.5*float64(b%2), b/2)
	}
	for b := range buckets {
		lower[b] = edge(b)
		typical[b] = math.Sqrt(edge(b) * edge(b+1))
	}
	return lower, typical
}
