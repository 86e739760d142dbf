package fleet

import (
	"math/bits"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

const (
	gossipBytes                     = 900 // size limit of the updates and reports in one message
	entryBytes                      = 56  // estimated size of one update or report
	burstFanout                     = 4
	defaultBurstRounds              = 3 // with the fan-out, 12 messages; on average these miss one VM in 160,000
	burstInterval      clock.Millis = 200
	// Maximum reports in a gossip message. The reports of a rack of upstreams that
	// drains at once must fit in one burst; otherwise the last ones arrive too late.
	maxGossipReports = 64
	// Maximum queued changes, which bounds the traffic after a mass change. The digest
	// comparison (see syncState) repairs what is dropped.
	maxQueued      = 128
	sampleAttempts = 4 // random draws per requested member
)

// gossipState is the state of dissemination. Each change is sent in a number of
// messages that grows with the logarithm of the fleet size. A burst sends extra
// messages immediately instead of waiting for the next ping.
type gossipState struct {
	memberQueue queue
	reportQueue queue
	suppressed  bool // received updates are applied but not forwarded
	burstRounds int  // remaining rounds of the current burst
	nextBurst   clock.Millis
}

// queue holds the keys of changes that have transmissions left, least recently sent first.
type queue struct {
	items []*queueItem
	index map[string]*queueItem
}

type queueItem struct {
	key         string
	transmitted int
}

func (q *queue) push(key string) {
	if it := q.index[key]; it != nil {
		it.transmitted = 0
		return
	}
	if len(q.items) == maxQueued {
		delete(q.index, q.items[0].key)
		q.items = q.items[1:]
	}
	it := &queueItem{key: key}
	q.index[key] = it
	q.items = append(q.items, it)
}

// take returns up to n keys and counts one transmission for each. A key that reaches limit leaves the queue.
func (q *queue) take(n, limit int) []string {
	n = min(n, len(q.items))
	keys := make([]string, n)
	for i, it := range q.items[:n] {
		keys[i] = it.key
		it.transmitted++
		if it.transmitted < limit {
			q.items = append(q.items, it)
		} else {
			delete(q.index, it.key)
		}
	}
	q.items = q.items[n:]
	return keys
}

// transmitLimit returns how often one change is sent: twice the binary logarithm of the fleet size.
func (m *Model) transmitLimit() int { return 2 * bits.Len(uint(len(m.members)+1)) }

// newGossip returns a message of kind k with queued changes. If the receiver is
// dead or suspect here, the message includes that state, so that the receiver can refute it.
func (m *Model) newGossip(k messageKind, to string) *message {
	msg := &message{kind: k, sender: m.self.VM}
	if mem := m.byID[to]; mem != nil && (mem.State == Suspect || mem.State == Dead) {
		msg.updates = append(msg.updates, mem.VM)
	}
	capacity := gossipBytes / entryBytes
	reportLimit := capacity / 2
	if k == kindGossip {
		reportLimit = maxGossipReports
	}
	for _, id := range m.gossip.reportQueue.take(reportLimit, m.transmitLimit()) {
		if r, ok := m.reports.byUpstream[upstream.ID(id)]; ok {
			msg.reports = append(msg.reports, m.toWire(r))
		}
	}
	for _, id := range m.gossip.memberQueue.take(max(capacity-len(msg.reports), capacity/2), m.transmitLimit()) {
		if mem := m.byID[id]; mem != nil && mem != m.self {
			msg.updates = append(msg.updates, mem.VM)
		}
	}
	return msg
}

// startBurst starts or extends a burst of gossip messages.
func (m *Model) startBurst(now clock.Millis) {
	if m.gossip.burstRounds == 0 {
		m.gossip.nextBurst = max(m.gossip.nextBurst, now)
	}
	m.gossip.burstRounds = m.cfg.burstRounds
}

func (m *Model) runBurst(now clock.Millis) {
	if m.gossip.burstRounds == 0 || now < m.gossip.nextBurst {
		return
	}
	m.gossip.burstRounds--
	m.gossip.nextBurst = now + burstInterval
	if len(m.gossip.reportQueue.items) > maxGossipReports {
		m.gossip.burstRounds = max(m.gossip.burstRounds, 1) // more reports are queued than fit in the messages of one burst
	}
	for _, mem := range m.sample(burstFanout, nil) {
		if m.stopping {
			m.sendPing(now, mem.ID, ping{purpose: purposeStop})
			continue
		}
		m.send(mem.ID, m.newGossip(kindGossip, mem.ID))
	}
}

// sample returns up to n distinct random members, other than except, that are alive or suspect.
func (m *Model) sample(n int, except *member) []*member {
	picked := make([]*member, 0, n)
	for range n * sampleAttempts {
		if len(picked) == n || len(m.members) == 0 {
			break
		}
		mem := m.members[m.rng.IntN(len(m.members))]
		if mem != except && mem.State <= Suspect && !containsMember(picked, mem) {
			picked = append(picked, mem)
		}
	}
	return picked
}

func containsMember(list []*member, mem *member) bool {
	for _, other := range list {
		if other == mem {
			return true
		}
	}
	return false
}

// announceStop announces the planned stop of this VM to the other members.
func (m *Model) announceStop(now clock.Millis) {
	if m.stopping {
		return
	}
	m.stopping = true
	v := m.self.VM
	v.State = Leaving
	v.Refutation++
	m.setMember(now, m.self, v)
}
