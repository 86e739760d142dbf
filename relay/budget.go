package relay

import "lentillink.example/lentillink/clock"

const (
	// bucketMs is the resolution of the budget's window.
	bucketMs clock.Millis = 500

	// localBudgetShare is the part of the fleet's ratio that one VM spends by itself.
	// The rest covers arrivals that this VM does not count, such as a request
	// that was lost on its way and sent again.
	localBudgetShare = 0.85

	// hedgeBudgetShare is the part of the budget that hedges may use; the rest is left
	// to retries, which save an answer for certain.
	hedgeBudgetShare = 0.8
)

// budget bounds the extra attempts of one service on this VM over a sliding
// window. Its bound is proportional to the VM's own requests, so the sum over
// any number of VMs, evenly loaded or not, stays within the fleet's ratio.
type budget struct {
	limit   BudgetMsg
	buckets []bucket
}

type bucket struct {
	slot     clock.Millis // time divided by bucketMs
	requests int
	extra    int
}

func newBudget(limit BudgetMsg) budget {
	return budget{limit: limit, buckets: make([]bucket, limit.WindowMs/bucketMs+1)}
}

// setLimit changes the bound. What was spent is forgotten only if the window changes.
func (b *budget) setLimit(limit BudgetMsg) {
	if limit.WindowMs != b.limit.WindowMs {
		*b = newBudget(limit)
	}
	b.limit = limit
}

func (b *budget) bucketAt(now clock.Millis) *bucket {
	slot := now / bucketMs
	k := &b.buckets[int(slot)%len(b.buckets)]
	if k.slot != slot {
		*k = bucket{slot: slot}
	}
	return k
}

// countRequest counts a request for the service.
func (b *budget) countRequest(now clock.Millis) { b.bucketAt(now).requests++ }

// spend counts an attempt beyond the first one.
func (b *budget) spend(now clock.Millis) { b.bucketAt(now).extra++ }

// remaining returns how many extra attempts share of the budget still allows.
func (b *budget) remaining(now clock.Millis, vmCount int, share float64) float64 {
	oldest := now/bucketMs - clock.Millis(len(b.buckets)) + 1
	requests, extra := 0, 0
	for _, k := range b.buckets {
		if k.slot >= oldest {
			requests += k.requests
			extra += k.extra
		}
	}
	limit := b.limit.Ratio*float64(requests) + b.limit.Extra/float64(max(vmCount, 1))
	return share*localBudgetShare*limit - float64(extra)
}
