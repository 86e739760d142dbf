package order

import "lentillink.example/lentillink/clock"

// Stats counts what a Model has done since it was created.
type Stats struct {
	Writes        int // head and segment writes and deletes that were issued
	ClaimsWritten int // claims confirmed by a write
	Conflicts     int
	Releases      int
	StoreFailures int
}

// NextWake returns the time at which the Model needs its next TickMsg.
func (m *Model) NextWake() (clock.Millis, bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].at, true
}

// OpenOrders returns the number of submissions that are kept, including those
// answered as unknown that still wait for a late reply.
func (m *Model) OpenOrders() int { return len(m.submissions) }

// PendingOperations returns the number of claim operations that this VM, as
// owner, has queued or is writing.
func (m *Model) PendingOperations() int {
	n := 0
	for i := range m.partitions {
		n += len(m.partitions[i].pending)
	}
	return n
}

// PendingReleases returns the number of releases that this VM requested and that
// no owner has confirmed as written.
func (m *Model) PendingReleases() int {
	n := 0
	for _, r := range m.releases {
		if r.pending {
			n++
		}
	}
	return n
}

// Stats returns the counters.
func (m *Model) Stats() Stats { return m.stats }

// ClaimsPerWrite returns the mean number of claims in one write.
func (m *Model) ClaimsPerWrite() float64 {
	if m.stats.Writes == 0 {
		return 0
	}
	return float64(m.stats.ClaimsWritten) / float64(m.stats.Writes)
}

// Drained reports whether StopMsg was received and no work is left. Orders that
// were answered as unknown do not delay the drain. Pending releases do, and they
// depend on the store, so the runtime must bound its wait for Drained.
func (m *Model) Drained() bool {
	if !m.draining || m.PendingOperations() > 0 || m.PendingReleases() > 0 {
		return false
	}
	for _, o := range m.submissions {
		if o.state != stateAnswered {
			return false
		}
	}
	return true
}
