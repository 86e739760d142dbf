package catalog

import (
	"math/rand/v2"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Paces of the calls. Each call to the store has a price.
const (
	// defaultWatchIntervalMs gathers the events of a busy moment into one watch. It is a
	// small part of the users' bounds on drains and changes, which are 3 s and more.
	defaultWatchIntervalMs clock.Millis = 800

	// recoveryDivisor is the part of the pace while the store or this VM has just come
	// back: entries that lapsed are written again, and requests wait for them.
	recoveryDivisor = 4

	// watchWaitMs bounds one watch. A watch whose history is discarded while it waits is
	// told so only at its end, and what follows must fit into the users' 3 s for a
	// change. Each end without a change also tells followers that the store is reached.
	watchWaitMs = clock.Second

	// relistIntervalMs is the age at which everything is read again without a cause.
	relistIntervalMs clock.Millis = 2 * clock.Minute

	// Backoff of calls that fail. The longest keeps a change that was made during
	// an outage within its bound after the store is back.
	minBackoffMs clock.Millis = 250
	maxBackoffMs clock.Millis = 1000

	// recoveryGraceMs is how long after an outage a missing key is still believed:
	// entries that lapsed meanwhile are written again within about 2 s.
	recoveryGraceMs clock.Millis = 2500
)

type phase uint8

const (
	phaseIdle phase = iota // no call is open
	phaseListing
	phaseWatching
)

// Model is the state of what was read.
type Model struct {
	rng           *rand.Rand
	watchInterval clock.Millis // least time between two watches
	phase         phase
	needRelist    bool // the next call is a whole read
	needFresh     bool // it must be of the store's current state
	listedAt      clock.Millis
	nextCall      clock.Millis
	backoff       clock.Millis
	revision      uint64
	items         map[string]uint64 // revision of each key that is believed

	storeLost         bool
	contacted         bool
	holdRemovalsUntil clock.Millis            // removals are held until then
	pendingRemovals   map[string]clock.Millis // removals that are held

	subscription subscription
	subscribers  subscribers
}

// Option configures a Model.
type Option func(*Model)

// WithWatchInterval sets the least time between two watches. Each VM makes a call for
// each busy moment, so a large fleet with wider bounds takes a slower pace.
func WithWatchInterval(ms clock.Millis) Option {
	return func(m *Model) {
		if ms > 0 {
			m.watchInterval = ms
		}
	}
}

// New returns a Model that has read nothing. The seed spreads the retries of
// VMs that lost the store together.
func New(seed uint64, opts ...Option) *Model {
	m := &Model{
		rng: rand.New(rand.NewPCG(seed, seed)), watchInterval: defaultWatchIntervalMs, needRelist: true,
		items: make(map[string]uint64), pendingRemovals: make(map[string]clock.Millis),
		subscription: subscription{backoffUntil: make(map[string]clock.Millis)}, subscribers: subscribers{expiresAt: make(map[string]clock.Millis)},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update applies msg at now and returns the commands that follow from it.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	var cmds []Cmd
	m.expireSubscribers(now)
	switch t := msg.(type) {
	case ListedMsg:
		cmds = m.callSucceeded(now, cmds)
		cmds = m.handleList(now, t.Batch, cmds)
	case WatchedMsg:
		cmds = m.callSucceeded(now, cmds)
		cmds = m.handleWatch(now, t.Batch, cmds)
	case FailedMsg:
		cmds = m.callFailed(now, t.Kind, cmds)
	case PublishersMsg:
		cmds = m.setCandidates(now, t, cmds)
	case UpdateMsg:
		cmds = m.handleUpdate(now, t.From, t.Update, cmds)
	case SubscribeMsg:
		cmds = m.handleSubscribe(now, t.From, t.Subscribe, cmds)
	case PeerLostMsg:
		delete(m.subscribers.expiresAt, t.VM)
		cmds = m.publisherLost(now, t.VM, cmds)
	case TickMsg:
	}
	cmds = m.flushRemovals(now, cmds)
	cmds = m.subscribe(now, cmds)
	return m.startCall(now, cmds)
}

// callSucceeded notes that the store answered a call.
func (m *Model) callSucceeded(now clock.Millis, cmds []Cmd) []Cmd {
	m.backoff = 0
	m.phase = phaseIdle
	cmds = m.storeReached(now, cmds)
	interval := m.watchInterval
	if m.isPublisher() {
		interval = min(interval, publisherWatchIntervalMs)
	}
	m.nextCall = now + interval
	if now < m.holdRemovalsUntil {
		m.nextCall = now + interval/recoveryDivisor
	}
	return cmds
}

// storeReached notes that the store is reached, here or by the feeder.
func (m *Model) storeReached(now clock.Millis, cmds []Cmd) []Cmd {
	if m.storeLost || !m.contacted {
		cmds = append(cmds, StoreStatusCmd{Reachable: true})
	}
	if m.storeLost {
		m.holdRemovalsUntil = now + recoveryGraceMs
	}
	m.storeLost, m.contacted = false, true
	return cmds
}

func (m *Model) callFailed(now clock.Millis, kind store.Kind, cmds []Cmd) []Cmd {
	wasWatching := m.phase == phaseWatching
	m.phase = phaseIdle
	if kind == store.KindConflict { // the history is gone; the store itself answered
		m.needRelist, m.needFresh = true, true
		m.nextCall = now
		return cmds
	}
	firstFailure := m.backoff == 0
	m.backoff = min(max(2*m.backoff, minBackoffMs), maxBackoffMs)
	m.nextCall = now + m.backoff/2 + clock.Millis(m.rng.Int64N(int64(m.backoff/2)+1))
	m.needRelist = true
	if firstFailure && wasWatching {
		// The store cuts a waiting watch now and then. A whole read shows at once
		// whether it is still reached, and until then followers need not know.
		m.nextCall, m.needFresh = now, true
	}
	if m.subscription.publisher != "" {
		return cmds // the feeder reaches the store
	}
	if !m.storeLost {
		cmds = append(cmds, StoreStatusCmd{Kind: kind})
	}
	m.storeLost = true
	if firstFailure && wasWatching {
		return cmds
	}
	return m.publish(Update{StoreLost: true}, cmds)
}

func (m *Model) handleList(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	m.needRelist, m.needFresh, m.listedAt = false, false, now
	// A watch is opened at once after a whole read: nothing is known to wait for.
	m.nextCall = now
	present := make(map[string]bool, len(b.Items))
	var changed []store.Item
	for _, it := range b.Items {
		present[it.Key] = true
		if m.isNewer(it) {
			changed = append(changed, it)
		}
	}
	var absent []string
	for key, known := range m.items {
		// A stale read may be older than what is known of a key.
		if !present[key] && known <= b.Revision {
			absent = append(absent, key)
		}
	}
	slices.Sort(absent)
	for _, key := range absent {
		changed = append(changed, store.Item{Key: key, Revision: b.Revision, Removed: true})
	}
	return m.applyChanges(now, changed, b.Revision, cmds)
}

func (m *Model) handleWatch(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	if len(b.Items) == 0 {
		m.nextCall = now // nothing is known to come soon
	}
	return m.applyChanges(now, b.Items, b.Revision, cmds)
}

// applyChanges takes changes up to a revision and passes them on.
func (m *Model) applyChanges(now clock.Millis, items []store.Item, revision uint64, cmds []Cmd) []Cmd {
	for _, it := range items {
		if !it.Removed {
			cmds = m.putItem(it, cmds)
		} else if it.Revision >= m.items[it.Key] {
			m.holdRemoval(now, it.Key)
		}
	}
	from := m.revision
	m.revision = max(m.revision, revision)
	return m.publish(Update{From: from, To: m.revision, Items: items}, cmds)
}

// isNewer reports whether an item is newer than what is known of its key.
func (m *Model) isNewer(it store.Item) bool {
	known, ok := m.items[it.Key]
	_, missing := m.pendingRemovals[it.Key]
	return !ok || missing || it.Revision > known
}

// putItem reports an item that is newer than what is known of its key.
func (m *Model) putItem(it store.Item, cmds []Cmd) []Cmd {
	delete(m.pendingRemovals, it.Key)
	if known, ok := m.items[it.Key]; ok && it.Revision <= known {
		return cmds
	}
	m.items[it.Key] = it.Revision
	return append(cmds, PutCmd{Item: it})
}

// holdRemoval notes a removal; dropMissing reports it once it is believed.
func (m *Model) holdRemoval(now clock.Millis, key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	if _, ok := m.pendingRemovals[key]; !ok {
		m.pendingRemovals[key] = max(now, m.holdRemovalsUntil)
	}
}

func (m *Model) flushRemovals(now clock.Millis, cmds []Cmd) []Cmd {
	if m.storeLost {
		return cmds
	}
	var due []string
	for key, at := range m.pendingRemovals {
		if max(at, m.holdRemovalsUntil) <= now {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		delete(m.pendingRemovals, key)
		delete(m.items, key)
		cmds = append(cmds, DeleteCmd{Key: key})
	}
	return cmds
}

// startCall starts the next call if none is open and its time has come.
func (m *Model) startCall(now clock.Millis, cmds []Cmd) []Cmd {
	if m.phase != phaseIdle || now < m.nextCall {
		return cmds
	}
	if m.needRelist || now-m.listedAt >= relistIntervalMs {
		m.phase = phaseListing
		return append(cmds, ListCmd{AllowStale: !m.needFresh})
	}
	if m.subscription.replacesWatch(now) {
		return cmds
	}
	m.phase = phaseWatching
	return append(cmds, WatchCmd{After: m.revision, WaitMs: watchWaitMs})
}
