package quota

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// deputyCount is the number of deputies of a group. The first one also claims the group if
// it has no owner.
const deputyCount = 4

// member is a VM of the fleet.
type member struct {
	VM
	hash uint64
}

// scored is a VM with its score for a group.
type scored struct {
	member
	score float64
}

func (s scored) beats(o scored) bool {
	return s.score > o.score || s.score == o.score && s.ID < o.ID
}

// rankDeputies returns the deputies of a group, the best one first: by rendezvous hashing
// weighted by processor share, the best one of each data centre before the second of any.
func rankDeputies(members []member, group int) []member {
	var best []scored // of all
	bestIn := make(map[string]scored)
	for _, mb := range members {
		s := scored{mb, score(mb, group)}
		best = insertBest(best, s)
		if o, ok := bestIn[mb.DataCentre]; !ok || s.beats(o) {
			bestIn[mb.DataCentre] = s
		}
	}
	var spread []scored
	for _, dc := range sortedKeys(bestIn) {
		spread = insertBest(spread, bestIn[dc])
	}
	out := make([]member, 0, deputyCount)
	for _, s := range slices.Concat(spread, best) {
		if len(out) < deputyCount && !slices.Contains(out, s.member) {
			out = append(out, s.member)
		}
	}
	return out
}

// insertBest inserts s into the best deputyCount, which are sorted.
func insertBest(list []scored, s scored) []scored {
	i := 0
	for i < len(list) && list[i].beats(s) {
		i++
	}
	if i == deputyCount {
		return list
	}
	list = slices.Insert(list, i, s)
	return list[:min(len(list), deputyCount)]
}

// score returns the weighted rendezvous score of a VM for a group. Weak VMs answer late when
// they are busy, and each owner renews a lease, so the weight grows with the fourth power of
// the processor share: where VMs differ, the few strong ones own nearly all groups.
func score(mb member, group int) float64 {
	const bits = 53
	h := mix(mb.hash ^ mix(uint64(group)+1))
	x := (float64(h>>(64-bits)) + 0.5) / (1 << bits) // uniform in (0, 1)
	cpu := float64(max(mb.CPUMilli, 1))
	return -cpu * cpu * cpu * cpu / math.Log(x)
}

// mix distributes the bits of a combined hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func newMember(v VM) member { return member{VM: v, hash: xxhash.Sum64String(v.ID)} }
