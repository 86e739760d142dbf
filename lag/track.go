// Package lag estimates how late a VM is, towards the upper tail: what comes late misses a
// target, what comes early loses little.
package lag

// Weights of one sample. A rise counts more than a fall.
const (
	riseWeight = 0.3
	fallWeight = 0.03
)

// Track moves an estimate of the upper tail of a lag towards a sample.
func Track(estimate, sample float64) float64 {
	weight := fallWeight
	if sample > estimate {
		weight = riseWeight
	}
	return estimate + weight*(sample-estimate)
}
