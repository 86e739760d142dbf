package fleet

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// mergeUpdates merges the updates of a message. For a state message it also returns
// the members whose local state supersedes the received update.
func (m *Model) mergeUpdates(now clock.Millis, msg *message) []VM {
	// A bulk state message only repairs this VM. Its updates are not forwarded, because
	// the VMs that sent them before already disseminate them.
	m.gossip.suppressed = msg.kind == kindState && len(msg.updates) >= bulkThreshold
	defer func() { m.gossip.suppressed = false }()
	var newer []VM
	for _, v := range msg.updates {
		m.mergeUpdate(now, v)
		if msg.kind != kindState {
			continue
		}
		if mem := m.byID[v.ID]; mem != nil && mem.supersedes(&v) && mem.State != Dead {
			newer = append(newer, mem.VM)
		}
	}
	return newer
}

// mergeUpdate applies one update. An update that declares dead a member that is
// alive here is not applied, because after a partition heals each side has the
// other as dead. Instead the update is sent to the member, so that it can refute it.
func (m *Model) mergeUpdate(now clock.Millis, v VM) {
	if v.ID == m.self.ID {
		m.refute(now, v)
		return
	}
	mem := m.byID[v.ID]
	if mem == nil {
		m.addMember(now, v)
		return
	}
	if !v.supersedes(&mem.VM) {
		return
	}
	if v.State == Dead && v.compareVersion(&mem.VM) == 0 && mem.State != Leaving {
		if mem.State == Alive {
			m.requestRefutation(mem, v)
		}
		return
	}
	m.setMember(now, mem, v)
}

// refute raises the refutation number of this VM above that of an update that contradicts its state.
func (m *Model) refute(now clock.Millis, update VM) {
	own := m.self.VM
	if c := update.compareVersion(&own); c < 0 || c == 0 && update.State <= own.State {
		return
	}
	own.Incarnation = max(own.Incarnation, update.Incarnation)
	own.Refutation = update.Refutation + 1
	m.setMember(now, m.self, own)
}

func (m *Model) addMember(now clock.Millis, v VM) {
	if v.State == Dead || len(m.members) >= maxMembers {
		return
	}
	mem := newMember(v)
	mem.State = Dead // initial state, so that setMember detects a state change
	// Insert at a random index to keep the probe order shuffled.
	mem.probeIndex = len(m.members)
	m.members = append(m.members, mem)
	m.swapMembers(mem.probeIndex, m.rng.IntN(len(m.members)))
	m.byID[v.ID] = mem
	m.setMember(now, mem, v)
}

// setMember replaces the state of a member and queues it for dissemination.
func (m *Model) setMember(now clock.Millis, mem *member, v VM) {
	before := mem.VM
	m.unindex(mem)
	if v.Address == "" {
		v.Address, v.DataCentre = before.Address, before.DataCentre
	}
	mem.VM = v
	m.index(mem)
	if !m.gossip.suppressed {
		m.gossip.memberQueue.push(mem.ID)
	}
	if before.State != v.State || before.Incarnation != v.Incarnation {
		mem.stateSince = now
		m.handleTransition(now, mem, before)
	}
}

// handleTransition handles a change of a member's state or incarnation.
func (m *Model) handleTransition(now clock.Millis, mem *member, before VM) {
	v := &mem.VM
	switch v.State {
	case Alive:
		if before.State != Suspect || before.Incarnation != v.Incarnation {
			m.emitEvent(timeline.Event{Kind: timeline.VMJoined, Detail: v.ID})
		}
		m.claimAddress(now, mem)
	case Suspect:
		mem.suspectUntil = now + m.suspicionTimeout()
		m.suspects = append(m.suspects, mem)
		m.emitEvent(timeline.Event{Kind: timeline.VMSuspected, Detail: v.ID})
	case Leaving:
		m.emitEvent(timeline.Event{Kind: timeline.VMLeft, Detail: v.ID})
		m.startBurst(now)
	case Dead:
		if before.State != Leaving {
			m.emitEvent(timeline.Event{Kind: timeline.VMFailed, Detail: v.ID})
		}
	}
}

// claimAddress marks the previous member at the address of mem as dead. Only one
// process can use an address, so the member with the later incarnation has it.
func (m *Model) claimAddress(now clock.Millis, mem *member) {
	old := m.byAddr[mem.Address]
	m.byAddr[mem.Address] = mem
	if old == nil || old == mem || old == m.self || old.State == Dead || old.Address != mem.Address {
		return
	}
	if old.Incarnation > mem.Incarnation {
		m.byAddr[mem.Address] = old
		return
	}
	dead := old.VM
	dead.State = Dead
	m.setMember(now, old, dead)
}

// index adds mem to the digest and, if it is alive, to the eligible list for rendezvous hashing.
func (m *Model) index(mem *member) {
	m.byID[mem.ID] = mem
	m.digest[mem.hash%buckets] ^= mem.digest(mem.hash)
	if mem.State == Alive {
		mem.eligibleIndex = len(m.eligible)
		m.eligible = append(m.eligible, mem)
		m.eligibleHashes = append(m.eligibleHashes, mem.hash)
		m.eligibleVersion++
	}
}

func (m *Model) unindex(mem *member) {
	m.digest[mem.hash%buckets] ^= mem.digest(mem.hash)
	if mem.eligibleIndex < 0 {
		return
	}
	last := len(m.eligible) - 1
	moved := m.eligible[last]
	m.eligible[mem.eligibleIndex], m.eligibleHashes[mem.eligibleIndex] = moved, moved.hash
	moved.eligibleIndex = mem.eligibleIndex
	m.eligible, m.eligibleHashes = m.eligible[:last], m.eligibleHashes[:last]
	mem.eligibleIndex = -1
	m.eligibleVersion++
}

func (m *Model) swapMembers(i, j int) {
	m.members[i], m.members[j] = m.members[j], m.members[i]
	m.members[i].probeIndex, m.members[j].probeIndex = i, j
}

// pruneDead deletes members that have been dead for deadRetention.
func (m *Model) pruneDead(now clock.Millis) {
	for i := len(m.members) - 1; i >= 0; i-- {
		mem := m.members[i]
		if mem.State != Dead || now < mem.stateSince+deadRetention {
			continue
		}
		last := len(m.members) - 1
		m.swapMembers(i, last)
		m.members = m.members[:last]
		delete(m.byID, mem.ID)
		if m.byAddr[mem.Address] == mem {
			delete(m.byAddr, mem.Address)
		}
	}
}
