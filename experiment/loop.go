package experiment

import (
	"container/heap"

	"lentillink.example/lentillink/clock"
)

// Loop runs callbacks in virtual time. Callbacks scheduled for the same
// millisecond run in the order in which they were scheduled.
type Loop struct {
	now    clock.Millis
	seq    uint64
	events eventHeap
}

type event struct {
	at       clock.Millis
	seq      uint64
	callback func()
}

// NewLoop returns a loop whose virtual time starts at now.
func NewLoop(now clock.Millis) *Loop { return &Loop{now: now} }

// Now returns the current virtual time.
func (l *Loop) Now() clock.Millis { return l.now }

// At schedules run for the given time, or for now if that time has passed.
func (l *Loop) At(at clock.Millis, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: max(at, l.now), seq: l.seq, callback: run})
}

// After schedules run after a delay of d.
func (l *Loop) After(d clock.Millis, run func()) { l.At(l.now+d, run) }

// RunUntil runs every callback that is due by end, and advances the time to end.
func (l *Loop) RunUntil(end clock.Millis) {
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(event)
		l.now = next.at
		next.callback()
	}
	l.now = max(l.now, end)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
