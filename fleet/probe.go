package fleet

import (
	"math"

	"lentillink.example/lentillink/clock"
)

const (
	probeEvery     clock.Millis = clock.Second
	probeTimeout   clock.Millis = 400 // without an answer by then, three others are asked
	indirectProbes              = 3
	suspicionBase  clock.Millis = 4 * clock.Second // times log10 of the fleet's size
	maxChallenges               = 16               // bounds the probes that contested claims may cause at once
	pingKeepMs     clock.Millis = 3 * clock.Second
)

// probing is the state of failure detection.
type probing struct {
	current   probe
	next      clock.Millis
	cursor    int // position in Model.members
	seq       uint64
	pings     map[uint64]ping // sent, by sequence number
	contested []*member       // probed before the others
	announced map[string]bool // members that acknowledged the planned stop
}

type probe struct {
	target   *member
	seq      uint64
	at       clock.Millis
	indirect bool
	acked    bool
}

type purpose uint8

const (
	forProbe purpose = iota
	forRelay
	forStop
)

type ping struct {
	purpose purpose
	target  string
	at      clock.Millis
	origin  string // for a relayed ping, who asked and its sequence number
	seq     uint64
}

func (m *Model) probeDue(now clock.Millis) {
	p := &m.probes
	if now >= p.next {
		p.next += probeEvery
		if p.next <= now {
			p.next = now + probeEvery
		}
		m.endProbe(now)
		m.beginProbe(now)
	}
	c := &p.current
	if c.target != nil && !c.acked && !c.indirect && now >= c.at+probeTimeout {
		m.probeIndirectly(now)
	}
	m.expireSuspects(now)
}

func (m *Model) beginProbe(now clock.Millis) {
	for seq, p := range m.probes.pings {
		if now > p.at+pingKeepMs {
			delete(m.probes.pings, seq)
		}
	}
	m.probes.current = probe{}
	target := m.nextTarget()
	if target == nil {
		return
	}
	seq := m.ping(now, target.ID, ping{purpose: forProbe})
	m.probes.current = probe{target: target, seq: seq, at: now}
}

// nextTarget returns contested members first, then goes round the shuffled list.
func (m *Model) nextTarget() *member {
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
			m.rng.Shuffle(len(m.members), m.swap)
		}
		mem := m.members[p.cursor]
		p.cursor++
		if mem.State != Dead {
			return mem
		}
	}
	return nil
}

func (m *Model) ping(now clock.Millis, to string, p ping) uint64 {
	m.probes.seq++
	p.target, p.at = to, now
	m.probes.pings[m.probes.seq] = p
	msg := m.news(kindPing, to)
	msg.seq = m.probes.seq
	m.send(to, msg)
	return m.probes.seq
}

// probeIndirectly asks others to ping the target and repeats the direct ping,
// which tells a lost message from a cut link.
func (m *Model) probeIndirectly(now clock.Millis) {
	c := &m.probes.current
	c.indirect = true
	m.ping(now, c.target.ID, ping{purpose: forProbe})
	for _, via := range m.sample(indirectProbes, c.target) {
		msg := m.news(kindPingReq, via.ID)
		msg.seq, msg.target = c.seq, c.target.ID
		m.send(via.ID, msg)
	}
}

func (m *Model) endProbe(now clock.Millis) {
	c := m.probes.current
	if c.target == nil || c.acked {
		return
	}
	v := c.target.VM
	switch v.State {
	case Alive:
		v.State = Suspect
	case Leaving: // announced its end, so silence means that it has ended
		v.State = Dead
	default:
		return
	}
	m.apply(now, c.target, v)
}

func (m *Model) answerPing(from string, msg *message) {
	ack := m.news(kindAck, from)
	ack.seq = msg.seq
	m.send(from, ack)
}

func (m *Model) relayPing(now clock.Millis, from string, msg *message) {
	if m.byID[msg.target] == nil || msg.target == m.self.ID {
		return
	}
	m.ping(now, msg.target, ping{purpose: forRelay, origin: from, seq: msg.seq})
}

func (m *Model) acked(from string, msg *message) {
	p, ok := m.probes.pings[msg.seq]
	if !ok || p.target != from && p.target != msg.target {
		return
	}
	delete(m.probes.pings, msg.seq)
	switch p.purpose {
	case forProbe:
		if c := &m.probes.current; c.target != nil && c.target.ID == p.target {
			c.acked = true
		}
	case forRelay:
		m.send(p.origin, &message{kind: kindAck, seq: p.seq, target: p.target, self: m.self.VM})
	case forStop:
		m.probes.announced[from] = true
	}
}

// challenge lets a member that others believe dead know, and probes it soon.
func (m *Model) challenge(mem *member, claim VM) {
	if len(m.probes.contested) >= maxChallenges {
		return
	}
	m.probes.contested = append(m.probes.contested, mem)
	m.send(mem.ID, &message{kind: kindRumour, self: m.self.VM, updates: []VM{claim}})
}

// suspicionMs grows with the logarithm of the size, as does the time that a refutation takes to spread.
func (m *Model) suspicionMs() clock.Millis {
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
			m.apply(now, mem, v)
		default:
			kept = append(kept, mem)
		}
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
}
