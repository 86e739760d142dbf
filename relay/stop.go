package relay

import (
	"maps"
	"slices"

	"lentillink.example/lentillink/clock"
)

// stop shortens the deadlines of all requests to that of this VM.
func (m *Model) stop(msg StopMsg) {
	m.stopAt, m.callersUntil = msg.Deadline, min(msg.CallersUntil, msg.Deadline)
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		if r := m.requests[id]; r.deadline > m.stopAt {
			r.deadline = m.stopAt
			m.wake(r, m.stopAt)
		}
	}
}

// outlastsStop reports whether a new request should be refused because this VM is
// stopping: its upstream might still work on it when the VM ends. One that will probably
// end in time is served. But the caller of one that may not be repeated would not learn
// whether it has run, so it is served only if it certainly ends in time, once the load
// balancer sends no more callers and those that are left can go elsewhere.
func (m *Model) outlastsStop(now clock.Millis, r *request) bool {
	if m.stopAt == 0 || r.deadline <= m.stopAt {
		return false
	}
	if now >= m.callersUntil && !r.route.Idempotent {
		return true
	}
	return now+m.overdueAfter(r, 1) > m.stopAt
}

// limitToStop shortens the deadline of a new request to that of this VM.
func (m *Model) limitToStop(r *request) {
	if m.stopAt > 0 {
		r.deadline = min(r.deadline, m.stopAt)
		r.targetAt = min(r.targetAt, r.deadline)
	}
}
