package quota

import "lentillink.example/lentillink/clock"

const (
	// declineMs is how long a VM that holds the claim of a group, but may grant nothing, is
	// not asked.
	declineMs = 2 * clock.Second

	// releaseMs is the time that a VM which stops has to end its claims before another VM
	// tries to claim the groups.
	releaseMs clock.Millis = 50
)

// noteDeclined records for which groups the VM that holds the claim may grant nothing. A VM
// that stops ends its claims, and the watch of the store may show that seconds later than
// its grants do. The claim of another VM succeeds only if they have ended.
func (m *Model) noteDeclined(now clock.Millis, from string, g Grant) {
	for _, e := range g.Entries {
		group := GroupOf(e.Customer)
		if !m.isOwner(from, group) || from == m.cfg.self {
			continue
		}
		switch {
		case !e.isOwners():
			if !m.isDeclined(now, group) {
				m.beginDeclined(now, group)
			}
			m.declined[group] = now + declineMs
		case m.declined[group] > 0:
			m.declined[group], m.targetCache[group] = 0, nil
		}
	}
}

// beginDeclined prepares the claim of a group by the deputies.
func (m *Model) beginDeclined(now clock.Millis, group int) {
	m.targetCache[group] = nil
	m.freeSince[group] = now + releaseMs
	if delay, ok := m.claimDelay(group); ok && !m.inactive() && m.rights[group].lease == 0 {
		m.wanted[group] = max(m.freeSince[group]+delay, m.claimAfter[group])
	}
}

// isDeclined reports whether the VM that holds the claim of a group may grant nothing.
func (m *Model) isDeclined(now clock.Millis, group int) bool { return now < m.declined[group] }
