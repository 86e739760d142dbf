package relay

import "lentillink.example/lentillink/clock"

// workClass is a class of requests that wait equally long at a carrier.
type workClass struct {
	route    string
	priority priority
	customer string // empty if none
}

// estimate is the latency that a carrier estimates for a request of one class.
type estimate struct {
	ms clock.Millis
	at clock.Millis
}

const (
	// estimateMaxAgeMs is the age from which an estimate is stale.
	estimateMaxAgeMs clock.Millis = 300

	// maxEstimates bounds the classes with an estimate, for each carrier.
	maxEstimates = 128
)

// setEstimate stores the latency that a carrier estimates for a request like r.
func (c *peerVM) setEstimate(now clock.Millis, r *request, ms clock.Millis) {
	c.estimates.set(workClass{r.route.Name, r.priority, r.customer}, estimate{ms: ms, at: now})
}

// estimateFor returns the estimated latency of a request like r at a carrier from now.
// Since the estimate, the carrier's queue has become shorter by at most the elapsed time.
func (c *peerVM) estimateFor(now clock.Millis, r *request) clock.Millis {
	ms, _ := c.knownEstimate(now, r)
	return ms
}

// knownEstimate is estimateFor. It is not ok if there is no estimate, or a stale one.
func (c *peerVM) knownEstimate(now clock.Millis, r *request) (ms clock.Millis, ok bool) {
	class := workClass{r.route.Name, r.priority, r.customer}
	e, ok := c.estimates.entries[class]
	if age := now - e.at; ok && age < estimateMaxAgeMs {
		return max(e.ms-age, 0), true
	}
	return 0, false
}
