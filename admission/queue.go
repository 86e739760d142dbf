package admission

import (
	"container/heap"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// query is one queued or running query.
type query struct {
	id        string
	rank      rank.Rank
	service   *service
	cost      int
	deadline  clock.Millis // as requested; 0 means the default of the preset
	dueAt     clock.Millis // effective deadline at the time of queueing
	arrivedAt clock.Millis
	startedAt clock.Millis
	running   bool

	older, newer *query
	heapIndex    int // position in queue.byDeadline
}

// queue holds the queued queries of one rank, linked by age and indexed by deadline.
type queue struct {
	oldest, newest *query
	byDeadline     deadlineHeap
}

func (q *queue) len() int { return len(q.byDeadline) }

func (q *queue) earliest() *query { return q.byDeadline[0] }

// next returns the query to start next. That is the oldest, or the newest once the
// oldest has waited for half the time before it must start. Under overload the
// oldest queries would finish too late, and starting them first would make all the
// others late as well. The patient rank always starts the oldest.
func (q *queue) next(now, requiredTime clock.Millis) *query {
	o := q.oldest
	if o.rank != rank.Patient && 2*(now-o.arrivedAt) > o.dueAt-requiredTime-o.arrivedAt {
		return q.newest
	}
	return o
}

func (q *queue) add(x *query) {
	x.older = q.newest
	if q.newest != nil {
		q.newest.newer = x
	} else {
		q.oldest = x
	}
	q.newest = x
	heap.Push(&q.byDeadline, x)
}

func (q *queue) remove(x *query) {
	if x.older != nil {
		x.older.newer = x.newer
	} else {
		q.oldest = x.newer
	}
	if x.newer != nil {
		x.newer.older = x.older
	} else {
		q.newest = x.older
	}
	x.older, x.newer = nil, nil
	heap.Remove(&q.byDeadline, x.heapIndex)
}

type deadlineHeap []*query

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	q := x.(*query)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
