package relay

import "lentillink.example/lentillink/clock"

// maxRelativeSlowness bounds by how much the work of a sample is corrected for the speed of
// its upstream.
const maxRelativeSlowness = maxSlowRatio

// startNext records that the oldest attempts at u have begun to run: as far as this VM sees,
// its upstream runs them in the order in which they were sent.
func (u *upstream) startNext(now clock.Millis) {
	n := len(u.open)
	if slots := u.info.Slots; slots > 0 {
		n = min(n, slots)
	}
	for i := n - 1; i >= 0 && u.open[i].startedAt == 0; i-- {
		u.open[i].startedAt = now
	}
}

// ranMs returns how long an attempt has run, without its time in the queue of its upstream
// as far as this VM knows it.
func (a *attempt) ranMs(now clock.Millis) clock.Millis {
	if a.startedAt == 0 {
		return now - a.sentAt
	}
	return now - a.startedAt
}

// learn records the latency of a reply for the estimates, and returns it as a multiple of
// the expected one.
func (m *Model) learn(now clock.Millis, a *attempt) float64 {
	r := a.subrequest.req
	ran := now - a.sentAt
	if r.hasCostKeys && m.byCost() {
		ran = a.ranMs(now)
		m.learnWork(now, a, ran)
	}
	ratio := float64(max(ran, 1)) / m.typicalMs(r)
	if r.cost.Known() && float64(ran) <= r.cost.HighMs() {
		ratio = min(ratio, usualRatio) // the request was dear, and its upstream is not slow
	}
	return ratio
}

// usualRatio is the largest latency ratio that is not that of a slow reply.
const usualRatio = 0.99 * slowThreshold

// learnCut records an attempt that was cancelled after more than its expected time, so that
// requests that are too dear to end do not look cheap.
func (m *Model) learnCut(now clock.Millis, a *attempt) {
	r := a.subrequest.req
	if ran := a.ranMs(now); r.hasCostKeys && m.byCost() && float64(ran) > m.meanMs(r) {
		m.learnWork(now, a, ran)
	}
}

func (m *Model) learnWork(now clock.Millis, a *attempt, ran clock.Millis) {
	r := a.subrequest.req
	workMs := max(float64(ran), 0.5) / a.upstream.relativeSlowness()
	m.costs.stats.CountSample(&r.cost, workMs)
	m.costs.estimator.Add(now, &r.costKeys, workMs)
}

// relativeSlowness returns the latency at u as a multiple of that of the upstreams of its
// service which are not slow. If all are, it is the requests that take longer.
func (u *upstream) relativeSlowness() float64 {
	var usual, all float64
	n := 0
	for _, o := range u.service.upstreams {
		if o.slowAvoidMs < confirmedSlowAvoidMs {
			usual += o.latencyRatio
			n++
		}
		all += o.lastRatio()
	}
	if n == 0 {
		usual, n = all, len(u.service.upstreams)
	}
	if usual <= 0 {
		return 1
	}
	return min(max(u.lastRatio()*float64(n)/usual, 1.0/maxRelativeSlowness), maxRelativeSlowness)
}

// lastRatio returns the latency ratio of an upstream, that of its last reply if several were slow.
func (u *upstream) lastRatio() float64 {
	if u.slowAvoidMs >= confirmedSlowAvoidMs {
		return u.slowRatio
	}
	return u.latencyRatio
}
