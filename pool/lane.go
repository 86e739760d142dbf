package pool

import (
	"math"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quantile"
)

// never is later than every time at which something is due.
const never = clock.Millis(math.MaxInt64)

const (
	// serviceQuantile is low, so that only work which almost surely misses its
	// deadline is dropped.
	serviceQuantile = 0.1

	// recoverMs is the time after which a shrunken limit grows by one connection.
	recoverMs = clock.Second

	// backoffAfter is the number of successive refused connections that start a
	// backoff. A single one usually means that the upstream is at its limit.
	backoffAfter               = 2
	minBackoffMs  clock.Millis = 50
	maxBackoffMs  clock.Millis = 2 * clock.Second
	maxBackoffExp              = 6
)

// lane is the state of one upstream.
type lane struct {
	id         string
	limit      int // as set by LimitMsg
	effective  int // at most limit; shrunk by refused connections
	recoverAt  clock.Millis
	leaving    bool
	failures   int // successive refused connections
	backoffs   int // successive backoffs
	closedTill clock.Millis
	queue      queue
	running    itemHeap
	conns      connections
	service    quantile.Window
	wake       clock.Millis // when something is due next
}

func newLane(id string) *lane {
	return &lane{
		id: id, queue: newQueue(),
		running: itemHeap{slot: slotOrder, less: endsBefore},
		service: quantile.NewWindow(serviceQuantile),
		wake:    never,
	}
}

// setLimit changes the configured limit. A shrunken effective limit does not
// jump back up, because the upstream refused connections above it.
func (l *lane) setLimit(n int) {
	n = max(n, 0)
	if l.effective < l.limit {
		l.effective = min(l.effective, n)
	} else {
		l.effective = n
	}
	l.limit = n
}

// refused shrinks the limit to what the upstream has just accepted.
func (l *lane) refused(now clock.Millis) {
	l.effective = min(l.effective, max(l.conns.busy, 1))
	l.recoverAt = now + recoverMs
	l.failures++
	if l.failures < backoffAfter || l.conns.busy > 0 {
		return
	}
	l.closedTill = now + min(minBackoffMs<<l.backoffs, maxBackoffMs)
	l.backoffs = min(l.backoffs+1, maxBackoffExp)
}

func (l *lane) recover(now clock.Millis) {
	for l.effective < l.limit && now >= l.recoverAt {
		l.effective++
		l.recoverAt += recoverMs
	}
}

// room reports whether an attempt may be dispatched. After a backoff a single
// attempt probes the upstream.
func (l *lane) room(now clock.Millis) bool {
	if l.closed(now) {
		return false
	}
	most := l.effective
	if l.failures >= backoffAfter {
		most = min(most, 1)
	}
	return l.conns.busy < most
}

func (l *lane) closed(now clock.Millis) bool { return now < l.closedTill }

// hopeless reports whether the attempt can no longer finish by its deadline.
func (l *lane) hopeless(now clock.Millis, it *item) bool {
	left := it.req.Deadline - now
	return left <= 0 || left < l.service.Estimate(now)
}

// refusal returns the status of work that the upstream cannot take now.
func (l *lane) refusal(now clock.Millis) (attempt.Status, bool) {
	switch {
	case l.leaving:
		return attempt.Leaving, true
	case l.limit == 0:
		return attempt.NotSent, true
	case l.closed(now):
		return attempt.ConnRefused, true
	}
	return attempt.OK, false
}

// drainMs estimates how long the queue takes, so that work that was shed does
// not come back before there is room for it.
func (l *lane) drainMs(now clock.Millis) clock.Millis {
	return clock.Millis(l.queue.size) * l.service.Estimate(now) / clock.Millis(max(l.effective, 1))
}

// due returns when the lane has to be pumped next if no message comes before.
func (l *lane) due(now, idleMs clock.Millis) clock.Millis {
	at := never
	if it := l.queue.earliest(); it != nil {
		at = min(at, it.req.Deadline, it.req.Deadline-l.service.Estimate(now)+1)
		if l.effective < l.limit {
			at = min(at, l.recoverAt)
		}
	}
	if l.running.Len() > 0 {
		at = min(at, l.running.top().ends)
	}
	if len(l.conns.idle) > 0 {
		at = min(at, l.conns.idle[0]+idleMs)
	}
	return at
}

// keep is the number of connections that may stay open.
func (l *lane) keep() int {
	if l.leaving {
		return 0
	}
	return l.effective
}
