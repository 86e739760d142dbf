package vm

// Carrier returns the i-th carrier of an upstream, or "" if there is none.
func (t *CarrierTable) Carrier(upstream string, i int) string {
	n, ok := t.index[upstream]
	if !ok || i >= min(len(t.carriers[n]), carriersPerUpstream) {
		return ""
	}
	return t.carriers[n][i].vm
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

// current returns the carriers of the i-th upstream without the other candidates.
func (t *CarrierTable) current(i int) []scored {
	return t.carriers[i][:min(len(t.carriers[i]), carriersPerUpstream)]
}
