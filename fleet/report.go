package fleet

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	reportTTL        clock.Millis = 10 * clock.Minute // observers renew a report while it still holds
	renewMargin      clock.Millis = 2 * clock.Minute
	minReportTTL     clock.Millis = 5 * clock.Second // a received report with less remaining time is ignored
	maxStoredReports              = 16384            // more than the number of upstreams planned for two years ahead
	expiryInterval   clock.Millis = clock.Second
	maxClockSkew                  = uint64(clock.Minute) // a version (a time in ms) further ahead of the local clock is rejected
)

// reportState holds the newest report of each upstream.
type reportState struct {
	byUpstream map[upstream.ID]Report
	digest     uint32
	nextExpiry clock.Millis // time of the next expiry check
}

func (r *Report) supersedes(o *Report) bool {
	return cmp.Or(cmp.Compare(r.Version, o.Version), cmp.Compare(r.Reporter, o.Reporter)) > 0
}

func (r *Report) hash() uint32 {
	return uint32(mix(xxhash.Sum64String(string(r.Upstream)) ^ r.Version ^ xxhash.Sum64String(r.Reporter)))
}

// observeUpstream creates a report from an observation of this VM. An observation
// that agrees with the newest report is dropped, unless that report is due for
// renewal, because every VM observes the same upstream.
func (m *Model) observeUpstream(now clock.Millis, msg UpstreamLeavingMsg) {
	old, ok := m.reports.byUpstream[msg.Upstream]
	if !ok && !msg.Leaving || msg.Upstream == "" || len(msg.Upstream) > maxNameBytes {
		return
	}
	if ok && old.Leaving == msg.Leaving && (now < old.ExpiresMs-renewMargin || !msg.Leaving) {
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
	old, ok := m.reports.byUpstream[r.Upstream]
	if w.remaining < minReportTTL || r.Version > uint64(now)+maxClockSkew || ok && !r.supersedes(&old) {
		return
	}
	m.putReport(now, r)
}

func (m *Model) putReport(now clock.Millis, r Report) {
	old, ok := m.reports.byUpstream[r.Upstream]
	if !ok && len(m.reports.byUpstream) >= maxStoredReports {
		return
	}
	if ok {
		m.reports.digest ^= old.hash()
	}
	m.reports.digest ^= r.hash()
	m.reports.byUpstream[r.Upstream] = r
	m.gossip.reportQueue.push(string(r.Upstream))
	m.startBurst(now)
	if old.Leaving != r.Leaving {
		m.emitUpstream(r.Upstream, r.Leaving)
	}
}

func (m *Model) emitUpstream(id upstream.ID, leaving bool) {
	eventKind := timeline.UpstreamBack
	if leaving {
		eventKind = timeline.UpstreamLeaving
	}
	m.emitEvent(timeline.Event{Kind: eventKind, Upstream: string(id)})
	m.emit(UpstreamLeavingCmd{Upstream: id, Leaving: leaving})
}

// expireReports deletes reports that no VM has renewed.
func (m *Model) expireReports(now clock.Millis) {
	if now < m.reports.nextExpiry {
		return
	}
	m.reports.nextExpiry = now + expiryInterval
	for _, r := range m.sortedReports() {
		if now < r.ExpiresMs {
			continue
		}
		delete(m.reports.byUpstream, r.Upstream)
		m.reports.digest ^= r.hash()
		if r.Leaving {
			m.emitUpstream(r.Upstream, false)
		}
	}
}

func (m *Model) toWire(r Report) wireReport {
	return wireReport{Report: r, remaining: max(0, r.ExpiresMs-m.lastUpdate)}
}

// sampleReports returns up to maxReports reports for anti-entropy, from a random start if there are more.
func (m *Model) sampleReports() []wireReport {
	all := m.sortedReports()
	start := 0
	if len(all) > maxReports {
		start = m.rng.IntN(len(all))
	}
	list := make([]wireReport, 0, min(len(all), maxReports))
	for i := range min(len(all), maxReports) {
		list = append(list, m.toWire(all[(start+i)%len(all)]))
	}
	return list
}
