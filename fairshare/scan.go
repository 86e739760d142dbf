package fairshare

// Scan reports which of the work that waits would be served before new work of one flow. It
// is valid until the next Scan of the Account.
type Scan struct {
	flow *Flow
	tag  float64 // of the new work
}

// Before begins a Scan for new work of f behind work of its own with the cost ownAhead.
func (f *Flow) Before(ownAhead float64) Scan {
	f.account.scan++
	return Scan{flow: f, tag: f.tagAfter(ownAhead)}
}

// Precedes reports whether work of another flow goes first. It is called once for each
// piece of work that waits.
func (s Scan) Precedes(other *Flow, cost float64) bool {
	if other.account != s.flow.account || other == s.flow {
		return true
	}
	if other.scan != s.flow.account.scan {
		other.scan, other.ahead = s.flow.account.scan, 0
	}
	tag := other.tagAfter(other.ahead)
	other.ahead += cost
	return tag <= s.tag
}
