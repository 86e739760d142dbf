package query

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

const (
	// maxRestarts bounds the passes of one query.
	maxRestarts = 4
	// A pass needs this many times the typical latency.
	passLatencies = 2
	// maxReasks bounds how often groups on an older epoch are asked again.
	maxReasks = 5
	// The first request goes out at once; the wait before the others starts here
	// and doubles, so that the group has time to learn the new shard map.
	reaskWaitMs = 4
)

// versionGone handles a refusal after which the group has no open attempt.
func (m *Model) versionGone(now clock.Millis, q *openQuery, g int) {
	p := &q.parts[g]
	p.refused = true
	if q.version == 0 {
		m.settlePart(q, p)
		if q.waiting == 0 || now >= q.learnBy {
			m.learned(now, q)
		}
		return
	}
	if p.tries < maxTries && m.book.MayHold(q.Service, q.service.groups[g], q.version) {
		m.sendRetry(now, q, g)
		return
	}
	if m.restart(now, q) {
		return
	}
	m.lose(now, q, g, "version gone")
}

// restart starts the query again at a version that more groups hold.
func (m *Model) restart(now clock.Millis, q *openQuery) bool {
	if q.pass >= maxRestarts || !m.timeForPass(now, q) {
		return false
	}
	version, holds, _ := m.book.BestVersion(now, q.Service)
	if holds == 0 || version == q.version {
		return false
	}
	if q.version != 0 && holds <= m.book.Holders(q.Service, q.version) {
		return false
	}
	m.cancelAll(now, q)
	q.pass++
	m.event(q, timeline.VersionRestart, "", fmt.Sprintf("version %d to %d", q.version, version))
	m.fanOut(now, q, version, tryRestart)
	return true
}

// learned ends the pass that only asked which versions are held.
func (m *Model) learned(now clock.Millis, q *openQuery) {
	if m.restart(now, q) {
		return
	}
	if q.waiting == 0 {
		m.finish(now, q, "no version known")
	}
}

func (m *Model) timeForPass(now clock.Millis, q *openQuery) bool {
	return now+passLatencies*m.book.TypicalMs(q.Service) <= q.answerAt
}

// planReask schedules another request to the groups on an older epoch, and
// reports false if there are none or the time is too short.
func (m *Model) planReask(now clock.Millis, q *openQuery) bool {
	if q.reasks >= maxReasks || len(q.olderGroups()) == 0 {
		return false
	}
	at := now
	if q.reasks > 0 {
		at += reaskWaitMs << (q.reasks - 1)
	}
	if !m.timeForPass(at, q) {
		return false
	}
	q.reasks++
	m.wake(at, timerReask, q, 0, 0)
	return true
}

// olderGroups returns the groups that answered under an older epoch than another one.
func (q *openQuery) olderGroups() []int {
	var list []int
	newest := q.merge.MaxEpoch()
	for g := range q.parts {
		if q.parts[g].answered && q.merge.Epoch(g) < newest {
			list = append(list, g)
		}
	}
	return list
}

func (m *Model) reask(now clock.Millis, q *openQuery) {
	groups := q.olderGroups()
	for _, g := range groups {
		q.parts[g] = part{answered: true}
		q.waiting++
	}
	for _, g := range groups {
		up, ok := m.book.PickVersion(now, q.Service, q.service.groups[g], q.version, nil)
		if !ok {
			m.giveUp(q, g, "no upstream")
			continue
		}
		m.send(now, q, g, up, tryReask)
	}
	m.checkSettled(now, q)
}
