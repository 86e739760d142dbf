package reliability

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	// sampleWeight is the weight of one attempt in the estimate.
	sampleWeight = 0.15

	// halfLifeMs is the time in which an estimate without new attempts halves, so that an
	// upstream that got none because of it is tried again.
	halfLifeMs = 3 * clock.Second
)

// Estimate is the estimated share of attempts that fail. The zero value estimates none.
type Estimate struct {
	failing   float64
	updatedAt clock.Millis
}

// Record records how an attempt ended.
func (e *Estimate) Record(now clock.Millis, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	share := e.FailingShare(now)
	e.failing, e.updatedAt = share+sampleWeight*(sample-share), now
}

// FailingShare returns the share of attempts that are expected to fail, 0 to 1.
func (e *Estimate) FailingShare(now clock.Millis) float64 {
	if e.failing == 0 {
		return 0
	}
	return e.failing * math.Exp2(-float64(max(now-e.updatedAt, 0))/float64(halfLifeMs))
}
