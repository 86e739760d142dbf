package catalog

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// publisherWatchIntervalMs is the least time between two watches of a VM that feeds others.
	// These VMs are few, so their calls cost little.
	publisherWatchIntervalMs clock.Millis = 400

	// maxRecentUpdates is how many updates are kept for VMs that subscribe a little later
	// than they read the store.
	maxRecentUpdates = 32
)

// Update tells a follower what has changed between two revisions of the store.
type Update struct {
	From, To  uint64
	Items     []store.Item
	StoreLost bool // the sender has lost the store
}

// PeerBody marks messages between VMs.
func (Update) PeerBody() {}

// subscribers are the VMs that this one feeds.
type subscribers struct {
	expiresAt map[string]clock.Millis // when a subscription lapses
	recent    []Update
}

// handleSubscribe notes a follower and tells it at once what it has missed. A VM that
// does not reach the store itself does not answer, so the follower asks another.
func (m *Model) handleSubscribe(now clock.Millis, from string, s Subscribe, cmds []Cmd) []Cmd {
	m.subscribers.expiresAt[from] = now + subscriptionTTLMs
	if m.storeLost || !m.contacted || m.needRelist {
		return cmds
	}
	u := Update{From: m.revision, To: m.revision}
	for _, r := range slices.Backward(m.subscribers.recent) {
		if u.From <= s.After {
			break
		}
		u.From = r.From
		u.Items = append(slices.Clone(r.Items), u.Items...)
	}
	return append(cmds, PublishCmd{To: []string{from}, Update: u})
}

// publish passes an update on to all followers.
func (m *Model) publish(u Update, cmds []Cmd) []Cmd {
	if u.StoreLost || len(m.subscribers.recent) > 0 && m.subscribers.recent[len(m.subscribers.recent)-1].To != u.From {
		m.subscribers.recent = nil // what is kept must have no gap
	}
	if !u.StoreLost && u.To > u.From && u.From > 0 { // not the first read, which is large
		m.subscribers.recent = append(m.subscribers.recent, u)
		m.subscribers.recent = m.subscribers.recent[max(0, len(m.subscribers.recent)-maxRecentUpdates):]
	}
	if len(m.subscribers.expiresAt) == 0 {
		return cmds
	}
	to := make([]string, 0, len(m.subscribers.expiresAt))
	for vm := range m.subscribers.expiresAt {
		to = append(to, vm)
	}
	slices.Sort(to)
	if u.StoreLost {
		clear(m.subscribers.expiresAt)
	}
	return append(cmds, PublishCmd{To: to, Update: u})
}

// expireSubscribers forgets followers that have not renewed their subscription.
func (m *Model) expireSubscribers(now clock.Millis) {
	for vm, until := range m.subscribers.expiresAt {
		if now >= until {
			delete(m.subscribers.expiresAt, vm)
		}
	}
}

// isPublisher reports whether some VM is fed from here, or may be soon.
func (m *Model) isPublisher() bool {
	return m.subscription.mayPublish || len(m.subscribers.expiresAt) > 0
}
