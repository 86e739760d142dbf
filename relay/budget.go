package relay

import "lentillink.example/lentillink/clock"

const (
	// bucketMs is the length of one bucket of the budget's sliding window.
	bucketMs clock.Millis = 500

	// localBudgetShare is the share of the fleet's ratio that one VM uses for its own
	// extra attempts. The rest covers arrivals that this VM does not count, such as a
	// request that was lost in transit and sent again.
	localBudgetShare = 0.85

	// hedgeBudgetShare is the share of the budget that hedges may use. The rest is
	// reserved for retries, each of which prevents a failed answer.
	hedgeBudgetShare = 0.8
)

// budget limits the extra attempts of one service on this VM over a sliding
// window. The limit is proportional to the VM's own requests, so the sum over
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

// setLimit changes the limit. The counts are reset only if the window length changes.
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

// countRequest counts one request for the service.
func (b *budget) countRequest(now clock.Millis) { b.bucketAt(now).requests++ }

// spend counts one attempt beyond the first one.
func (b *budget) spend(now clock.Millis) { b.bucketAt(now).extra++ }

// remaining returns how many more extra attempts fit into the given share of the
// budget.
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
