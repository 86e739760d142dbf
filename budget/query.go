package budget

import "lentillink.example/lentillink/clock"

// Remaining returns how many more extra attempts fit into a share of the limit, of whose
// fixed allowance this VM has a part.
func (w *Window) Remaining(now clock.Millis, part, share float64) float64 {
	requests, extra := w.counts(now)
	return share*localShare*w.allowed(requests, part) - float64(extra)
}

// RemainingOfRatio is Remaining for a limit that holds on this VM alone, all of which it
// may use.
func (w *Window) RemainingOfRatio(now clock.Millis) float64 {
	requests, extra := w.counts(now)
	return w.allowed(requests, 1) - float64(extra)
}

func (w *Window) allowed(requests int, part float64) float64 {
	return w.limit.Ratio*float64(requests) + w.limit.Extra*part
}

// counts returns the requests and extra attempts in the window that ends now.
func (w *Window) counts(now clock.Millis) (requests, extra int) {
	oldest := now/bucketMs - clock.Millis(len(w.buckets)) + 1
	for _, k := range w.buckets {
		if k.slot >= oldest {
			requests += k.requests
			extra += k.extra
		}
	}
	return requests, extra
}
