package catalog

import (
	"cmp"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// publisherWatchIntervalMs is the minimum interval between two watches of a
	// publisher. Publishers are few, so their calls cost little.
	publisherWatchIntervalMs clock.Millis = 400

	// maxRecentUpdates is the number of updates kept for VMs that subscribe shortly
	// after their own list.
	maxRecentUpdates = 32

	// maxRecentBytes bounds their keys and values. A VM that subscribes from before them lists
	// again.
	maxRecentBytes = 4 << 20
)

// Update carries the changes between two revisions of the store to a subscriber. If they
// are of different eras, it holds what differs between the two states, and fits only a
// subscriber that is exactly at From.
type Update struct {
	FromEra   uint64
	From      uint64
	Era       uint64 // 0 if the sender does not know of eras, or the store states none
	To        uint64
	Items     []store.Item
	Listed    bool // from a list: without the keys that were created after From and removed again
	StoreLost bool // the publisher has lost contact with the store
}

// PeerBody marks Update as the body of a message between VMs.
func (Update) PeerBody() {}

// Bytes returns the size of the keys and values.
func (u Update) Bytes() int {
	n := 0
	for _, it := range u.Items {
		n += len(it.Key) + len(it.Value)
	}
	return n
}

// subscribers holds the VMs that subscribe to this one, and the updates kept for them.
type subscribers struct {
	byID   map[string]subscriber
	recent []recentUpdate
}

// recentUpdate is an update that is kept.
type recentUpdate struct {
	Update
	bytes int // of its keys and values
}

// keep adds an update to the recent ones, and drops the oldest beyond the bounds.
func (s *subscribers) keep(u Update) {
	s.recent = append(s.recent, recentUpdate{Update: u, bytes: u.Bytes()})
	from, size := len(s.recent), 0
	for from > 0 && len(s.recent)-from < maxRecentUpdates && size+s.recent[from-1].bytes <= maxRecentBytes {
		from--
		size += s.recent[from].bytes
	}
	s.recent = slices.Clone(s.recent[from:]) // not the dropped ones' memory
}

type subscriber struct {
	expiresAt  clock.Millis
	compressed bool // reads compressed updates
}

// handleSubscribe records a subscription and immediately sends the changes that the
// subscriber has missed. A VM that cannot reach the store does not reply, so the
// subscriber tries another one.
func (m *Model) handleSubscribe(now clock.Millis, from string, s Subscribe, cmds []Cmd) []Cmd {
	m.subscribers.byID[from] = subscriber{expiresAt: now + subscriptionTTLMs, compressed: s.Compressed}
	cmds = m.enterEra(now, s.Era, cmds)
	if m.storeLost || !m.contacted || m.needRelist {
		return cmds
	}
	// A subscriber of an earlier release states no era and orders by revision alone.
	after := position{era: cmp.Or(s.Era, m.pos.era), revision: s.After}
	u := newUpdate(m.pos, m.pos, nil)
	for _, r := range slices.Backward(m.subscribers.recent) {
		if !after.isBefore(u.from()) {
			break
		}
		u.FromEra, u.From, u.Listed = r.FromEra, r.From, r.Listed
		u.Items = append(slices.Clone(r.Items), u.Items...)
	}
	u.Items = m.withoutSuperseded(u.Items)
	return append(cmds, PublishCmd{To: []string{from}, Update: u, Compressed: s.Compressed})
}

// publish sends an update to all subscribers.
func (m *Model) publish(u Update, cmds []Cmd) []Cmd {
	if n := len(m.subscribers.recent); u.StoreLost || u.crossesEras() || n > 0 && m.subscribers.recent[n-1].to() != u.from() {
		m.subscribers.recent = nil // the kept updates must be contiguous, and only the first may cross eras
	}
	if !u.StoreLost && u.from().isBefore(u.to()) && u.From > 0 { // excludes the first list, which is large
		m.subscribers.keep(u)
	}
	for _, compressed := range []bool{false, true} {
		var to []string
		for vm, sub := range m.subscribers.byID {
			if sub.compressed == compressed {
				to = append(to, vm)
			}
		}
		if len(to) > 0 {
			slices.Sort(to)
			cmds = append(cmds, PublishCmd{To: to, Update: u, Compressed: compressed})
		}
	}
	return cmds
}

// expireSubscribers deletes subscriptions that were not renewed in time.
func (m *Model) expireSubscribers(now clock.Millis) {
	for vm, sub := range m.subscribers.byID {
		if now >= sub.expiresAt {
			delete(m.subscribers.byID, vm)
		}
	}
}

// isPublisher reports whether other VMs subscribe to this one, or may do so soon.
func (m *Model) isPublisher() bool {
	return m.subscription.mayPublish || len(m.subscribers.byID) > 0
}
