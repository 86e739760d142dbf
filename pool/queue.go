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
	turn       clock.Millis // from then on it no longer gives way to higher priorities
	dispatched clock.Millis
	ends       clock.Millis // when a running attempt is given up or its slot is freed
	running    bool
	returned   bool
	aborted    bool
	abortedAt  clock.Millis
	index      [slotCount]int
}

// yieldShare is the part of its remaining time, as a divisor, for which an
// attempt gives way to higher priorities of its rank. Without a bound the lowest
// priorities wait until their deadline while the connections are fully used,
// and their queries end partial.
const yieldShare = 4

func turnOf(now clock.Millis, req attempt.Request) clock.Millis {
	return now + max(req.Deadline-now, 0)/yieldShare
}

// rankQueue holds the waiting attempts of one rank.
type rankQueue struct {
	order itemHeap
	worst itemHeap
	due   itemHeap
	turn  itemHeap
}

func newRankQueue() rankQueue {
	return rankQueue{
		order: itemHeap{slot: slotOrder, less: servedBefore},
		worst: itemHeap{slot: slotWorst, less: servedAfter},
		due:   itemHeap{slot: slotDue, less: dueBefore},
		turn:  itemHeap{slot: slotTurn, less: turnBefore},
	}
}

func (q *rankQueue) len() int { return q.order.Len() }

func (q *rankQueue) add(it *item) {
	q.order.add(it)
	q.worst.add(it)
	q.due.add(it)
	q.turn.add(it)
}

func (q *rankQueue) remove(it *item) {
	q.order.remove(it)
	q.worst.remove(it)
	q.due.remove(it)
	q.turn.remove(it)
}

// next returns the attempt to serve next: the one of the highest priority, but
// first those that have given way for long enough.
func (q *rankQueue) next(now clock.Millis) *item {
	if it := q.turn.top(); it.turn <= now {
		return it
	}
	return q.order.top()
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
func (q *queue) take(now clock.Millis, shares *rank.Table[float64]) *item {
	chosen := q.choose()
	for _, r := range rank.All() {
		if q.ranks.Ref(r).len() > 0 {
			q.credit.Set(r, min(q.credit.At(r)+shares.At(r), maxCredit))
		}
	}
	q.credit.Set(chosen, max(q.credit.At(chosen)-1, 0))
	it := q.ranks.Ref(chosen).next(now)
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
