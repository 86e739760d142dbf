package vm

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// carriersPerUpstream is how many VMs own the connections of one upstream.
// Two let queries go on while one of them fails.
const carriersPerUpstream = 2

// connectionSharePercent is the share of an upstream's connection limit that
// one of two carriers may open. The rest is headroom while views differ.
const connectionSharePercent = 45

// scored is a VM with its rendezvous score for one upstream.
type scored struct {
	vm    string
	score uint64
}

// CarrierTable assigns carriers to upstreams by rendezvous hashing. It updates
// only the upstreams that a membership change touches, because hashing every
// upstream against every VM takes a second at the size in two years.
type CarrierTable struct {
	upstreams []string
	index     map[string]int
	members   []string // sorted
	carriers  [][]scored
}

// NewCarrierTable returns a table without members.
func NewCarrierTable(upstreams []string) *CarrierTable {
	t := &CarrierTable{
		upstreams: slices.Clone(upstreams), index: make(map[string]int, len(upstreams)),
		carriers: make([][]scored, len(upstreams)),
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
	for _, m := range old {
		if _, kept := slices.BinarySearch(next, m); !kept {
			t.remove(m, changed)
		}
	}
	for _, m := range next {
		if _, known := slices.BinarySearch(old, m); !known {
			t.add(m, changed)
		}
	}
	out := make([]string, 0, len(changed))
	for i := range changed {
		out = append(out, t.upstreams[i])
	}
	slices.Sort(out)
	return out
}

func (t *CarrierTable) add(member string, changed map[int]bool) {
	for i, u := range t.upstreams {
		if t.insert(i, scored{vm: member, score: score(u, member)}) {
			changed[i] = true
		}
	}
}

// insert puts s into the carriers of upstream i if its score is high enough.
func (t *CarrierTable) insert(i int, s scored) bool {
	list := t.carriers[i]
	at, found := slices.BinarySearchFunc(list, s, compareScored)
	if found || at >= carriersPerUpstream {
		return false
	}
	list = slices.Insert(list, at, s)
	t.carriers[i] = list[:min(len(list), carriersPerUpstream)]
	return true
}

func (t *CarrierTable) remove(member string, changed map[int]bool) {
	for i := range t.carriers {
		at := slices.IndexFunc(t.carriers[i], func(s scored) bool { return s.vm == member })
		if at < 0 {
			continue
		}
		t.carriers[i] = t.carriers[i][:0]
		for _, m := range t.members {
			t.insert(i, scored{vm: m, score: score(t.upstreams[i], m)})
		}
		changed[i] = true
	}
}

// compareScored sorts higher scores first.
func compareScored(a, b scored) int {
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
