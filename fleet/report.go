package fleet

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	reportTTL    clock.Millis = 10 * clock.Minute // an observer renews a report that still holds
	renewBefore  clock.Millis = 2 * clock.Minute
	ignoreBelow  clock.Millis = 5 * clock.Second // remaining time below which a report is no longer taken over
	maxTable                  = 16384            // more than the upstreams of the two-year size
	expiryEvery  clock.Millis = clock.Second
	maxAheadTime              = uint64(clock.Minute) // a version further ahead of the local clock is refused
)

// reporting keeps the newest report of each upstream.
type reporting struct {
	table  map[upstream.ID]Report
	digest uint32
	next   clock.Millis // next check for expiry
}

func (r *Report) supersedes(o *Report) bool {
	return cmp.Or(cmp.Compare(r.Version, o.Version), cmp.Compare(r.Reporter, o.Reporter)) > 0
}

func (r *Report) hash() uint32 {
	return uint32(mix(xxhash.Sum64String(string(r.Upstream)) ^ r.Version ^ xxhash.Sum64String(r.Reporter)))
}

// observe turns an observation of this VM into a report. One that agrees with
// the newest report is dropped, because every VM observes the same upstream.
func (m *Model) observe(now clock.Millis, msg UpstreamLeavingMsg) {
	old, ok := m.reports.table[msg.Upstream]
	if !ok && !msg.Leaving || msg.Upstream == "" || len(msg.Upstream) > maxNameBytes {
		return
	}
	if ok && old.Leaving == msg.Leaving && (now < old.ExpiresMs-renewBefore || !msg.Leaving) {
		return
	}
	m.putReport(now, Report{
		Upstream: msg.Upstream, Leaving: msg.Leaving, Version: max(uint64(now), old.Version+1),
		Reporter: m.self.ID, ExpiresMs: now + reportTTL,
	})
}

func (m *Model) mergeReport(now clock.Millis, w wireReport) {
	r := w.Report
	r.ExpiresMs = now + w.remaining
	old, ok := m.reports.table[r.Upstream]
	if w.remaining < ignoreBelow || r.Version > uint64(now)+maxAheadTime || ok && !r.supersedes(&old) {
		return
	}
	m.putReport(now, r)
}

func (m *Model) putReport(now clock.Millis, r Report) {
	old, ok := m.reports.table[r.Upstream]
	if !ok && len(m.reports.table) >= maxTable {
		return
	}
	if ok {
		m.reports.digest ^= old.hash()
	}
	m.reports.digest ^= r.hash()
	m.reports.table[r.Upstream] = r
	m.gossip.reports.push(string(r.Upstream))
	m.burst(now)
	if old.Leaving != r.Leaving {
		m.tellUpstream(r.Upstream, r.Leaving)
	}
}

func (m *Model) tellUpstream(id upstream.ID, leaving bool) {
	k := timeline.UpstreamBack
	if leaving {
		k = timeline.UpstreamLeaving
	}
	m.event(timeline.Event{Kind: k, Upstream: string(id)})
	m.emit(UpstreamLeavingCmd{Upstream: id, Leaving: leaving})
}

// expireReports forgets reports that no VM has renewed.
func (m *Model) expireReports(now clock.Millis) {
	if now < m.reports.next {
		return
	}
	m.reports.next = now + expiryEvery
	for _, r := range m.sortedReports() {
		if now < r.ExpiresMs {
			continue
		}
		delete(m.reports.table, r.Upstream)
		m.reports.digest ^= r.hash()
		if r.Leaving {
			m.tellUpstream(r.Upstream, false)
		}
	}
}

func (m *Model) outgoing(r Report) wireReport {
	return wireReport{Report: r, remaining: max(0, r.ExpiresMs-m.last)}
}

// someReports returns reports for repair, from a random start if there are too many.
func (m *Model) someReports() []wireReport {
	all := m.sortedReports()
	start := 0
	if len(all) > maxReports {
		start = m.rng.IntN(len(all))
	}
	list := make([]wireReport, 0, min(len(all), maxReports))
	for i := range min(len(all), maxReports) {
		list = append(list, m.outgoing(all[(start+i)%len(all)]))
	}
	return list
}
