package coverage

import "slices"

// Set is a set of keys, kept as disjoint ranges in ascending order.
// The zero value is an empty set.
type Set struct {
	ranges []Range
}

// Add adds r to the set and returns the ranges of r that were not in it before.
func (s *Set) Add(r Range) []Range {
	if r.Len() == 0 {
		return nil
	}
	added := s.Missing(r)
	if len(added) == 0 {
		return nil
	}
	first, merged := 0, r
	for first < len(s.ranges) && s.ranges[first].To < r.From {
		first++
	}
	last := first
	for last < len(s.ranges) && s.ranges[last].From <= r.To {
		merged.From = min(merged.From, s.ranges[last].From)
		merged.To = max(merged.To, s.ranges[last].To)
		last++
	}
	s.ranges = slices.Replace(s.ranges, first, last, merged)
	return added
}

// Missing returns the ranges of r that are not in the set.
func (s *Set) Missing(r Range) []Range {
	var missing []Range
	from := r.From
	for _, covered := range s.ranges {
		if covered.To <= from {
			continue
		}
		if covered.From >= r.To {
			break
		}
		if covered.From > from {
			missing = append(missing, Range{From: from, To: covered.From})
		}
		from = max(from, covered.To)
	}
	if from < r.To {
		missing = append(missing, Range{From: from, To: r.To})
	}
	return missing
}

// Len returns the number of keys in the set.
func (s *Set) Len() uint32 {
	var n uint32
	for _, r := range s.ranges {
		n += r.Len()
	}
	return n
}

// Ranges returns a copy of the disjoint ranges in ascending order.
func (s *Set) Ranges() []Range { return slices.Clone(s.ranges) }
