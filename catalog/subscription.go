package catalog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

const (
	// subscribersPerPublisher bounds the VMs to which one VM sends changes. With 64
	// subscribers and about one update a second, it sends less than the 3 KB/s
	// allowed for control traffic.
	subscribersPerPublisher = 64

	// sparePublishers is the number of further VMs that a subscriber tries if it loses its publisher.
	sparePublishers = 2

	// subscribeTimeoutMs bounds the time for the first update after a subscription. It
	// allows for a new connection and the queueing delay of a busy VM.
	subscribeTimeoutMs clock.Millis = 300

	// renewIntervalMs is the interval at which a subscription is renewed, and
	// subscriptionTTLMs the time after which one that is not renewed expires.
	renewIntervalMs   clock.Millis = 10 * clock.Second
	subscriptionTTLMs clock.Millis = 25 * clock.Second

	// publisherTimeoutMs is the time without an update after which a publisher is
	// considered lost. A publisher sends one every publisherWatchIntervalMs +
	// watchWaitMs at the latest, and detection and recovery together must fit into
	// the 3 s that users allow for a change.
	publisherTimeoutMs clock.Millis = 1800

	// publisherBackoffMs is the time before a lost publisher is tried again.
	publisherBackoffMs clock.Millis = 10 * clock.Second
)

// Member is a VM of a group whose publishers share their store reads with the others.
type Member struct {
	ID       string
	Capacity int // relative capacity of the VM, in a unit common to the group
}

// Publishers returns the VMs that self may subscribe to, best first, and whether
// others may subscribe to self. The list is empty for the VMs that watch the store
// themselves. These are the VMs with the highest capacity, because they send a
// large configuration once to each subscriber. The result is the same on all VMs
// with the same group, and no VM subscribes to one that ranks below it, so
// subscriptions never form a cycle.
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
	watcherCount := (len(ids) + subscribersPerPublisher - 1) / subscribersPerPublisher
	rank := slices.Index(ids, self)
	if rank < 0 || len(ids) < 2 {
		return nil, false
	}
	mayPublish = rank < watcherCount+sparePublishers
	if rank < watcherCount {
		return nil, mayPublish
	}
	start := int(xxhash.Sum64String(self) % uint64(watcherCount))
	publishers = append(slices.Clone(ids[start:watcherCount]), ids[:start]...)
	publishers = publishers[:min(len(publishers), 1+sparePublishers)]
	return append(publishers, ids[watcherCount:min(rank, watcherCount+sparePublishers)]...), mayPublish
}

// Subscribe requests the changes after a revision from a publisher.
type Subscribe struct {
	Era        uint64 // 0 if the sender does not know of eras, or the store states none
	After      uint64 // revision of that era
	Compressed bool   // the sender reads compressed updates
}

// PeerBody marks Subscribe as the body of a message between VMs.
func (Subscribe) PeerBody() {}

// subscription is the state of this VM's subscription to a publisher.
type subscription struct {
	candidates   []string
	mayPublish   bool // whether other VMs may subscribe to this one
	backoffUntil map[string]clock.Millis
	publisher    string       // current publisher, which has confirmed; "" while this VM watches the store itself
	pending      string       // publisher that was sent a subscription and has not confirmed it
	subscribedAt clock.Millis // time of the last subscription or renewal
	lastUpdateAt clock.Millis // time of the last update from the publisher
}

// replacesWatch reports whether the subscription makes a store watch of this VM unnecessary for now.
func (s *subscription) replacesWatch(now clock.Millis) bool {
	return s.publisher != "" || s.pending != "" && now < s.subscribedAt+subscribeTimeoutMs
}

// bestCandidate returns the first candidate that is not in backoff, or "".
func (s *subscription) bestCandidate(now clock.Millis) string {
	for _, vm := range s.candidates {
		if now >= s.backoffUntil[vm] {
			return vm
		}
	}
	return ""
}

// setCandidates sets the candidate publishers. A current publisher that is no longer
// a candidate is used until another one has confirmed or its updates time out.
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

// publisherLost switches to another publisher, or back to the store. A watch
// then finds the changes that the lost publisher had not sent. This VM's own
// subscribers are kept: otherwise they would all switch to the next VM, which is
// about to lose the same publisher.
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
	// Another publisher that has the changes missed here makes the watch unnecessary.
	m.catchUp = true
	if m.backoff == 0 {
		m.nextCall = now
		if sub.bestCandidate(now) != "" {
			m.nextCall = now + subscribeTimeoutMs
		}
	}
	return append(cmds, PublisherCmd{})
}

