package fleet

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	probeInterval  clock.Millis = clock.Second
	probeTimeout   clock.Millis = 400 // without an ack by then, indirectProbes other members ping the target
	indirectProbes              = 3
	suspicionBase  clock.Millis = 4 * clock.Second // multiplied by log10 of the fleet size
	maxContested                = 16               // limits the queued probes of members that peers declare dead
	pingRetention  clock.Millis = 3 * clock.Second
)

// probeState is the state of failure detection.
type probeState struct {
	current   probe
	nextProbe clock.Millis
	cursor    int // index in Model.members of the next probe target
	seq       uint64
	pings     map[uint64]ping // outstanding pings by sequence number
	contested []*member       // members declared dead by a peer, probed before the others
	stopAcks  map[string]bool // members that acknowledged the planned stop of this VM
}

type probe struct {
	target   *member
	seq      uint64
	sentAt   clock.Millis
	indirect bool
	acked    bool
}

type purpose uint8

const (
	purposeProbe purpose = iota
	purposeRelay
	purposeStop
)

type ping struct {
	purpose   purpose
	target    string
	sentAt    clock.Millis
	origin    string // for a relayed ping, the requesting VM; originSeq is its sequence number
	originSeq uint64
}

func (m *Model) runProbe(now clock.Millis) {
	p := &m.probes
	if now >= p.nextProbe {
		p.nextProbe += probeInterval
		if p.nextProbe <= now {
			p.nextProbe = now + probeInterval
		}
		m.finishProbe(now)
		m.startProbe(now)
	}
	c := &p.current
	if c.target != nil && !c.acked && !c.indirect && now >= c.sentAt+probeTimeout {
		m.probeIndirectly(now)
	}
	m.expireSuspects(now)
}

func (m *Model) startProbe(now clock.Millis) {
	for seq, p := range m.probes.pings {
		if now > p.sentAt+pingRetention {
			delete(m.probes.pings, seq)
		}
	}
	m.probes.current = probe{}
	target := m.nextProbeTarget()
	if target == nil {
		return
	}
	seq := m.sendPing(now, target.ID, ping{purpose: purposeProbe})
	m.probes.current = probe{target: target, seq: seq, sentAt: now}
}

// nextProbeTarget returns the next member to probe, or nil. Contested members come
// first, then the others in random order; the list is shuffled again after each pass.
func (m *Model) nextProbeTarget() *member {
	p := &m.probes
	for len(p.contested) > 0 {
		mem := p.contested[0]
		p.contested = p.contested[1:]
		if mem.State != Dead && m.byID[mem.ID] == mem {
			return mem
		}
	}
	for range len(m.members) {
		if p.cursor >= len(m.members) {
			p.cursor = 0
			m.rng.Shuffle(len(m.members), m.swapMembers)
		}
		mem := m.members[p.cursor]
		p.cursor++
		if mem.State != Dead {
			return mem
		}
	}
	return nil
}

func (m *Model) sendPing(now clock.Millis, to string, p ping) uint64 {
	m.probes.seq++
	p.target, p.sentAt = to, now
	m.probes.pings[m.probes.seq] = p
	msg := m.newGossip(kindPing, to)
	msg.seq = m.probes.seq
	m.send(to, msg)
	return m.probes.seq
}

// probeIndirectly requests pings of the target from other members and repeats the
// direct ping. This distinguishes a lost message or a broken link from a failed target.
func (m *Model) probeIndirectly(now clock.Millis) {
	c := &m.probes.current
	c.indirect = true
	m.sendPing(now, c.target.ID, ping{purpose: purposeProbe})
	for _, helper := range m.sample(indirectProbes, c.target) {
		msg := m.newGossip(kindPingReq, helper.ID)
		msg.seq, msg.target = c.seq, c.target.ID
		m.send(helper.ID, msg)
	}
}

func (m *Model) finishProbe(now clock.Millis) {
	c := m.probes.current
	if c.target == nil || c.acked {
		return
	}
	v := c.target.VM
	switch v.State {
	case Alive:
		v.State = Suspect
	case Leaving: // it announced its stop, so a missing ack means that it has stopped
		v.State = Dead
	default:
		return
	}
	m.setMember(now, c.target, v)
}

func (m *Model) handlePing(from string, msg *message) {
	ack := m.newGossip(kindAck, from)
	ack.seq = msg.seq
	m.send(from, ack)
}

func (m *Model) handlePingReq(now clock.Millis, from string, msg *message) {
	if m.byID[msg.target] == nil || msg.target == m.self.ID {
		return
	}
	m.sendPing(now, msg.target, ping{purpose: purposeRelay, origin: from, originSeq: msg.seq})
}

func (m *Model) handleAck(from string, msg *message) {
	p, ok := m.probes.pings[msg.seq]
	if !ok || p.target != from && p.target != msg.target {
		return
	}
	delete(m.probes.pings, msg.seq)
	switch p.purpose {
	case purposeProbe:
		if c := &m.probes.current; c.target != nil && c.target.ID == p.target {
			c.acked = true
		}
	case purposeRelay:
		m.send(p.origin, &message{kind: kindAck, seq: p.originSeq, target: p.target, sender: m.self.VM})
	case purposeStop:
		m.probes.stopAcks[from] = true
	}
}

// requestRefutation sends an update that declares mem dead to mem, and schedules an early probe of it.
func (m *Model) requestRefutation(mem *member, update VM) {
	if len(m.probes.contested) >= maxContested {
		return
	}
	m.probes.contested = append(m.probes.contested, mem)
	m.send(mem.ID, &message{kind: kindGossip, sender: m.self.VM, updates: []VM{update}})
}

// suspicionTimeout returns the time that a suspect has to refute. It grows with the
// logarithm of the fleet size, as does the time that a refutation takes to spread.
func (m *Model) suspicionTimeout() clock.Millis {
	scale := max(1, math.Log10(float64(len(m.members)+1)))
	return clock.Millis(float64(suspicionBase) * scale)
}

func (m *Model) expireSuspects(now clock.Millis) {
	kept := m.suspects[:0]
	for _, mem := range m.suspects {
		switch {
		case mem.State != Suspect:
		case now >= mem.suspectUntil:
			v := mem.VM
			v.State = Dead
			m.setMember(now, mem, v)
		default:
			kept = append(kept, mem)
		}
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
}
