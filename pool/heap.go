package pool

import "container/heap"

// An item lies in several heaps at once, one per slot.
const (
	slotOrder = iota // service order while queued, end of the wait while running
	slotWorst        // reverse service order while queued
	slotDue          // deadline while queued
	slotTurn         // end of giving way while queued
	slotCount
)

// itemHeap is a heap of items that supports removal from the middle.
type itemHeap struct {
	items []*item
	slot  int
	less  func(a, b *item) bool
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.slot] = i
	h.items[j].index[h.slot] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index[h.slot] = len(h.items)
	h.items = append(h.items, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	n := len(h.items) - 1
	it := h.items[n]
	h.items[n] = nil
	h.items = h.items[:n]
	return it
}

func (h *itemHeap) add(it *item)    { heap.Push(h, it) }
func (h *itemHeap) remove(it *item) { heap.Remove(h, it.index[h.slot]) }
func (h *itemHeap) fix(it *item)    { heap.Fix(h, it.index[h.slot]) }
func (h *itemHeap) top() *item      { return h.items[0] }

func servedBefore(a, b *item) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	if a.req.Deadline != b.req.Deadline {
		return a.req.Deadline < b.req.Deadline
	}
	return a.seq < b.seq
}

func servedAfter(a, b *item) bool { return servedBefore(b, a) }

func turnBefore(a, b *item) bool {
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return servedBefore(a, b)
}

func dueBefore(a, b *item) bool { return a.req.Deadline < b.req.Deadline }

func endsBefore(a, b *item) bool { return a.ends < b.ends }
