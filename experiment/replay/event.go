package replay

import "lentillink.example/lentillink/clock"

type event struct {
	at       clock.Millis
	seq      int
	callback func()
}

type events []event

// Len implements heap.Interface.
func (h events) Len() int { return len(h) }

// Less implements heap.Interface.
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
