package order

import (
	"container/heap"

	"lentillink.example/lentillink/clock"
)

type timerKind uint8

const (
	timerSubmission timerKind = iota
	timerRelease
	timerPartition
)

// timer triggers a check of one item. The item's state decides whether anything is due.
type timer struct {
	at   clock.Millis
	kind timerKind
	key  uint64 // sequence number of the submission or release, or index of the partition
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (m *Model) setTimer(at clock.Millis, kind timerKind, key uint64) {
	heap.Push(&m.timers, timer{at: at, kind: kind, key: key})
}

func (m *Model) runTimers(now clock.Millis) {
	for len(m.timers) > 0 && m.timers[0].at <= now {
		t := heap.Pop(&m.timers).(timer)
		switch t.kind {
		case timerSubmission:
			m.checkSubmission(now, t.key)
		case timerRelease:
			m.checkRelease(now, t.key)
		case timerPartition:
			p := &m.partitions[t.key]
			p.timerAt = 0
			m.advance(now, p)
		}
	}
}
