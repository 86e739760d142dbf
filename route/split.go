package route

import (
	"maps"
	"slices"
)

// Splitter distributes the requests of split routes over their services in
// proportion to the weights. It uses smooth weighted round robin: any run of
// requests stays within one request of its shares, which random selection does not
// guarantee for short runs.
type Splitter struct {
	credits map[string][]float64 // by route name; in requests, whatever the scale of the weights
}

// NewSplitter returns a Splitter without state.
func NewSplitter() *Splitter { return &Splitter{credits: make(map[string][]float64)} }

// Clone returns a Splitter that continues like s, without an effect on it.
func (s *Splitter) Clone() *Splitter {
	out := &Splitter{credits: maps.Clone(s.credits)}
	for name, credits := range out.credits {
		out.credits[name] = slices.Clone(credits)
	}
	return out
}

// Next returns the service of the next request on r.
func (s *Splitter) Next(r *Route) string {
	credits := s.credits[r.Name]
	if len(credits) != len(r.Split) {
		credits = make([]float64, len(r.Split))
		s.credits[r.Name] = credits
	}
	total := totalWeight(r.Split)
	selected := -1
	for i, target := range r.Split {
		if target.Weight <= 0 {
			credits[i] = 0
			continue
		}
		credits[i] += target.Weight / total
		if selected < 0 || credits[i] > credits[selected] {
			selected = i
		}
	}
	if selected < 0 {
		return ""
	}
	credits[selected]--
	return r.Split[selected].Service
}

func totalWeight(split []WeightedService) float64 {
	total := 0.0
	for _, target := range split {
		total += max(target.Weight, 0)
	}
	return total
}

// Prune deletes the state of routes that t no longer splits.
func (s *Splitter) Prune(t *Table) {
	kept := make(map[string][]float64, len(s.credits))
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if c := s.credits[r.Name]; len(c) == len(r.Split) && len(c) > 0 {
			kept[r.Name] = c
		}
	}
	s.credits = kept
}
