package query

import "lentillink.example/lentillink/clock"

type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerDiscovery
	timerHedge
	timerRetry
	timerEpochRetry
)

// timer is one scheduled action. Obsolete timers are not removed at once; they
// are skipped when they reach the top of the heap.
type timer struct {
	at    clock.Millis
	kind  timerKind
	pass  int32 // pass of the query that set it
	group int32
	seq   uint64 // attempt that a hedge timer belongs to
	q     *openQuery
}

// timers is a binary heap ordered by time. It holds values, because
// container/heap would allocate for each of the 14,000 hedge timers a second.
type timers struct {
	heap []timer
}

func (h *timers) push(t timer) {
	h.heap = append(h.heap, t)
	i := len(h.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h.heap[parent].at <= h.heap[i].at {
			return
		}
		h.heap[parent], h.heap[i] = h.heap[i], h.heap[parent]
		i = parent
	}
}

func (h *timers) pop() timer {
	top := h.heap[0]
	last := len(h.heap) - 1
	h.heap[0] = h.heap[last]
	h.heap[last] = timer{}
	h.heap = h.heap[:last]
	h.siftDown()
	return top
}

func (h *timers) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h.heap) {
			return
		}
		if child+1 < len(h.heap) && h.heap[child+1].at < h.heap[child].at {
			child++
		}
		if h.heap[i].at <= h.heap[child].at {
			return
		}
		h.heap[i], h.heap[child] = h.heap[child], h.heap[i]
		i = child
	}
}
