package fleet

import (
	"cmp"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/upstream"
)

const (
	storeLostAfter  clock.Millis = 150 * clock.Second // slightly more than two read intervals
	peersLostAfter  clock.Millis = 5 * clock.Second   // a VM receives about two messages per second from peers
	minStopAcks                  = 6
	announceTimeout clock.Millis = 2 * clock.Second
)

// Self returns the member state of this VM.
func (m *Model) Self() VM { return m.self.VM }

// Live returns the members that are alive, including this VM unless it is stopping, ordered by identifier.
func (m *Model) Live() []VM {
	order := slices.Clone(m.eligible)
	slices.SortFunc(order, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	list := make([]VM, len(order))
	for i, mem := range order {
		list[i] = mem.VM
	}
	return list
}

// LiveCount returns the number of live members.
func (m *Model) LiveCount() int { return len(m.eligible) }

// IsLive reports whether a member is alive.
func (m *Model) IsLive(id string) bool {
	mem := m.byID[id]
	return mem != nil && mem.State == Alive
}

// Members returns all known members, including dead ones, ordered by identifier.
func (m *Model) Members() []VM {
	list := make([]VM, 0, len(m.byID))
	for _, mem := range m.byID {
		list = append(list, mem.VM)
	}
	slices.SortFunc(list, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Watchers returns the identifiers of the members that watch the record in the store.
func (m *Model) Watchers() []string { return slices.Clone(m.watchers) }

// Ready reports whether this VM has a record, has finished joining and is not stopping.
func (m *Model) Ready() bool { return m.record.Revision > 0 && m.sync.joinDone && !m.stopping }

// Record returns the record in force. Its revision is 0 before the first record is received.
func (m *Model) Record() preset.Record { return m.record }

// Stale reports whether this VM has lost contact with the store and all peers, so that its record may be outdated.
func (m *Model) Stale(now clock.Millis) bool {
	storeLost := m.store.failed || now > m.store.lastOK+storeLostAfter
	return storeLost && now > m.lastPeerMsg+peersLostAfter
}

// StopAnnounced reports whether enough members have acknowledged the planned
// stop of this VM, or announceTimeout has passed.
func (m *Model) StopAnnounced(now clock.Millis) bool {
	if !m.stopping {
		return false
	}
	return len(m.probes.stopAcks) >= min(minStopAcks, len(m.eligible)) || now >= m.self.stateSince+announceTimeout
}

// UpstreamLeaving reports whether the newest report marks the upstream as leaving.
func (m *Model) UpstreamLeaving(id upstream.ID) bool { return m.reports.byUpstream[id].Leaving }

// Reports returns the newest report of each upstream, ordered by upstream.
func (m *Model) Reports() []Report { return m.sortedReports() }

func (m *Model) sortedReports() []Report {
	list := make([]Report, 0, len(m.reports.byUpstream))
	for _, r := range m.reports.byUpstream {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// NextWake returns the time of the next due work, at which the Model needs a TickMsg.
// The second result is always true; before the first Update the time is 0.
func (m *Model) NextWake() (clock.Millis, bool) {
	if !m.started {
		return 0, true
	}
	wake := min(m.probes.nextProbe, m.sync.nextSync, m.sync.nextContact, m.store.nextGetWake(), m.nextPrune)
	if c := m.probes.current; c.target != nil && !c.acked && !c.indirect {
		wake = min(wake, c.sentAt+probeTimeout)
	}
	if m.gossip.burstRounds > 0 {
		wake = min(wake, m.gossip.nextBurst)
	}
	if m.pull.revision > 0 {
		wake = min(wake, m.pull.requestedAt+pullTimeout)
	}
	if m.reportedVersion != m.eligibleVersion {
		wake = min(wake, m.nextLive)
	}
	if m.store.watching {
		wake = min(wake, m.store.nextWatchWake())
	}
	return wake, true
}

func (s *storeState) nextGetWake() clock.Millis {
	if s.get.tag != 0 {
		return s.get.sentAt + getTimeout
	}
	return s.get.nextAt
}

func (s *storeState) nextWatchWake() clock.Millis {
	if s.watch.tag != 0 {
		return s.watch.sentAt + watchTimeout
	}
	return s.watch.nextAt
}
