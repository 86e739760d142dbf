package relay

import (
	"container/heap"

	"lentillink.example/lentillink/clock"
)

// timer schedules a call of advance for one request. The request holds its own
// deadlines, so a stale timer has no effect.
type timer struct {
	at  clock.Millis
	req *request
}

type timers []timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// wake schedules a call of advance for r, unless an earlier one is scheduled.
func (m *Model) wake(r *request, at clock.Millis) {
	if r.wakeAt != 0 && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	heap.Push(&m.timers, timer{at: at, req: r})
}

const (
	// A timer that fires stalledMs late shows that the process did not run for a while. What
	// has become overdue meanwhile may have an answer that is not read yet, or may be
	// withdrawn, so nothing is repeated for catchUpMs.
	stalledMs clock.Millis = 50
	catchUpMs clock.Millis = 10
)

func (m *Model) runTimers(now clock.Millis) {
	m.acceptHeld(now)
	if len(m.timers) > 0 && now-m.timers[0].at >= stalledMs {
		m.catchUpUntil = now + catchUpMs
	}
	for len(m.timers) > 0 && m.timers[0].at <= now {
		t := heap.Pop(&m.timers).(timer)
		if t.req.wakeAt != t.at || m.requests[t.req.id] != t.req {
			continue
		}
		t.req.wakeAt = 0
		m.advance(now, t.req)
	}
}
