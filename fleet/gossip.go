package fleet

import (
	"math/bits"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

const (
	newsBytes                  = 900 // of updates and reports on one message
	updateBytes                = 56  // estimate of one update or report
	burstFanout                = 4
	defaultBursts              = 3 // with the fan-out, 12 messages: misses one VM in 160,000 on average
	burstEvery    clock.Millis = 200
	// A rack of upstreams that drains at once must fit in one burst, or its last reports come too late.
	rumourReports = 64
	// Bounds the traffic after a mass change; the comparison of digests repairs what is dropped.
	maxQueued   = 128
	sampleTries = 4 // per wanted member
)

// gossiping is the state of dissemination. Each change is put on a number of
// messages that grows with the logarithm of the fleet's size. A burst sends
// such messages at once instead of waiting for the next ping.
type gossiping struct {
	members queue
	reports queue
	muted   bool // changes are taken over without being spread
	bursts  int  // rounds left
	next    clock.Millis
}

// queue holds the keys of changes that are still being sent, least recently sent first.
type queue struct {
	items []*item
	index map[string]*item
}

type item struct {
	key  string
	sent int
}

func (q *queue) push(key string) {
	if it := q.index[key]; it != nil {
		it.sent = 0
		return
	}
	if len(q.items) == maxQueued {
		delete(q.index, q.items[0].key)
		q.items = q.items[1:]
	}
	it := &item{key: key}
	q.index[key] = it
	q.items = append(q.items, it)
}

// take returns up to n keys and counts one transmission for each.
func (q *queue) take(n, limit int) []string {
	n = min(n, len(q.items))
	keys := make([]string, n)
	for i, it := range q.items[:n] {
		keys[i] = it.key
		it.sent++
		if it.sent < limit {
			q.items = append(q.items, it)
		} else {
			delete(q.index, it.key)
		}
	}
	q.items = q.items[n:]
	return keys
}

// transmissions is how often one change is sent: twice the binary logarithm of the size.
func (m *Model) transmissions() int { return 2 * bits.Len(uint(len(m.members)+1)) }

// news returns a message that carries changes. If the receiver is believed
// dead or suspect, it is told, so that it can refute.
func (m *Model) news(k kind, to string) *message {
	msg := &message{kind: k, self: m.self.VM}
	if mem := m.byID[to]; mem != nil && (mem.State == Suspect || mem.State == Dead) {
		msg.updates = append(msg.updates, mem.VM)
	}
	room := newsBytes / updateBytes
	reports := room / 2
	if k == kindRumour {
		reports = rumourReports
	}
	for _, id := range m.gossip.reports.take(reports, m.transmissions()) {
		if r, ok := m.reports.table[upstream.ID(id)]; ok {
			msg.reports = append(msg.reports, m.outgoing(r))
		}
	}
	for _, id := range m.gossip.members.take(max(room-len(msg.reports), room/2), m.transmissions()) {
		if mem := m.byID[id]; mem != nil && mem != m.self {
			msg.updates = append(msg.updates, mem.VM)
		}
	}
	return msg
}

// burst starts eager dissemination.
func (m *Model) burst(now clock.Millis) {
	if m.gossip.bursts == 0 {
		m.gossip.next = max(m.gossip.next, now)
	}
	m.gossip.bursts = m.cfg.bursts
}

func (m *Model) burstDue(now clock.Millis) {
	if m.gossip.bursts == 0 || now < m.gossip.next {
		return
	}
	m.gossip.bursts--
	m.gossip.next = now + burstEvery
	if len(m.gossip.reports.items) > rumourReports {
		m.gossip.bursts = max(m.gossip.bursts, 1) // not all reports fit in the messages of one burst
	}
	for _, mem := range m.sample(burstFanout, nil) {
		if m.stopping {
			m.ping(now, mem.ID, ping{purpose: forStop})
			continue
		}
		m.send(mem.ID, m.news(kindRumour, mem.ID))
	}
}

// sample returns up to n distinct random members that are not dead or leaving.
func (m *Model) sample(n int, except *member) []*member {
	picked := make([]*member, 0, n)
	for range n * sampleTries {
		if len(picked) == n || len(m.members) == 0 {
			break
		}
		mem := m.members[m.rng.IntN(len(m.members))]
		if mem != except && mem.State <= Suspect && !contains(picked, mem) {
			picked = append(picked, mem)
		}
	}
	return picked
}

func contains(list []*member, mem *member) bool {
	for _, other := range list {
		if other == mem {
			return true
		}
	}
	return false
}

// stop announces the planned stop.
func (m *Model) stop(now clock.Millis) {
	if m.stopping {
		return
	}
	m.stopping = true
	v := m.self.VM
	v.State = Leaving
	v.Refutation++
	m.apply(now, m.self, v)
}
