package quota

import (
	"math"

	"lentillink.example/lentillink/clock"
)

// maxRetryAfterMs bounds the time that refused requests are given.
const maxRetryAfterMs = 30 * clock.Second

// bucket is the main credit of one customer, at the owner.
type bucket struct {
	limit     Limit
	level     float64
	at        clock.Millis // of the level
	warmUntil clock.Millis // what an earlier owner has granted is not known before this time
	nextRetry clock.Millis // time to give to the next refused request
}

// newBucket returns the bucket of a customer that was empty at the latest at emptyAt.
func newBucket(now clock.Millis, l Limit, emptyAt clock.Millis) *bucket {
	b := &bucket{limit: l, at: emptyAt, warmUntil: emptyAt + l.fillMs(l.capacity())}
	b.refill(now)
	return b
}

func (b *bucket) refill(now clock.Millis) {
	if now > b.at {
		b.level = min(b.level+b.limit.Rate*(now-b.at).Duration().Seconds(), b.limit.capacity())
		b.at = now
	}
}

// setLimit applies the limit of a newer version. A larger burst is there at once.
func (b *bucket) setLimit(now clock.Millis, l Limit) {
	if l.Version <= b.limit.Version {
		return
	}
	b.refill(now)
	b.level = min(b.level+max(l.capacity()-b.limit.capacity(), 0), l.capacity())
	b.limit = l
}

func (b *bucket) add(n int) { b.level = min(b.level+float64(n), b.limit.capacity()) }

// grant takes credit for the requests that wait, and credit ahead from what exceeds half of
// the bucket: more would lie unused on one VM while another one needs it.
func (b *bucket) grant(now clock.Millis, e AskEntry, bounds Bounds) GrantEntry {
	b.refill(now)
	out := GrantEntry{Customer: b.limit.Customer, Source: SourceOwner, ValidMs: bounds.validity(b.limit)}
	out.Credits = min(e.Want, int(b.level))
	b.level -= float64(out.Credits)
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
		b.level -= ahead
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
	return b.level >= b.limit.capacity() && now >= b.warmUntil
}
