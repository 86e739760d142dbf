package budget

import "lentillink.example/lentillink/clock"

const (
	// bucketMs is the length of one bucket of a sliding window.
	bucketMs clock.Millis = 500

	// localShare is the share of the fleet's ratio that one VM uses for its own extra
	// attempts. The rest covers arrivals that this VM does not count, such as a request
	// that was lost in transit and sent again.
	localShare = 0.85
)

// Limit bounds the extra attempts of a service in any window, over all VMs: Ratio of its
// requests, plus Extra.
type Limit struct {
	Ratio    float64
	Extra    float64
	WindowMs clock.Millis
}

// Window counts the requests and extra attempts of one service on one VM over a sliding
// window. The limit is proportional to the VM's own requests, so the sum over any number
// of VMs, evenly loaded or not, stays within the fleet's ratio.
type Window struct {
	limit   Limit
	buckets []bucket
}

type bucket struct {
	slot     clock.Millis // time divided by bucketMs
	requests int
	extra    int
}

// New returns an empty window.
func New(limit Limit) Window {
	return Window{limit: limit, buckets: make([]bucket, limit.WindowMs/bucketMs+1)}
}

// SetLimit changes the limit. The counts are reset only if the window length changes.
func (w *Window) SetLimit(limit Limit) {
	if limit.WindowMs != w.limit.WindowMs {
		*w = New(limit)
	}
	w.limit = limit
}

func (w *Window) bucketAt(now clock.Millis) *bucket {
	slot := now / bucketMs
	k := &w.buckets[int(slot)%len(w.buckets)]
	if k.slot != slot {
		*k = bucket{slot: slot}
	}
	return k
}

// CountRequest counts one request for the service.
func (w *Window) CountRequest(now clock.Millis) { w.bucketAt(now).requests++ }

// Spend counts one attempt beyond the first one.
func (w *Window) Spend(now clock.Millis) { w.bucketAt(now).extra++ }
