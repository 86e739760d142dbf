package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// item is one attempt that has not left the pool.
type item struct {
	req        attempt.Request
	from       string
	lane       *lane
	seq        uint64
	enqueued   clock.Millis
	dispatched clock.Millis
	ends       clock.Millis // when a running attempt is given up or its slot is freed
	running    bool
	returned   bool
	aborted    bool
	abortedAt  clock.Millis
	index      [slotCount]int
}

// rankQueue holds the waiting attempts of one rank.
type rankQueue struct {
	order itemHeap
	worst itemHeap
	due   itemHeap
}

func newRankQueue() rankQueue {
	return rankQueue{
		order: itemHeap{slot: slotOrder, less: servedBefore},
		worst: itemHeap{slot: slotWorst, less: servedAfter},
		due:   itemHeap{slot: slotDue, less: dueBefore},
	}
}

func (q *rankQueue) len() int { return q.order.Len() }

func (q *rankQueue) add(it *item) {
	q.order.add(it)
	q.worst.add(it)
	q.due.add(it)
}

func (q *rankQueue) remove(it *item) {
	q.order.remove(it)
	q.worst.remove(it)
	q.due.remove(it)
}

// maxCredit bounds the dispatches that a rank can save up.
const maxCredit = 2

// queue holds the waiting attempts of one upstream. A rank earns credit for
// each dispatch while it waits; a whole credit puts it before more urgent ranks.
type queue struct {
	ranks  rank.Table[rankQueue]
	credit rank.Table[float64]
	size   int
}

func newQueue() queue {
	return queue{ranks: rank.NewTable(newRankQueue(), newRankQueue(), newRankQueue())}
}

func (q *queue) add(it *item) {
	q.ranks.Ref(it.req.Rank).add(it)
	q.size++
}

func (q *queue) remove(it *item) {
	r := it.req.Rank
	q.ranks.Ref(r).remove(it)
	q.size--
	if q.ranks.Ref(r).len() == 0 {
		q.credit.Set(r, 0)
	}
}

// take removes the attempt to dispatch next. The queue must not be empty.
func (q *queue) take(shares *rank.Table[float64]) *item {
	chosen := q.choose()
	for _, r := range rank.All() {
		if q.ranks.Ref(r).len() > 0 {
			q.credit.Set(r, min(q.credit.At(r)+shares.At(r), maxCredit))
		}
	}
	q.credit.Set(chosen, max(q.credit.At(chosen)-1, 0))
	it := q.ranks.Ref(chosen).order.top()
	q.remove(it)
	return it
}

func (q *queue) choose() rank.Rank {
	first := rank.Rank(rank.Count)
	for _, r := range rank.All() {
		if q.ranks.Ref(r).len() == 0 {
			continue
		}
		if q.credit.At(r) >= 1 {
			return r
		}
		if first == rank.Count {
			first = r
		}
	}
	return first
}

// earliest returns the waiting attempt with the earliest deadline, or nil.
func (q *queue) earliest() *item {
	var found *item
	for _, r := range rank.All() {
		due := &q.ranks.Ref(r).due
		if due.Len() > 0 && (found == nil || dueBefore(due.top(), found)) {
			found = due.top()
		}
	}
	return found
}
