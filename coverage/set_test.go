package coverage_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/coverage"
)

// TestSetMatchesReference guards against keys counted twice and missing ranges
// that are not reported. It compares a Set with a map of single keys.
func TestSetMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keys = 64
		var set coverage.Set
		reference := make(map[uint32]bool)
		for range rapid.IntRange(1, 20).Draw(t, "adds") {
			from := rapid.Uint32Range(0, keys).Draw(t, "from")
			to := rapid.Uint32Range(0, keys).Draw(t, "to")
			var got, want uint32
			for _, r := range set.Add(coverage.Range{From: from, To: to}) {
				got += r.Len()
			}
			for k := from; k < to; k++ {
				if !reference[k] {
					want++
				}
				reference[k] = true
			}
			if got != want {
				t.Fatalf("Add([%d,%d)) added %d keys, want %d", from, to, got, want)
			}
		}
		if got, want := set.Len(), uint32(len(reference)); got != want {
			t.Fatalf("Len() = %d, want %d", got, want)
		}
		for _, r := range set.Missing(coverage.Range{To: keys}) {
			for k := r.From; k < r.To; k++ {
				if reference[k] {
					t.Fatalf("Missing reported key %d, which was added", k)
				}
			}
		}
		ranges := set.Ranges()
		if !slices.IsSortedFunc(ranges, func(a, b coverage.Range) int { return int(a.From) - int(b.From) }) {
			t.Fatalf("Ranges() = %v, want ascending", ranges)
		}
	})
}
