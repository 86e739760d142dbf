package quota

import (
	"math"

	"lentillink.example/lentillink/clock"
)

// maxRetryAfterMs bounds the time that refused requests are given.
const maxRetryAfterMs = 30 * clock.Second

// bucket is the main credit of one customer, at the owner.
//
// Over any series of limits, what it grants in a time stays within the Rate x t + Burst of the
// most generous limit that was in force in that time: each burst is granted once.
type bucket struct {
	limit     Limit
	level     float64
	used      float64      // granted and not refilled since, whatever the burst was meanwhile
	at        clock.Millis // of level and used
	emptyAt   clock.Millis // earlier owners may have granted everything until this time
	warmUntil clock.Millis // what an earlier owner has granted is not known before this time
	nextRetry clock.Millis // time to give to the next refused request
}

// newBucket returns the bucket of a customer that was empty at the latest at emptyAt.
func newBucket(now clock.Millis, l Limit, emptyAt clock.Millis) *bucket {
	b := &bucket{limit: l, used: l.capacity(), at: emptyAt, emptyAt: emptyAt, warmUntil: emptyAt + l.fillMs(l.capacity())}
	b.refill(now)
	return b
}

func (b *bucket) refill(now clock.Millis) {
	if now > b.at {
		refilled := b.limit.Rate * (now - b.at).Duration().Seconds()
		b.level = min(b.level+refilled, b.limit.capacity())
		b.used = max(b.used-refilled, 0)
		b.at = now
	}
}

// setLimit applies the limit of a newer version. A larger burst is there at once, without what
// has been used of it.
func (b *bucket) setLimit(now clock.Millis, l Limit) {
	if l.Version <= b.limit.Version {
		return
	}
	b.refill(now)
	// An earlier owner may have granted the whole burst, also if it was smaller when this one began.
	b.used = max(b.used, l.capacity()-l.Rate*(now-b.emptyAt).Duration().Seconds())
	if more := l.capacity() - b.limit.capacity(); more > 0 {
		b.level = max(b.level, min(b.level+more, l.capacity()-b.used))
	}
	b.level = min(b.level, l.capacity())
	b.limit = l
}

// take takes n requests out.
func (b *bucket) take(n int) {
	b.level -= float64(n)
	b.used += float64(n)
}

// add puts n requests back that were not used.
func (b *bucket) add(n int) {
	b.level = min(b.level+float64(n), b.limit.capacity())
	b.used = max(b.used-float64(n), 0)
}

// grant takes credit for the requests that wait, and credit ahead from what exceeds half of
// the bucket: more would lie unused on one VM while another one needs it.
func (b *bucket) grant(now clock.Millis, e AskEntry, bounds Bounds) GrantEntry {
	b.refill(now)
	out := GrantEntry{Customer: b.limit.Customer, Source: SourceOwner, ValidMs: bounds.validity(b.limit)}
	out.Credits = min(e.Want, int(b.level))
	b.take(out.Credits)
	if missing := e.Want - out.Credits; missing > 0 {
		if now < b.warmUntil {
			out.Source = SourceNone
			return out
		}
		out.EmptyMs = b.limit.fillMs(1 - b.level)
		out.RetryAfterMs = b.retryAfter(now, missing)
		return out
	}
	ahead := min(float64(e.Ahead), math.Floor(b.level-b.limit.capacity()/2))
	if ahead > 0 {
		out.Credits += int(ahead)
		b.take(int(ahead))
	}
	return out
}

// retryAfter returns when the first of n refused requests should come back. Each further
// one is given a time that is later by the time in which one request becomes available.
func (b *bucket) retryAfter(now clock.Millis, n int) clock.Millis {
	at := min(max(b.nextRetry, now+b.limit.fillMs(1-b.level)), now+maxRetryAfterMs)
	b.nextRetry = at + b.limit.fillMs(float64(n))
	return at - now
}

// full reports whether the bucket holds nothing that a new one would not.
func (b *bucket) full(now clock.Millis) bool {
	b.refill(now)
	return b.level >= b.limit.capacity() && b.used == 0 && now >= b.warmUntil
}
