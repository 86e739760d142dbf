package query

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

const (
	// maxRestarts limits how often one query restarts at another version.
	maxRestarts = 4
	// latenciesPerPass is the time that a new pass needs, in multiples of the
	// service's p95 latency.
	latenciesPerPass = 2
	// maxEpochRetries limits the retries to groups on an older shard map epoch.
	maxEpochRetries = 5
	// epochRetryBackoffMs is the wait before the second epoch retry. It doubles
	// with each further one, so that the group has time to receive the new shard
	// map. The first epoch retry is sent at once.
	epochRetryBackoffMs = 4
)

// versionGone handles a VersionGone reply after which the group has no open attempt.
func (m *Model) versionGone(now clock.Millis, q *openQuery, g int) {
	sub := &q.subrequests[g]
	sub.notExecuted = true
	if q.version == 0 {
		m.settleSubrequest(q, sub)
		if q.unsettled == 0 || now >= q.discoveryEnd {
			m.endDiscovery(now, q)
		}
		return
	}
	if sub.attempts < maxAttempts && m.balancer.MayHold(q.Service, q.service.groups[g], q.version) {
		m.sendRetry(now, q, g)
		return
	}
	if m.restart(now, q) {
		return
	}
	m.failGroupAndAdvance(now, q, g, "version gone")
}

// restart starts a new pass at a version that more groups hold. It reports
// false if there is none or too little time remains.
func (m *Model) restart(now clock.Millis, q *openQuery) bool {
	if q.pass >= maxRestarts || !m.hasTimeForPass(now, q) {
		return false
	}
	version, holdingGroups, _ := m.balancer.BestVersion(now, q.Service)
	if holdingGroups == 0 || version == q.version {
		return false
	}
	if q.version != 0 && holdingGroups <= m.balancer.GroupsHolding(q.Service, q.version) {
		return false
	}
	m.cancelAll(now, q)
	q.pass++
	m.emitEvent(q, timeline.VersionRestart, "", fmt.Sprintf("version %d to %d", q.version, version))
	m.fanOut(now, q, version, kindRestart)
	return true
}

// endDiscovery ends the pass that discovers which versions the upstreams hold
// and starts one at the version that Balancer.BestVersion returns.
func (m *Model) endDiscovery(now clock.Millis, q *openQuery) {
	if m.restart(now, q) {
		return
	}
	if q.unsettled == 0 {
		m.finish(now, q, "no version known")
	}
}

func (m *Model) hasTimeForPass(now clock.Millis, q *openQuery) bool {
	return now+latenciesPerPass*m.balancer.LatencyP95(q.Service) <= q.answerAt
}

// scheduleEpochRetry schedules a retry to the groups on an older epoch. It
// reports false if there are none or too little time remains.
func (m *Model) scheduleEpochRetry(now clock.Millis, q *openQuery) bool {
	if q.epochRetries >= maxEpochRetries || len(q.outdatedGroups()) == 0 {
		return false
	}
	at := now
	if q.epochRetries > 0 {
		at += epochRetryBackoffMs << (q.epochRetries - 1)
	}
	if !m.hasTimeForPass(at, q) {
		return false
	}
	q.epochRetries++
	m.setTimer(at, timerEpochRetry, q, 0, 0)
	return true
}

// outdatedGroups returns the groups that answered with an older shard map epoch
// than another group.
func (q *openQuery) outdatedGroups() []int {
	var list []int
	newest := q.merge.MaxEpoch()
	for g := range q.subrequests {
		if q.subrequests[g].answered && q.merge.Epoch(g) < newest {
			list = append(list, g)
		}
	}
	return list
}

func (m *Model) retryOutdatedGroups(now clock.Millis, q *openQuery) {
	groups := q.outdatedGroups()
	for _, g := range groups {
		q.subrequests[g] = subrequest{answered: true}
		q.unsettled++
	}
	for _, g := range groups {
		up, ok := m.balancer.PickForVersion(now, q.Service, q.service.groups[g], q.version, nil)
		if !ok {
			m.failGroup(q, g, "no upstream")
			continue
		}
		m.send(now, q, g, up, kindEpochRetry)
	}
	m.advance(now, q)
}
