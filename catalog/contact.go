package catalog

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// storeReached records that this VM or its publisher reaches the store. Failed calls since the
// last contact are an outage if entries of upstreams may have expired meanwhile.
func (m *Model) storeReached(now clock.Millis, cmds []Cmd) []Cmd {
	outage := m.doubted && (!m.contacted || now-m.contactAt >= minOutageMs)
	if outage {
		m.holdRemovalsUntil = now + recoveryGraceMs
		if m.contacted && !m.storeLost {
			cmds = append(cmds, StoreStatusCmd{Kind: store.KindUnavailable})
		}
	}
	if outage || m.storeLost || !m.contacted {
		m.contactSince = now
		cmds = append(cmds, StoreStatusCmd{Reachable: true})
	}
	if m.doubted && m.pass != nil {
		m.pass.expedite(now)
	}
	m.storeLost, m.contacted, m.lossPublished = false, true, false
	m.contactAt, m.doubted, m.probe = now, false, false
	return cmds
}

// watchFailed records a watch that failed. One that failed alone is not the loss of the store,
// which may cut a watch that waits at any time: further calls follow at once and show whether
// the store is reachable.
func (m *Model) watchFailed(now clock.Millis, kind store.Kind, cmds []Cmd) []Cmd {
	failed := m.phase
	m.phase = phaseIdle
	if kind == store.KindConflict || kind == store.KindTooLarge {
		return m.endHistory(now, cmds)
	}
	ended := now < m.begunAt+m.waitMs+m.slackMs // cut, or refused
	if p := m.pass; p != nil && p.arriving && ended {
		m.nextCall = now + m.backOff()
		return cmds
	}
	first := !m.doubted
	m.doubted = true
	if m.pass != nil && !ended {
		m.pass.watchUnanswered()
	}
	switch p := m.pass; {
	case first && (p != nil || failed == phaseWatching):
		m.probe, m.nextCall = true, now
		if p == nil && now < m.begunAt+m.waitMs {
			m.resumeAt = m.begunAt + m.callInterval()
		}
		return cmds
	case p != nil && p.calls > 0 && (!p.probedByWatch() || ended && now < m.contactAt+minOutageMs):
		// The page shows whether the store is reachable.
		m.nextCall = now + m.backOff()
		return cmds
	case p == nil && ended:
		m.probe, m.needRelist, m.needFresh, m.nextCall = false, true, true, now
		return cmds
	}
	return m.lose(now, kind, cmds)
}

// endHistory handles a watch whose history is no longer available, or holds more than can be
// read at once. The store itself is reachable.
func (m *Model) endHistory(now clock.Millis, cmds []Cmd) []Cmd {
	cmds = m.storeReached(now, cmds)
	again := m.historyEnded // before a watch could follow the list
	m.historyEnded, m.backoff, m.nextCall = true, 0, now
	m.needRelist, m.needFresh, m.historyLost = true, true, true
	switch p := m.pass; {
	case p != nil && p.pages > 0 && !p.gap: // what follows its pages can be watched from them on
		p.gap, p.since, p.position = true, p.revision, p.revision
	case again && m.isBehindGap(): // a pass that began again each time would never end
		p.unwatched = true
	default:
		cmds = m.leavePass(now, false, cmds)
		if again {
			m.nextCall = max(now, m.listedAt+m.callInterval())
		}
	}
	return cmds
}

// backOff returns the time to wait before the next call after one that failed.
func (m *Model) backOff() clock.Millis {
	low, high := minBackoffMs, maxBackoffMs
	if len(m.subscription.candidates) > 0 && !m.subscription.mayPublish {
		low, high = minSubscriberBackoffMs, maxSubscriberBackoffMs
	}
	m.backoff = min(max(2*m.backoff, low), high)
	return m.backoff/2 + clock.Millis(m.rng.Int64N(int64(m.backoff/2)+1))
}

// lose records that the store is not reached.
func (m *Model) lose(now clock.Millis, kind store.Kind, cmds []Cmd) []Cmd {
	m.probe = false
	m.nextCall = now + m.backOff()
	if m.subscription.publisher != "" {
		return cmds // the publisher reaches the store
	}
	if !m.storeLost {
		cmds = append(cmds, StoreStatusCmd{Kind: kind})
	}
	m.storeLost = true
	if m.lossPublished {
		return cmds
	}
	m.lossPublished = true
	return m.publish(Update{Era: m.era, FromEra: m.era, StoreLost: true}, cmds)
}