// subscribe subscribes to the best candidate, renews the subscription and detects its timeouts.
func (m *Model) subscribe(now clock.Millis, cmds []Cmd) []Cmd {
	sub := &m.subscription
	switch {
	case sub.publisher != "" && now >= sub.lastUpdateAt+publisherTimeoutMs:
		cmds = m.publisherLost(now, sub.publisher, cmds)
	case sub.pending != "" && now >= sub.subscribedAt+subscribeTimeoutMs:
		cmds = m.publisherLost(now, sub.pending, cmds)
	}
	if m.pos.revision == 0 {
		return cmds // a subscription needs a revision to start from
	}
	candidate := sub.bestCandidate(now)
	if candidate == "" || sub.pending != "" || candidate == sub.publisher && now < sub.subscribedAt+renewIntervalMs {
		return cmds
	}
	if candidate != sub.publisher {
		sub.pending = candidate
	}
	sub.subscribedAt = now
	return append(cmds, SubscribeCmd{To: candidate, Subscribe: Subscribe{Era: m.pos.era, After: m.pos.revision, Compressed: true}})
}

// handleUpdate handles an update from a publisher.
func (m *Model) handleUpdate(now clock.Millis, from string, u Update, cmds []Cmd) []Cmd {
	sub := &m.subscription
	// A publisher that lost the store keeps its subscribers, and sends to them once it
	// reaches the store again.
	asked := from == sub.publisher || from == sub.pending
	returned := sub.publisher == "" && slices.Contains(sub.candidates, from)
	if !asked && !returned {
		return cmds
	}
	if u.StoreLost {
		m.doubted = true
		if from == sub.publisher {
			m.needRelist, m.needFresh = true, true // a watch that fails would be followed by a list
		}
		cmds = m.publisherLost(now, from, cmds)
		if m.backoff == 0 && asked {
			// The others have probably lost the store too, and say so sooner. Those that lose it again
			// and again delay the call once.
			m.nextCall = max(m.nextCall, now+clock.Millis(len(sub.candidates))*subscribeTimeoutMs)
		}
		return cmds
	}
	if u.Era == 0 && m.era > 0 {
		// A publisher of an earlier release does not notice that revisions have gone back.
		return m.publisherLost(now, from, cmds)
	}
	cmds = m.enterEra(now, u.Era, cmds)
	if u.Era < m.era {
		return cmds // the publisher is behind
	}
	if returned {
		sub.pending, sub.subscribedAt = from, now
	}
	if from == sub.pending {
		sub.publisher, sub.pending = from, ""
		cmds = append(cmds, PublisherCmd{VM: from})
	}
	sub.lastUpdateAt = now
	cmds = m.storeReached(now, cmds)
	u.Items = m.withoutOthers(u.Items)
	if !u.follows(m.pos) || u.crossesEras() && m.isAheadOfEra(u.Era) {
		// Changes that precede the update are missing here, or it may lack the removal of a
		// key that is known here. The update is not applied, so that all later updates show
		// the gap too, until a list has closed it.
		switch {
		case !m.needRelist:
			m.catchUp, m.nextCall = true, min(m.nextCall, now)
		case m.pos.era < m.era: // it would have led there
			m.nextCall = min(m.nextCall, now+clock.Millis(m.rng.Int64N(int64(crossingSpreadMs))))
		}
		return cmds
	}
	if m.needRelist {
		cmds = m.leavePass(now, false, cmds) // what it was to show is known now
	}
	m.needRelist, m.historyLost, m.catchUp, m.backoff, m.current = false, false, false, 0, true
	// Changes up to the known revision were applied before, or a removal followed them.
	if m.pos.era < u.Era {
		return m.crossEra(now, u, cmds)
	}
	news := slices.DeleteFunc(slices.Clone(u.Items), func(it store.Item) bool { return it.Revision <= m.pos.revision })
	return m.applyChanges(now, Update{Items: news, To: u.To, Listed: u.Listed}, cmds)
}

// subscriptionWake returns the time at which the subscription needs a tick, if any.
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
