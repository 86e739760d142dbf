package pool

import "container/heap"

// An attempt is in several heaps at once. The constants name the heaps and index
// the attempt's positions in them.
const (
	heapOrder    = iota // dispatch order while queued, expiry while running
	heapReverse         // reverse dispatch order while queued
	heapDeadline        // deadline while queued
	heapYield           // end of yielding while queued
	heapCount
)

// attemptHeap is a heap of attempts that supports removal from the middle.
type attemptHeap struct {
	attempts []*pendingAttempt
	heapID   int
	less     func(a, b *pendingAttempt) bool
}

func (h *attemptHeap) Len() int           { return len(h.attempts) }
func (h *attemptHeap) Less(i, j int) bool { return h.less(h.attempts[i], h.attempts[j]) }
func (h *attemptHeap) Swap(i, j int) {
	h.attempts[i], h.attempts[j] = h.attempts[j], h.attempts[i]
	h.attempts[i].heapIndex[h.heapID] = i
	h.attempts[j].heapIndex[h.heapID] = j
}

// Push implements heap.Interface.
func (h *attemptHeap) Push(x any) {
	a := x.(*pendingAttempt)
	a.heapIndex[h.heapID] = len(h.attempts)
	h.attempts = append(h.attempts, a)
}

// Pop implements heap.Interface.
func (h *attemptHeap) Pop() any {
	n := len(h.attempts) - 1
	a := h.attempts[n]
	h.attempts[n] = nil
	h.attempts = h.attempts[:n]
	return a
}

func (h *attemptHeap) add(a *pendingAttempt)    { heap.Push(h, a) }
func (h *attemptHeap) remove(a *pendingAttempt) { heap.Remove(h, a.heapIndex[h.heapID]) }
func (h *attemptHeap) fix(a *pendingAttempt)    { heap.Fix(h, a.heapIndex[h.heapID]) }
func (h *attemptHeap) top() *pendingAttempt     { return h.attempts[0] }

func servedBefore(a, b *pendingAttempt) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	if a.req.Deadline != b.req.Deadline {
		return a.req.Deadline < b.req.Deadline
	}
	return a.seq < b.seq
}

func servedAfter(a, b *pendingAttempt) bool { return servedBefore(b, a) }

func yieldEndsBefore(a, b *pendingAttempt) bool {
	if a.yieldUntil != b.yieldUntil {
		return a.yieldUntil < b.yieldUntil
	}
	return servedBefore(a, b)
}

func deadlineBefore(a, b *pendingAttempt) bool { return a.req.Deadline < b.req.Deadline }

func expiresBefore(a, b *pendingAttempt) bool { return a.expiresAt < b.expiresAt }
