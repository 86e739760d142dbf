package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// pendingAttempt is one attempt that has not left the pool.
type pendingAttempt struct {
	req          attempt.Request
	from         string
	upstream     *upstreamState
	seq          uint64
	enqueuedAt   clock.Millis
	yieldUntil   clock.Millis // from then on it no longer gives way to higher priorities
	dispatchedAt clock.Millis
	expiresAt    clock.Millis // when a running attempt is given up or its slot is freed
	running      bool
	resultSent   bool
	aborted      bool
	abortedAt    clock.Millis
	heapIndex    [heapCount]int
}

// yieldDivisor is the part of its remaining time, as a divisor, for which an
// attempt gives way to higher priorities of its rank. Without a bound the lowest
// priorities wait until their deadline while the connections are fully used,
// and their queries end partial.
const yieldDivisor = 4

func yieldEnd(now clock.Millis, req attempt.Request) clock.Millis {
	return now + max(req.Deadline-now, 0)/yieldDivisor
}

// rankQueue holds the waiting attempts of one rank.
type rankQueue struct {
	order      attemptHeap
	reverse    attemptHeap
	byDeadline attemptHeap
	byYieldEnd attemptHeap
}

func newRankQueue() rankQueue {
	return rankQueue{
		order:      attemptHeap{heapID: heapOrder, less: servedBefore},
		reverse:    attemptHeap{heapID: heapReverse, less: servedAfter},
		byDeadline: attemptHeap{heapID: heapDeadline, less: deadlineBefore},
		byYieldEnd: attemptHeap{heapID: heapYield, less: yieldEndsBefore},
	}
}

func (q *rankQueue) len() int { return q.order.Len() }

func (q *rankQueue) add(a *pendingAttempt) {
	q.order.add(a)
	q.reverse.add(a)
	q.byDeadline.add(a)
	q.byYieldEnd.add(a)
}

func (q *rankQueue) remove(a *pendingAttempt) {
	q.order.remove(a)
	q.reverse.remove(a)
	q.byDeadline.remove(a)
	q.byYieldEnd.remove(a)
}

// next returns the attempt to serve next: the one of the highest priority, but
// first those that have given way for long enough.
func (q *rankQueue) next(now clock.Millis) *pendingAttempt {
	if a := q.byYieldEnd.top(); a.yieldUntil <= now {
		return a
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

func (q *queue) add(a *pendingAttempt) {
	q.ranks.Ref(a.req.Rank).add(a)
	q.size++
}

func (q *queue) remove(a *pendingAttempt) {
	r := a.req.Rank
	q.ranks.Ref(r).remove(a)
	q.size--
	if q.ranks.Ref(r).len() == 0 {
		q.credit.Set(r, 0)
	}
}

// takeNext removes the attempt to dispatch next. The queue must not be empty.
func (q *queue) takeNext(now clock.Millis, shares *rank.Table[float64]) *pendingAttempt {
	chosen := q.nextRank()
	for _, r := range rank.All() {
		if q.ranks.Ref(r).len() > 0 {
			q.credit.Set(r, min(q.credit.At(r)+shares.At(r), maxCredit))
		}
	}
	q.credit.Set(chosen, max(q.credit.At(chosen)-1, 0))
	a := q.ranks.Ref(chosen).next(now)
	q.remove(a)
	return a
}

func (q *queue) nextRank() rank.Rank {
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

// earliestDeadline returns the waiting attempt with the earliest deadline, or nil.
func (q *queue) earliestDeadline() *pendingAttempt {
	var earliest *pendingAttempt
	for _, r := range rank.All() {
		due := &q.ranks.Ref(r).byDeadline
		if due.Len() > 0 && (earliest == nil || deadlineBefore(due.top(), earliest)) {
			earliest = due.top()
		}
	}
	return earliest
}
