package relay

import (
	"slices"

	"lentillink.example/lentillink/clock"
)

// Limits are what the VM that delegates knows of the upstreams of the shards. The carrier
// may not have heard of it yet, or may not reach the store.
type Limits struct {
	Evacuated []string     // data centres whose upstreams must get nothing
	Cold      []string     // upstreams that bear only a bounded rate
	ColdMs    clock.Millis // until the last of them is warm
}

// limitsFor returns the limits of a delegation.
func (m *Model) limitsFor(now clock.Millis, subrequests []*subrequest) Limits {
	var l Limits
	if len(m.evacuated) > 0 {
		l.Evacuated = m.Evacuated()
	}
	for _, sub := range subrequests {
		if sub.service.warmupPerSecond == 0 {
			continue
		}
		for _, u := range sub.service.upstreams {
			if u.isCold(now) {
				l.Cold = append(l.Cold, u.info.ID)
				l.ColdMs = max(l.ColdMs, u.coldEnd(now)-now)
			}
		}
	}
	return l
}

// learnCold applies what another VM knows of cold upstreams that have not reported here
// for a while.
func (m *Model) learnCold(now clock.Millis, l Limits) {
	for _, id := range l.Cold {
		u := m.upstreams[id]
		if u == nil || u.service.warmupPerSecond == 0 || now-u.reportedAt < restartReportMs {
			continue
		}
		m.setCold(now, u, max(u.coldUntil, now+min(l.ColdMs, u.service.warmupMs)), u.warming.suspected)
	}
}

// excludes reports whether the VM that delegated the request knows that an upstream must
// get nothing.
func (l Limits) excludes(u *upstream) bool { return slices.Contains(l.Evacuated, u.info.DataCentre) }
