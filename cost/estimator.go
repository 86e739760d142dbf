package cost

import (
	"math"
	"unsafe"

	"lentillink.example/lentillink/clock"
)

const (
	// minWeight is the weight of a route, in samples, from which it is known.
	minWeight = 16

	// priorWeight is how many samples the coarser keys count for beside those of a finer one.
	priorWeight = 1

	// gainFade is the share of a gain that is left after a sample. maxGain bounds a gain, so
	// that a level that begins to carry information counts again.
	gainFade = 0.98
	maxGain  = 6

	// initialGain is that of a level of which nothing is known.
	initialGain = -2

	// leastShare is added to the shares of buckets that are compared.
	leastShare = 1e-3
)

// evidenceClasses is the number of classes of cells by their weight.
const evidenceClasses = 4

// evidenceOf returns the class of a cell. Cells with little evidence predict worse.
func evidenceOf(weight float64) int {
	switch {
	case weight < 2:
		return 0
	case weight < 8:
		return 1
	case weight < 32:
		return 2
	}
	return 3
}

// levelUse is how well the finer keys of one route have predicted its requests, by level
// and by the evidence that they had.
type levelUse struct {
	gain  [levels][evidenceClasses]float32 // recent gain over the coarser keys, in nats
	share [levels][evidenceClasses]float32 // in an estimate, from the gain
}

func newLevelUse() levelUse {
	var u levelUse
	for level := range u.gain {
		for class := range u.gain[level] {
			u.set(level, class, initialGain)
		}
	}
	return u
}

func (u *levelUse) set(level, class int, gain float64) {
	gain = min(max(gain, -maxGain), maxGain)
	u.gain[level][class] = float32(gain)
	u.share[level][class] = float32(1 / (1 + math.Exp(-gain)))
}

// Estimator estimates the work of requests. It is not safe for concurrent use.
type Estimator struct {
	routes [maxRoutes]cell
	uses   [maxRoutes]levelUse // of the cells in routes
	finer  [levels - 1][cellsPerLevel]cell
}

// Bytes is the memory of an Estimator.
const Bytes = int(unsafe.Sizeof(Estimator{}))

// New returns an Estimator that knows nothing.
func New() *Estimator { return &Estimator{} }

// Estimate returns the distribution of the work of a request.
func (e *Estimator) Estimate(now clock.Millis, keys *Keys) Estimate {
	i := find(e.routes[:], keys[levelRoute])
	if i < 0 || e.routes[i].weight*e.routes[i].fade(now) < minWeight {
		return Estimate{}
	}
	shares := e.routes[i].shares()
	for level := 1; level < levels; level++ {
		c := e.finerCell(level, keys)
		if c == nil {
			continue
		}
		fade := float64(c.fade(now))
		weight := fade * float64(c.weight)
		use := float64(e.uses[i].share[level][evidenceOf(weight)]) / (weight + priorWeight)
		for b := range shares {
			shares[b] += use * (fade*float64(c.counts[b]) - weight*shares[b])
		}
	}
	return newEstimate(&shares)
}

// Add records the work of a request that has ended. A value that is no time is ignored.
func (e *Estimator) Add(now clock.Millis, keys *Keys, workMs float64) {
	if math.IsNaN(workMs) || math.IsInf(workMs, 0) || workMs < 0 {
		return
	}
	bucket := bucketOf(workMs)
	i, isNew := claim(e.routes[:], now, keys[levelRoute])
	if isNew {
		e.uses[i] = newLevelUse()
	}
	if e.routes[i].weight >= 1 {
		e.compare(now, i, keys, bucket)
	}
	e.routes[i].add(now, bucket)
	for level := 1; level < levels; level++ {
		cells := e.finer[level-1][:]
		j, _ := claim(cells, now, keys[level])
		cells[j].add(now, bucket)
	}
}

// compare records for each level how much better it predicted a bucket than the coarser ones.
func (e *Estimator) compare(now clock.Millis, route int, keys *Keys, bucket int) {
	use := &e.uses[route]
	coarse := float64(e.routes[route].counts[bucket] / e.routes[route].weight)
	for level := 1; level < levels; level++ {
		c := e.finerCell(level, keys)
		if c == nil {
			continue
		}
		fade := float64(c.fade(now))
		weight := fade * float64(c.weight)
		own := (fade*float64(c.counts[bucket]) + priorWeight*coarse) / (weight + priorWeight)
		class := evidenceOf(weight)
		gain := math.Log((own + leastShare) / (coarse + leastShare))
		use.set(level, class, gainFade*float64(use.gain[level][class])+gain)
		coarse += float64(use.share[level][class]) * (own - coarse)
	}
}

func (e *Estimator) finerCell(level int, keys *Keys) *cell {
	cells := e.finer[level-1][:]
	if i := find(cells, keys[level]); i >= 0 {
		return &cells[i]
	}
	return nil
}

// shares returns the distribution of a cell with samples.
func (c *cell) shares() (out [buckets]float64) {
	for b, n := range c.counts {
		out[b] = float64(n / c.weight)
	}
	return out
}
