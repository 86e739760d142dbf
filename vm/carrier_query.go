package vm

// Carrier returns the i-th carrier of an upstream, or "" if there is none.
func (t *CarrierTable) Carrier(upstream string, i int) string {
	n, ok := t.index[upstream]
	if !ok || i >= min(len(t.candidates[n]), carriersPerUpstream) {
		return ""
	}
	return t.candidates[n][i].vm
}

// IsCarrier reports whether member is a carrier of the upstream.
func (t *CarrierTable) IsCarrier(upstream, member string) bool {
	for i := range carriersPerUpstream {
		if t.Carrier(upstream, i) == member {
			return member != ""
		}
	}
	return false
}

// ConnectionLimit returns how many connections to an upstream with the given limit the
// member may open.
func (t *CarrierTable) ConnectionLimit(upstream, member string, connections int) int {
	if !t.IsCarrier(upstream, member) {
		return 0
	}
	return max(1, connections*connectionSharePercent/100)
}

// carriersOf returns the carriers of the i-th upstream without the other candidates.
func (t *CarrierTable) carriersOf(i int) []candidate {
	return t.candidates[i][:min(len(t.candidates[i]), carriersPerUpstream)]
}
