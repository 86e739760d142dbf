package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

const (
	// subscribersPerPublisher bounds the VMs that one VM tells of changes. One that tells
	// 64 VMs about once a second sends less than the 3 KB/s that control may take.
	subscribersPerPublisher = 64

	// sparePublishers is how many further VMs a follower tries if its feeder is lost.
	sparePublishers = 2

	// subscribeTimeoutMs is how long a feeder may take to answer a subscription: a new
	// connection, and a turn of a busy VM.
	subscribeTimeoutMs clock.Millis = 300

	// renewIntervalMs is how often a subscription is renewed, and lapseMs when one that is
	// not renewed ends.
	renewIntervalMs   clock.Millis = 10 * clock.Second
	subscriptionTTLMs clock.Millis = 25 * clock.Second

	// publisherTimeoutMs is how long a feeder may say nothing. It reports every
	// sharedPaceMs + waitMs at the latest, and what follows from its loss
	// must fit into the users' 3 s for a change.
	publisherTimeoutMs clock.Millis = 1800

	// publisherBackoffMs is how long a feeder that was lost is not asked again.
	publisherBackoffMs clock.Millis = 10 * clock.Second
)

// Member is a VM of a group that shares what it reads of the store.
type Member struct {
	ID       string
	Capacity int // of the VM, on a scale that the group shares
}

// Publishers returns the VMs that self may subscribe to, best first, and whether
// others may subscribe to self. The first is empty for the VMs that follow the
// store themselves. The strongest do so, because a large configuration leaves them
// once for each follower. All VMs with the same list agree, and no VM subscribes to
// one that ranks below it, so subscriptions never form a cycle.
func Publishers(self string, group []Member) (publishers []string, mayPublish bool) {
	ranked := slices.Clone(group)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String("feeder/"+b.ID), xxhash.Sum64String("feeder/"+a.ID)), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, len(ranked))
	for i, m := range ranked {
		ids[i] = m.ID
	}
	watchers := (len(ids) + subscribersPerPublisher - 1) / subscribersPerPublisher
	rank := slices.Index(ids, self)
	if rank < 0 || len(ids) < 2 {
		return nil, false
	}
	mayPublish = rank < watchers+sparePublishers
	if rank < watchers {
		return nil, mayPublish
	}
	start := int(xxhash.Sum64String(self) % uint64(watchers))
	publishers = append(slices.Clone(ids[start:watchers]), ids[:start]...)
	publishers = publishers[:min(len(publishers), 1+sparePublishers)]
	return append(publishers, ids[watchers:min(rank, watchers+sparePublishers)]...), mayPublish
}

// Subscribe asks a VM for the changes after a revision.
type Subscribe struct{ After uint64 }

// PeerBody marks messages between VMs.
func (Subscribe) PeerBody() {}

// subscription is where this VM's changes come from while another VM feeds it.
type subscription struct {
	candidates   []string
	mayPublish   bool // other VMs may subscribe to this one
	backoffUntil map[string]clock.Millis
	publisher    string       // it has confirmed; "" while the store is followed here
	pending      string       // it was asked and has not confirmed
	subscribedAt clock.Millis // last subscription
	lastUpdateAt clock.Millis // last update
}

// replacesWatch reports whether a feeder makes a watch of this VM's own needless for now.
func (s *subscription) replacesWatch(now clock.Millis) bool {
	return s.publisher != "" || s.pending != "" && now < s.subscribedAt+subscribeTimeoutMs
}

// bestCandidate returns the first candidate that is not avoided.
func (s *subscription) bestCandidate(now clock.Millis) string {
	for _, vm := range s.candidates {
		if now >= s.backoffUntil[vm] {
			return vm
		}
	}
	return ""
}

