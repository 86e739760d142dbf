package cost

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	// halfLifeMs is the time in which knowledge loses half of its weight.
	halfLifeMs = 10 * clock.Minute

	// maxWeight bounds the weight of a cell, in samples, so that new samples count.
	maxWeight = 256

	// A sample counts in its bucket with centreShare, and with the rest in those beside it:
	// the next one like it will hardly fall into exactly the same bucket.
	centreShare = 0.5
	besideShare = (1 - centreShare) / 2
)

// cell is the histogram of the work of the requests with one key.
type cell struct {
	key    uint64
	at     clock.Millis // of the weights
	weight float32      // sum of counts
	counts [buckets]float32
}

// fade returns the share of a cell's weight that is left. A clock that was set back fades
// nothing.
func (c *cell) fade(now clock.Millis) float32 {
	age := now - c.at
	if age <= 0 {
		return 1
	}
	return float32(math.Exp2(-float64(age) / float64(halfLifeMs)))
}

func (c *cell) add(now clock.Millis, bucket int) {
	scale := c.fade(now)
	if c.weight*scale > maxWeight {
		scale *= 0.5
	}
	if scale != 1 {
		c.weight *= scale
		for b := range c.counts {
			c.counts[b] *= scale
		}
	}
	c.at = now
	c.weight++
	c.counts[bucket] += centreShare
	c.counts[max(bucket-1, 0)] += besideShare
	c.counts[min(bucket+1, buckets-1)] += besideShare
}

const (
	// ways is how many cells a key may be in.
	ways = 4

	// cellsPerLevel bounds the cells of one level, so that a flood of different paths
	// replaces only other paths.
	cellsPerLevel = 1024
	maxRoutes     = 128
)

// find returns the index of the cell with a key, -1 if there is none.
func find(cells []cell, key uint64) int {
	set := setOf(cells, key)
	for i := set; i < set+ways; i++ {
		if cells[i].key == key && cells[i].weight > 0 {
			return i
		}
	}
	return -1
}

// claim returns the index of the cell with a key. A new key replaces the one with the least
// weight in its set, which is cleared.
func claim(cells []cell, now clock.Millis, key uint64) (index int, isNew bool) {
	if i := find(cells, key); i >= 0 {
		return i, false
	}
	set := setOf(cells, key)
	index = set
	least := float32(math.MaxFloat32)
	for i := set; i < set+ways; i++ {
		if w := cells[i].weight * cells[i].fade(now); w < least {
			index, least = i, w
		}
	}
	cells[index] = cell{key: key, at: now}
	return index, true
}

func setOf(cells []cell, key uint64) int {
	return int(key%uint64(len(cells)/ways)) * ways
}
