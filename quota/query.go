package quota

import "lentillink.example/lentillink/clock"

// NextWake returns the time at which the Model needs a TickMsg. It returns false if it needs
// none.
func (m *Model) NextWake() (clock.Millis, bool) {
	at := clock.Millis(0)
	for _, w := range m.wakes {
		if w != 0 && (at == 0 || w < at) {
			at = w
		}
	}
	return at, at != 0
}

// Owner returns the VM that holds the claim of a group, as far as this VM knows. It is empty
// if there is none.
func (m *Model) Owner(group int) string { return m.claims[group].VM }

// OwnedGroups returns the number of groups of which this VM may grant the main credit.
func (m *Model) OwnedGroups(now clock.Millis) int {
	n := 0
	for g := range Groups {
		if m.hasRight(now, g) {
			n++
		}
	}
	return n
}

// Waiting returns the number of requests that wait for credit.
func (m *Model) Waiting() int { return len(m.waits) }
