package coverage

import "slices"

// Part is the content of one reply, which becomes a part of the answer.
type Part struct {
	Group   int // index of the group within the service
	Version uint64
	Epoch   uint64 // shard map epoch under which Ranges was computed
	Ranges  []Range
	Rows    []Row
}

// Merge merges the parts of one answer. Its snapshot version is fixed, so its
// rows never mix versions.
type Merge struct {
	version  uint64
	keySpace Range
	set      Set
	rows     []Row
	epochs   []uint64
}

// NewMerge returns an empty Merge for one snapshot version of a service with
// the key space [0, keys) and the given number of groups.
func NewMerge(version uint64, keys uint32, groups int) *Merge {
	return &Merge{version: version, keySpace: Range{To: keys}, epochs: make([]uint64, groups)}
}

// Add adds the keys of p that are not covered yet, with their rows. It returns
// false, without a change, if p has another version or an unknown group.
func (m *Merge) Add(p Part) bool {
	if p.Version != m.version || p.Group < 0 || p.Group >= len(m.epochs) {
		return false
	}
	m.epochs[p.Group] = max(m.epochs[p.Group], p.Epoch)
	var added []Range
	for _, r := range p.Ranges {
		r.To = min(r.To, m.keySpace.To)
		added = append(added, m.set.Add(r)...)
	}
	for _, row := range p.Rows {
		if slices.ContainsFunc(added, func(r Range) bool { return r.Contains(row.Key) }) {
			m.rows = append(m.rows, row)
		}
	}
	return true
}

// Version returns the snapshot version that m accepts.
func (m *Merge) Version() uint64 { return m.version }

// Epoch returns the highest shard map epoch of the group's parts, or 0 without a part.
func (m *Merge) Epoch(group int) uint64 { return m.epochs[group] }

// MaxEpoch returns the highest shard map epoch of all groups.
func (m *Merge) MaxEpoch() uint64 {
	var epoch uint64
	for _, e := range m.epochs {
		epoch = max(epoch, e)
	}
	return epoch
}

// Expected returns the number of keys in a complete answer.
func (m *Merge) Expected() uint32 { return m.keySpace.Len() }

// Covered returns the number of keys covered by the parts.
func (m *Merge) Covered() uint32 { return m.set.Len() }

// Missing returns the ranges of the key space that no part covers.
func (m *Merge) Missing() []Range { return m.set.Missing(m.keySpace) }

// Complete reports whether the parts cover the whole key space.
func (m *Merge) Complete() bool { return m.Covered() == m.Expected() }

// Rows returns a copy of the rows added so far.
func (m *Merge) Rows() []Row { return slices.Clone(m.rows) }
