package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/preset"
)

// Only alive members are selected, by rendezvous hashing. A suspect has not
// answered a ping on four paths, one direct and the others through other members, so
// work sent to it would probably time out; a wrongly suspected member refutes within
// seconds and becomes eligible again. Correctness of orders does not depend on the
// selection, because order claims use compare-and-swap.

type candidate struct {
	mem   *member
	score uint64
}

// highestScored returns the n eligible members with the highest scores for key, best first.
func (m *Model) highestScored(key string, n int) []candidate {
	keyHash := xxhash.Sum64String(key)
	top := make([]candidate, 0, n+1)
	for i, mh := range m.eligibleHashes {
		score := mix(keyHash ^ mh)
		if len(top) == n && score <= top[n-1].score {
			continue
		}
		top = append(top, candidate{m.eligible[i], score})
		for j := len(top) - 1; j > 0 && top[j].score > top[j-1].score; j-- {
			top[j], top[j-1] = top[j-1], top[j]
		}
		top = top[:min(len(top), n)]
	}
	return top
}

// selectWatchers returns the members that watch the store. It takes the best member
// (by score) of each data centre first, so that watchers are in different data centres if possible.
func (m *Model) selectWatchers() []string {
	bestOf := make(map[string]candidate)
	for _, c := range m.scoreAll(preset.StoreKey) {
		if old, ok := bestOf[c.mem.DataCentre]; !ok || c.score > old.score {
			bestOf[c.mem.DataCentre] = c
		}
	}
	picked := make([]candidate, 0, len(bestOf))
	for _, c := range bestOf {
		picked = append(picked, c)
	}
	slices.SortFunc(picked, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	for _, c := range m.highestScored(preset.StoreKey, 2*watcherCount) {
		if !slices.ContainsFunc(picked, func(p candidate) bool { return p.mem == c.mem }) {
			picked = append(picked, c)
		}
	}
	ids := make([]string, 0, watcherCount)
	for _, c := range picked[:min(len(picked), watcherCount)] {
		ids = append(ids, c.mem.ID)
	}
	return ids
}

func (m *Model) scoreAll(key string) []candidate {
	keyHash := xxhash.Sum64String(key)
	list := make([]candidate, len(m.eligible))
	for i, mh := range m.eligibleHashes {
		list[i] = candidate{m.eligible[i], mix(keyHash ^ mh)}
	}
	return list
}
