package vm

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// carriersPerUpstream is how many VMs are carriers of one upstream, that is,
// hold connections to it. With two, queries continue when one of them fails.
const carriersPerUpstream = 2

// candidatesPerUpstream is how many of the highest-scoring VMs are stored per
// upstream, so that the loss of a rack or a data centre requires no scan of
// all VMs for most upstreams.
const candidatesPerUpstream = 5

// connectionSharePercent is the share of an upstream's connection limit that
// one of two carriers may open. The rest is headroom while the VMs' membership
// views differ.
const connectionSharePercent = 45

// candidate is a VM with its rendezvous score for one upstream.
type candidate struct {
	vm    string
	score uint64
}

// CarrierTable assigns carriers to upstreams by rendezvous hashing. It updates
// only the upstreams that a membership change affects, because hashing every
// upstream against every VM takes a second at the fleet size planned for two years
// from now.
type CarrierTable struct {
	upstreams  []string
	index      map[string]int
	members    []string      // sorted
	candidates [][]candidate // per upstream, the highest-scoring VMs in descending order; the first two are its carriers
}

// NewCarrierTable returns a table without members.
func NewCarrierTable(upstreams []string) *CarrierTable {
	t := &CarrierTable{
		upstreams: slices.Clone(upstreams), index: make(map[string]int, len(upstreams)),
		candidates: make([][]candidate, len(upstreams)),
	}
	for i, u := range t.upstreams {
		t.index[u] = i
	}
	return t
}

// SetMembers replaces the members and returns the upstreams whose carriers changed.
func (t *CarrierTable) SetMembers(members []string) []string {
	next := slices.Clone(members)
	slices.Sort(next)
	next = slices.Compact(next)
	changed := make(map[int]bool)
	old := t.members
	t.members = next
	removed := make(map[string]bool)
	var kept []string
	for _, m := range old {
		if _, stays := slices.BinarySearch(next, m); stays {
			kept = append(kept, m)
			continue
		}
		removed[m] = true
	}
	if len(removed) > 0 {
		t.removeMembers(removed, kept, changed)
	}
	memberCount := len(kept)
	for _, m := range next {
		if _, known := slices.BinarySearch(old, m); !known {
			t.addMember(m, memberCount, changed)
			memberCount++
		}
	}
	out := make([]string, 0, len(changed))
	for i := range changed {
		out = append(out, t.upstreams[i])
	}
	slices.Sort(out)
	return out
}

// addMember inserts a member into a table of memberCount members.
func (t *CarrierTable) addMember(member string, memberCount int, changed map[int]bool) {
	for i, u := range t.upstreams {
		complete := len(t.candidates[i]) == memberCount
		if t.insert(i, candidate{vm: member, score: score(u, member)}, complete) {
			changed[i] = true
		}
	}
}

// insert adds newCandidate to the candidates of upstream i if its score is high enough.
// A VM that scores below the last candidate is added only if complete is set,
// which means that the list holds every other VM; otherwise an unlisted VM may
// score between the two. It reports whether a carrier changed.
func (t *CarrierTable) insert(i int, newCandidate candidate, complete bool) bool {
	list := t.candidates[i]
	pos, found := slices.BinarySearchFunc(list, newCandidate, compareCandidates)
	if found || pos >= candidatesPerUpstream || pos == len(list) && !complete {
		return false
	}
	list = slices.Insert(list, pos, newCandidate)
	t.candidates[i] = list[:min(len(list), candidatesPerUpstream)]
	return pos < carriersPerUpstream
}

// removeMembers deletes the removed members and scans the remaining ones only
// for upstreams that have fewer candidates left than carriers.
func (t *CarrierTable) removeMembers(removed map[string]bool, remaining []string, changed map[int]bool) {
	for i, list := range t.candidates {
		before := len(list)
		for pos, s := range list {
			if removed[s.vm] && pos < carriersPerUpstream {
				changed[i] = true
			}
		}
		list = slices.DeleteFunc(list, func(s candidate) bool { return removed[s.vm] })
		t.candidates[i] = list
		if len(list) < before && len(list) < carriersPerUpstream {
			t.rescan(i, remaining)
		}
	}
}

// rescan finds the candidates of upstream i among all members.
func (t *CarrierTable) rescan(i int, members []string) {
	t.candidates[i] = t.candidates[i][:0]
	for _, m := range members {
		t.insert(i, candidate{vm: m, score: score(t.upstreams[i], m)}, true)
	}
}

// compareCandidates sorts higher scores first, equal scores by VM.
func compareCandidates(a, b candidate) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	case a.vm < b.vm:
		return -1
	case a.vm > b.vm:
		return 1
	}
	return 0
}

func score(upstream, member string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + member)
}
