package catalog

import (
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// sharedPaceMs is the least time between two watches of a VM that feeds others.
	// These VMs are few, so their calls cost little.
	sharedPaceMs clock.Millis = 400

	// recentLen is how many updates are kept for VMs that subscribe a little later
	// than they read the store.
	recentLen = 32
)

// Update tells a follower what has changed between two revisions of the store.
type Update struct {
	From, To  uint64
	Items     []store.Item
	StoreLost bool // the sender has lost the store
}

// PeerBody marks messages between VMs.
func (Update) PeerBody() {}

// followers are the VMs that this one feeds.
type followers struct {
	until  map[string]clock.Millis // when a subscription lapses
	recent []Update
}

// subscribed notes a follower and tells it at once what it has missed. A VM that
// does not reach the store itself does not answer, so the follower asks another.
func (m *Model) subscribed(now clock.Millis, from string, s Subscribe, cmds []Cmd) []Cmd {
	m.followers.until[from] = now + lapseMs
	if m.lost || !m.everHeard || m.relist {
		return cmds
	}
	u := Update{From: m.revision, To: m.revision}
	for _, r := range slices.Backward(m.followers.recent) {
		if u.From <= s.After {
			break
		}
		u.From = r.From
		u.Items = append(slices.Clone(r.Items), u.Items...)
	}
	return append(cmds, PublishCmd{To: []string{from}, Update: u})
}

// share passes an update on to all followers.
func (m *Model) share(u Update, cmds []Cmd) []Cmd {
	if u.StoreLost || len(m.followers.recent) > 0 && m.followers.recent[len(m.followers.recent)-1].To != u.From {
		m.followers.recent = nil // what is kept must have no gap
	}
	if !u.StoreLost && u.To > u.From && u.From > 0 { // not the first read, which is large
		m.followers.recent = append(m.followers.recent, u)
		m.followers.recent = m.followers.recent[max(0, len(m.followers.recent)-recentLen):]
	}
	if len(m.followers.until) == 0 {
		return cmds
	}
	to := make([]string, 0, len(m.followers.until))
	for vm := range m.followers.until {
		to = append(to, vm)
	}
	slices.Sort(to)
	if u.StoreLost {
		clear(m.followers.until)
	}
	return append(cmds, PublishCmd{To: to, Update: u})
}

// lapse forgets followers that have not renewed their subscription.
func (m *Model) lapse(now clock.Millis) {
	for vm, until := range m.followers.until {
		if now >= until {
			delete(m.followers.until, vm)
		}
	}
}

// shares reports whether some VM is fed from here, or may be soon.
func (m *Model) shares() bool {
	return m.feed.feeds || len(m.followers.until) > 0
}
