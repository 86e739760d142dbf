package pool

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// pendingAttempt is an attempt that is queued or running.
type pendingAttempt struct {
	req          attempt.Request
	from         string
	upstream     *upstreamState
	seq          uint64
	enqueuedAt   clock.Millis
	yieldUntil   clock.Millis // end of yielding to higher priorities of its rank
	dispatchedAt clock.Millis
	expiresAt    clock.Millis // when a running attempt is timed out or its connection released
	running      bool
	resultSent   bool
	aborted      bool
	abortedAt    clock.Millis
	heapIndex    [heapCount]int
}

// yieldDivisor bounds the time for which an attempt yields to higher priorities
// of its rank to this part of its remaining time. Without a bound the lowest
// priorities would be queued until their deadline while all connections are
// busy, and the answers of their queries would be partial.
const yieldDivisor = 4

func yieldEnd(now clock.Millis, req attempt.Request) clock.Millis {
	return now + max(req.Deadline-now, 0)/yieldDivisor
}

// rankQueue holds the queued attempts of one rank.
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

// next returns the attempt to dispatch next: one whose time of yielding has ended,
// or else the one of the highest priority.
func (q *rankQueue) next(now clock.Millis) *pendingAttempt {
	if a := q.byYieldEnd.top(); a.yieldUntil <= now {
		return a
	}
	return q.order.top()
}

// maxCredit limits the credit of a rank, in dispatches.
const maxCredit = 2

// queue holds the queued attempts of one upstream. While a rank has queued
// attempts, each dispatch adds the rank's share to its credit. A credit of 1 or
// more gives it precedence over more urgent ranks, and its dispatch costs 1.
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

// takeNext removes and returns the attempt to dispatch next. The queue must not be
// empty.
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
	mostUrgent := rank.Rank(rank.Count)
	for _, r := range rank.All() {
		if q.ranks.Ref(r).len() == 0 {
			continue
		}
		if q.credit.At(r) >= 1 {
			return r
		}
		if mostUrgent == rank.Count {
			mostUrgent = r
		}
	}
	return mostUrgent
}

// earliestDeadline returns the queued attempt with the earliest deadline, or nil.
func (q *queue) earliestDeadline() *pendingAttempt {
	var earliest *pendingAttempt
	for _, r := range rank.All() {
		byDeadline := &q.ranks.Ref(r).byDeadline
		if byDeadline.Len() > 0 && (earliest == nil || deadlineBefore(byDeadline.top(), earliest)) {
			earliest = byDeadline.top()
		}
	}
	return earliest
}