// setCandidates takes over the VMs that may feed this one. A feeder that is no
// longer among them is heard until another one has confirmed, or it falls silent.
func (m *Model) setCandidates(now clock.Millis, msg PublishersMsg, cmds []Cmd) []Cmd {
	sub := &m.subscription
	sub.candidates, sub.mayPublish = msg.VMs, msg.MayPublish
	if sub.pending != "" && !slices.Contains(sub.candidates, sub.pending) {
		sub.pending = ""
	}
	if sub.publisher != "" && len(sub.candidates) == 0 {
		return m.publisherLost(now, sub.publisher, cmds)
	}
	return cmds
}

// publisherLost turns to another feeder, or back to the store. What the lost one
// knew and did not pass on is then found by a whole, fresh read. This VM's own
// followers stay: they would all turn to the next VM, which is about to do the same.
func (m *Model) publisherLost(now clock.Millis, vm string, cmds []Cmd) []Cmd {
	sub := &m.subscription
	if vm != sub.publisher && vm != sub.pending {
		return cmds
	}
	sub.backoffUntil[vm] = now + publisherBackoffMs
	sub.pending = ""
	if vm != sub.publisher {
		return cmds
	}
	sub.publisher = ""
	// Another feeder that knows what this VM has missed makes the read needless.
	m.needRelist, m.needFresh, m.nextCall = true, true, now
	if sub.bestCandidate(now) != "" {
		m.nextCall = now + subscribeTimeoutMs
	}
	return append(cmds, PublisherCmd{})
}

// subscribe asks the best candidate, and looks after the subscription.
func (m *Model) subscribe(now clock.Millis, cmds []Cmd) []Cmd {
	sub := &m.subscription
	switch {
	case sub.publisher != "" && now >= sub.lastUpdateAt+publisherTimeoutMs:
		cmds = m.publisherLost(now, sub.publisher, cmds)
	case sub.pending != "" && now >= sub.subscribedAt+subscribeTimeoutMs:
		cmds = m.publisherLost(now, sub.pending, cmds)
	}
	if !m.contacted {
		return cmds // a subscription starts from a revision
	}
	best := sub.bestCandidate(now)
	if best == "" || sub.pending != "" || best == sub.publisher && now < sub.subscribedAt+renewIntervalMs {
		return cmds
	}
	if best != sub.publisher {
		sub.pending = best
	}
	sub.subscribedAt = now
	return append(cmds, SubscribeCmd{To: best, Subscribe: Subscribe{After: m.revision}})
}

// handleUpdate takes what a feeder says.
func (m *Model) handleUpdate(now clock.Millis, from string, u Update, cmds []Cmd) []Cmd {
	sub := &m.subscription
	if from != sub.publisher && from != sub.pending {
		return cmds
	}
	if u.StoreLost {
		return m.publisherLost(now, from, cmds)
	}
	if from == sub.pending {
		sub.publisher, sub.pending = from, ""
		cmds = append(cmds, PublisherCmd{VM: from})
	}
	sub.lastUpdateAt = now
	cmds = m.storeReached(now, cmds)
	if u.From > m.revision {
		// Changes before those of the update are missing here. The update is not
		// applied, so that all later ones show the gap too, until a read has closed it.
		if !m.needRelist {
			m.needRelist, m.needFresh, m.nextCall = true, true, min(m.nextCall, now)
		}
		return cmds
	}
	m.needRelist, m.backoff = false, 0
	return m.applyChanges(now, u.Items, u.To, cmds)
}

// subscriptionWake returns when the feed needs a tick.
func (m *Model) subscriptionWake() (clock.Millis, bool) {
	sub := &m.subscription
	switch {
	case sub.pending != "":
		return sub.subscribedAt + subscribeTimeoutMs, true
	case sub.publisher != "":
		at := min(sub.lastUpdateAt+publisherTimeoutMs, sub.subscribedAt+renewIntervalMs)
		for _, vm := range sub.candidates {
			if vm == sub.publisher {
				break
			}
			at = min(at, sub.backoffUntil[vm])
		}
		return at, true
	}
	return 0, false
}
