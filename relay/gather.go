package relay

import (
	"bytes"
	"container/heap"
)

// recordBytes is the length of a record. A shorter remainder is ignored.
const recordBytes = 16

// mergeReplies merges the replies received here with the results of the carriers.
func mergeReplies(r *request) Answer {
	a := Answer{Outcome: Gathered, Missing: r.totalSubrequests - r.succeeded}
	bodies := make([][]byte, 0, r.succeeded)
	for _, sub := range r.subrequests {
		if sub.reply != nil {
			a.Receipts = append(a.Receipts, sub.reply.Receipt)
			bodies = append(bodies, sub.reply.Body)
		}
	}
	for _, d := range r.delegations {
		a.Receipts = append(a.Receipts, d.result.Receipts...)
		bodies = append(bodies, d.result.Body)
	}
	a.Body = TopRecords(r.route.TopK, bodies)
	return a
}

// TopRecords returns the n greatest records of all bodies in descending order.
// Duplicates are kept.
func TopRecords(n int, bodies [][]byte) []byte {
	records := 0
	for _, b := range bodies {
		records += len(b) / recordBytes
	}
	n = max(min(n, records), 0)
	kept := make(recordHeap, 0, n)
	for _, b := range bodies {
		for ; len(b) >= recordBytes; b = b[recordBytes:] {
			rec := b[:recordBytes]
			switch {
			case len(kept) < n:
				heap.Push(&kept, rec)
			case n > 0 && bytes.Compare(rec, kept[0]) > 0:
				kept[0] = rec
				heap.Fix(&kept, 0)
			}
		}
	}
	out := make([]byte, len(kept)*recordBytes)
	for i := len(kept) - 1; i >= 0; i-- {
		copy(out[i*recordBytes:], heap.Pop(&kept).([]byte))
	}
	return out
}

// recordHeap is a min-heap of records.
type recordHeap [][]byte

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
