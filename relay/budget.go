package relay

import "lentillink.example/lentillink/clock"

const (
	// bucketMs is the resolution of the budget's window.
	bucketMs clock.Millis = 500

	// budgetShare is the part of the fleet's ratio that one VM spends by itself.
	// The rest covers arrivals that this VM does not count, such as a request
	// that was lost on its way and sent again.
	budgetShare = 0.85

	// hedgeShare is the part of the budget that hedges may use; the rest is left
	// to retries, which save an answer for certain.
	hedgeShare = 0.8
)

// budget bounds the extra attempts of one service on this VM over a sliding
// window. Its bound is proportional to the VM's own requests, so the sum over
// any number of VMs, evenly loaded or not, stays within the fleet's ratio.
type budget struct {
	bound   BudgetMsg
	buckets []bucket
}

type bucket struct {
	slot   clock.Millis // time divided by bucketMs
	needed int
	extra  int
}

func newBudget(bound BudgetMsg) budget {
	return budget{bound: bound, buckets: make([]bucket, bound.WindowMs/bucketMs+1)}
}

// setBound changes the bound. What was spent is forgotten only if the window changes.
func (b *budget) setBound(bound BudgetMsg) {
	if bound.WindowMs != b.bound.WindowMs {
		*b = newBudget(bound)
	}
	b.bound = bound
}

func (b *budget) at(now clock.Millis) *bucket {
	slot := now / bucketMs
	k := &b.buckets[int(slot)%len(b.buckets)]
	if k.slot != slot {
		*k = bucket{slot: slot}
	}
	return k
}

// need counts a request for the service.
func (b *budget) need(now clock.Millis) { b.at(now).needed++ }

// spend counts an attempt beyond the first one.
func (b *budget) spend(now clock.Millis) { b.at(now).extra++ }

// left returns how many extra attempts share of the budget still allows.
func (b *budget) left(now clock.Millis, vms int, share float64) float64 {
	oldest := now/bucketMs - clock.Millis(len(b.buckets)) + 1
	needed, extra := 0, 0
	for _, k := range b.buckets {
		if k.slot >= oldest {
			needed += k.needed
			extra += k.extra
		}
	}
	bound := b.bound.Ratio*float64(needed) + b.bound.Extra/float64(max(vms, 1))
	return share*budgetShare*bound - float64(extra)
}
