package coverage

// Range is the half-open key range [From, To).
type Range struct {
	From uint32 `json:"from"`
	To   uint32 `json:"to"`
}

// Len returns the number of keys in r.
func (r Range) Len() uint32 {
	if r.To <= r.From {
		return 0
	}
	return r.To - r.From
}

// Contains reports whether key lies in r.
func (r Range) Contains(key uint32) bool { return key >= r.From && key < r.To }

// Row is one result row. Key is the plot or pond that it belongs to.
type Row struct {
	Key   uint32 `json:"key"`
	Value string `json:"value"`
}
