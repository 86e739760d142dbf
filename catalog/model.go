package catalog

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Intervals and delays of the store calls. Each call has a cost.
const (
	// defaultWatchIntervalMs is the minimum interval between two watches, which
	// collects the events of a burst in one watch. It is a small part of the bounds
	// that users set on drains and changes, which are 3 s and more.
	defaultWatchIntervalMs clock.Millis = 800

	// recoveryDivisor divides the watch interval just after contact with the store was
	// restored: expired entries are being rewritten, and requests wait for them.
	recoveryDivisor = 4

	// firstWatchWaitMs bounds the watch that follows a first list which may be stale. The
	// store replies at once if there are newer changes.
	firstWatchWaitMs clock.Millis = 1

	// watchWaitMs bounds one watch. If the store compacts the history of an open
	// watch, it reports this only when the watch ends, and the recovery must fit into the 3 s
	// that users allow for a change. A watch that ends without a change also
	// signals subscribers that the store is reachable.
	watchWaitMs = clock.Second

	// minWatchWaitMs is the least wait of a watch that follows an interval without a call. Its
	// wait is shorter by that interval, so that two contacts are less than minOutageMs apart
	// although the reply of the watch between them was lost.
	minWatchWaitMs clock.Millis = 200

	// probeWaitMs bounds the watch that shows whether the store is still reachable.
	probeWaitMs clock.Millis = 1

	// defaultSlackMs is the time for the reply of a watch after its wait, which takes a few hundred
	// milliseconds while the store is slow. A watch that got no reply must be noticed early,
	// because the store may cut it without a sign.
	defaultSlackMs clock.Millis = 500

	// relistIntervalMs is the age at which the last list is repeated even if no call has failed.
	relistIntervalMs clock.Millis = 2 * clock.Minute

	// Bounds of the backoff after failed calls. The maximum ensures that a change made
	// during an outage is read within its bound after the store recovers.
	minBackoffMs clock.Millis = 250
	maxBackoffMs clock.Millis = 1000

	// These bounds replace them on a VM with publishers, which send the changes once they
	// reach the store again.
	minSubscriberBackoffMs clock.Millis = 1000
	maxSubscriberBackoffMs clock.Millis = 2500

	// recoveryGraceMs is the time after an outage during which a missing key is kept:
	// entries that expired during the outage are rewritten within about 2 s.
	recoveryGraceMs clock.Millis = 2500

	// minOutageMs is the shortest outage in which the entry of an upstream can expire. It takes
	// three heartbeats, of which the first may have come just before the outage.
	minOutageMs = 2 * clock.Second
)

type phase uint8

const (
	phaseIdle phase = iota // no outstanding watch
	phaseWatching
	phaseProbing // a watch that does not wait, after one that failed
)

// Model holds the revisions of the known keys and the state of the store calls and subscriptions.
type Model struct {
	rng           *rand.Rand
	watchInterval clock.Millis // minimum interval between two watches
	superseded    func(key string) bool
	leased        func(key string) bool
	prefixes      []string // of the keys to read, in the order of the list
	phase         phase
	pass          *pass // nil if the list is not read
	passID        uint64
	needRelist    bool // a pass is needed
	needFresh     bool // the next one must not be stale
	historyLost   bool // the changes after pos can no longer be watched
	catchUp       bool // a watch is needed at once: changes may have been missed
	current       bool // everything up to the start of this Model is known
	listedAt      clock.Millis
	begunAt       clock.Millis // when the outstanding watch began
	waitMs        clock.Millis // that it may wait
	slackMs       clock.Millis // for its reply after that
	confirmedAt   clock.Millis // see ConfirmedAt
	confirmAt     clock.Millis // see ConfirmMsg
	nextCall      clock.Millis
	backoff       clock.Millis
	era           uint64           // newest era of the store that is known
	pos           position         // what is known of the store; its era is behind era until a list or an update has caught up
	callPos       position         // from which the outstanding watch continues
	items         map[string]known // the keys reported as present
	itemsEra      uint64           // of their revisions
	ahead         []store.Item     // changes after pos that were applied and are not published with a position yet
	republish     map[string]bool  // keys of which that is true in an earlier era than itemsEra

	storeLost         bool
	lossPublished     bool // the subscribers were told of the loss
	contacted         bool
	contactAt         clock.Millis       // last contact of this VM or its publisher with the store
	contactSince      clock.Millis       // see ContactSince
	doubted           bool               // a call has failed since
	probe             bool               // the next call is a probe
	historyEnded      bool               // since the last watch that succeeded
	resumeAt          clock.Millis       // no watch begins earlier, after one that was cut
	holdRemovalsUntil clock.Millis       // removals are not reported before this time
	holdLeasedUntil   clock.Millis       // those of keys under leases of VMs
	pendingRemovals   map[string]removal // removed keys that are not reported yet

	subscription subscription
	subscribers  subscribers
}

// known is what was last reported of a key.
type known struct {
	revision uint64 // in Model.itemsEra; 0 if it is known from an earlier one
	hash     uint64 // of the value
}

// removal is the removal of a key.
type removal struct {
	revision uint64       // of the store; the key did not exist at it
	reportAt clock.Millis // earliest time of the report
}

// Option configures a Model.
type Option func(*Model)

// WithWatchInterval sets the minimum interval between two watches. Each VM makes a
// call for each burst of events, so a large fleet with wider bounds uses a longer interval.
func WithWatchInterval(ms clock.Millis) Option {
	return func(m *Model) {
		if ms > 0 {
			m.watchInterval = ms
		}
	}
}

// WithSuperseded names the keys of which only the newest value counts. Changes that another
// one follows are left out of what the VMs send each other: a large configuration that is
// written several times a second would fill the links of the publishers.
func WithSuperseded(superseded func(key string) bool) Option {
	return func(m *Model) { m.superseded = superseded }
}

// WithPrefixes sets the prefixes of the keys to read, in the order in which a list reads them;
// none may begin with another. The first is read again and again during a list that no watch can
// follow, so it should have few keys. By default all keys are read.
func WithPrefixes(prefixes ...string) Option {
	return func(m *Model) {
		if len(prefixes) > 0 {
			m.prefixes = prefixes
		}
	}
}

// WithLeased names the keys that VMs write under leases. After the store has returned from
// an older copy, they are written again over some time.
func WithLeased(leased func(key string) bool) Option {
	return func(m *Model) { m.leased = leased }
}

// New returns an empty Model. The seed randomizes the backoff, so that VMs
// with different seeds that lost the store together do not retry together.
func New(seed uint64, opts ...Option) *Model {
	m := &Model{
		rng: rand.New(rand.NewPCG(seed, seed)), watchInterval: defaultWatchIntervalMs, needRelist: true,
		superseded: func(string) bool { return false }, leased: func(string) bool { return false }, prefixes: []string{""},
		items: make(map[string]known), republish: make(map[string]bool), pendingRemovals: make(map[string]removal),
		subscription: subscription{backoffUntil: make(map[string]clock.Millis)}, subscribers: subscribers{byID: make(map[string]subscriber)},
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
		cmds = m.handlePage(now, t, cmds)
	case PageBegunMsg: // no contact yet: it may be a refusal
		if m.pass.awaits(m, t.Page) {
			m.pass.arriving = true
		}
	case WatchedMsg:
		cmds = m.watchSucceeded(now, cmds)
		cmds = m.handleWatched(now, t.Batch, cmds)
	case FailedMsg:
		if t.Page != nil {
			cmds = m.pageFailed(now, *t.Page, t.Kind, cmds)
		} else {
			cmds = m.watchFailed(now, t.Kind, cmds)
		}
	case EraMsg:
		cmds = m.enterEra(now, t.Era, cmds)
	case PublishersMsg:
		cmds = m.setCandidates(now, t, cmds)
	case UpdateMsg:
		cmds = m.handleUpdate(now, t.From, t.Update, cmds)
	case SubscribeMsg:
		cmds = m.handleSubscribe(now, t.From, t.Subscribe, cmds)
	case PeerLostMsg:
		delete(m.subscribers.byID, t.VM)
		cmds = m.publisherLost(now, t.VM, cmds)
	case ResumedMsg:
		m.catchUp, m.nextCall = true, now
		if m.pass != nil {
			m.pass.expedite(now)
		}
		m.contactSince = now
		if !m.doubted {
			m.contactAt = now // it was this VM that stood still, not the store
		}
	case ConfirmMsg:
		m.confirmAt = t.At
	case TickMsg:
	}
	cmds = m.flushRemovals(now, cmds)
	cmds = m.subscribe(now, cmds)
	return m.startCalls(now, cmds)
}

// watchSucceeded records a watch that ended and schedules the next one.
func (m *Model) watchSucceeded(now clock.Millis, cmds []Cmd) []Cmd {
	m.backoff = 0
	m.phase = phaseIdle
	cmds = m.storeReached(now, cmds)
	m.pass.watchAnswered(now, m.begunAt, m.waitMs)
	m.scheduleCall(now)
	return cmds
}

// scheduleCall schedules the next call after one that succeeded.
func (m *Model) scheduleCall(now clock.Millis) {
	m.nextCall = now + m.callInterval()
	if now < m.holdRemovalsUntil {
		m.nextCall = now + m.callInterval()/recoveryDivisor
	}
}

// callInterval returns the minimum interval between two watches.
func (m *Model) callInterval() clock.Millis {
	if m.isPublisher() {
		return min(m.watchInterval, publisherWatchIntervalMs)
	}
	return m.watchInterval
}

func (m *Model) handleWatch(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	// After the first watch the owner sets the publishers, and a subscription makes the next
	// one unnecessary.
	if m.current && len(b.Items) == 0 {
		m.nextCall = max(now, m.resumeAt) // no burst of events is in progress
	}
	b.Items = m.withoutOthers(b.Items)
	switch {
	case m.watchFrom().isBefore(m.callPos): // the pass that was to show what precedes it has ended early
		m.nextCall = now
		return cmds
	case m.isBehindGap():
		return m.handleWatchBehindGap(now, b, cmds)
	}
	m.current, m.confirmedAt, m.historyEnded = true, m.begunAt, false
	return m.applyChanges(now, Update{Items: b.Items, To: b.Revision}, cmds)
}

// withoutOthers returns the items without those that other writers have put beside the keys to
// read.
func (m *Model) withoutOthers(items []store.Item) []store.Item {
	return slices.DeleteFunc(slices.Clone(items), func(it store.Item) bool {
		return !slices.ContainsFunc(m.prefixes, func(prefix string) bool { return strings.HasPrefix(it.Key, prefix) })
	})
}

// applyChanges applies the changes of an update from the revision known here, and publishes
// them.
func (m *Model) applyChanges(now clock.Millis, u Update, cmds []Cmd) []Cmd {
	u.Items = m.withoutSuperseded(u.Items)
	cmds = m.applyItems(now, u.Items, cmds)
	from := m.pos
	m.pos.revision = max(m.pos.revision, u.To)
	m.dropAhead()
	published := newUpdate(from, m.pos, u.Items)
	published.Listed = u.Listed
	return m.publish(published, cmds)
}

// applyItems applies the changes that are newer than what is known of their keys.
func (m *Model) applyItems(now clock.Millis, items []store.Item, cmds []Cmd) []Cmd {
	for _, it := range items {
		if !it.Removed {
			cmds = m.putItem(it, cmds)
		} else if it.Revision >= m.items[it.Key].revision {
			m.holdRemoval(now, it)
		}
	}
	return cmds
}

// withoutSuperseded returns the items without those of superseded keys that a later one
// follows.
func (m *Model) withoutSuperseded(items []store.Item) []store.Item {
	last := make(map[string]int)
	for i, it := range items {
		last[it.Key] = i
	}
	if len(last) == len(items) {
		return items
	}
	out := make([]store.Item, 0, len(items))
	for i, it := range items {
		if last[it.Key] == i || !m.superseded(it.Key) {
			out = append(out, it)
		}
	}
	return out
}

// isNewer reports whether an item of a list is news. A list may be older than what is
// known here; a key that it has and this Model does not was removed since.
func (m *Model) isNewer(it store.Item, listRevision uint64) bool {
	if k, ok := m.items[it.Key]; ok {
		return it.Revision > max(k.revision, m.pendingRemovals[it.Key].revision)
	}
	if m.pass != nil && it.Revision <= m.pass.removed[it.Key] {
		return false
	}
	if m.pos.era < m.itemsEra {
		return true
	}
	return listRevision >= m.pos.revision || it.Revision > m.pos.revision
}

// putItem reports an item if it is newer than the known revision of its key, and cancels a pending removal.
func (m *Model) putItem(it store.Item, cmds []Cmd) []Cmd {
	if r, ok := m.pendingRemovals[it.Key]; ok && it.Revision <= r.revision {
		return cmds
	}
	delete(m.pendingRemovals, it.Key)
	if k, ok := m.items[it.Key]; ok && it.Revision <= k.revision {
		return cmds
	}
	return m.reportItem(it, false, cmds)
}

// reportItem reports an item as present.
func (m *Model) reportItem(it store.Item, returned bool, cmds []Cmd) []Cmd {
	m.items[it.Key] = known{revision: it.Revision, hash: xxhash.Sum64(it.Value)}
	return append(cmds, PutCmd{Item: it, Era: m.itemsEra, Returned: returned})
}

// holdRemoval records a removal; flushRemovals reports it once the hold has ended.
func (m *Model) holdRemoval(now clock.Millis, it store.Item) {
	if _, ok := m.items[it.Key]; !ok {
		return
	}
	if _, ok := m.pendingRemovals[it.Key]; !ok {
		m.pendingRemovals[it.Key] = removal{revision: it.Revision, reportAt: max(now, m.holdUntil(it.Key))}
	}
}

func (m *Model) flushRemovals(now clock.Millis, cmds []Cmd) []Cmd {
	if m.keepsRemovals() {
		return cmds
	}
	var due []string
	for key, r := range m.pendingRemovals {
		if max(r.reportAt, m.holdUntil(key)) <= now {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		delete(m.pendingRemovals, key)
		delete(m.items, key)
		cmds = append(cmds, DeleteCmd{Key: key, Era: m.itemsEra})
	}
	return cmds
}

// keepsRemovals reports whether no removal is reported for now: the store is not reached, or its
// state in the newest era is not known.
func (m *Model) keepsRemovals() bool { return m.storeLost || m.doubted || m.itemsEra != m.era }

// awaitsConfirmation reports whether the owner has asked for a call that has not begun yet.
func (m *Model) awaitsConfirmation() bool { return m.confirmAt > m.confirmedAt }

// nextCallAt returns when the next call is due.
func (m *Model) nextCallAt() clock.Millis {
	if m.awaitsConfirmation() && !m.doubted && !m.needRelist {
		return min(m.nextCall, m.confirmAt)
	}
	return m.nextCall
}

// callDueAt returns when the next pass or watch is due.
func (m *Model) callDueAt(now clock.Millis) (clock.Millis, bool) {
	at := m.nextCallAt()
	subscribed := m.subscription.replacesWatch(now) && !m.catchUp
	switch p := m.pass; {
	case m.phase != phaseIdle:
		return 0, false
	case p == nil && m.needRelist:
		return at, true
	case p == nil && subscribed:
		return max(at, m.listedAt+relistIntervalMs), true
	case p == nil:
		return at, true
	case subscribed && !m.needRelist, !p.isWatchable(), m.storeLost && !p.probedByWatch():
		return 0, false
	}
	return max(at, m.pass.besideAt), true
}

// startCalls starts the store calls whose time has been reached: a pass, its next page, or a
// watch.
func (m *Model) startCalls(now clock.Millis, cmds []Cmd) []Cmd {
	due := func() bool {
		at, ok := m.callDueAt(now)
		return ok && now >= at
	}
	if m.pass == nil && due() && (m.needRelist || now-m.listedAt >= relistIntervalMs) {
		m.beginPass(now)
	}
	cmds = m.askPage(now, cmds)
	cmds = m.askRefresh(now, cmds)
	if !due() {
		return cmds
	}
	return m.startWatch(now, cmds)
}

func (m *Model) startWatch(now clock.Millis, cmds []Cmd) []Cmd {
	wait, slack := max(watchWaitMs-(now-m.contactAt), minWatchWaitMs), defaultSlackMs
	switch {
	case !m.current:
		wait = firstWatchWaitMs
	case m.awaitsConfirmation():
		wait = min(wait, max(m.confirmAt-now, probeWaitMs))
	}
	m.phase, m.callPos, m.begunAt = phaseWatching, m.watchFrom(), now
	if m.probe || m.storeLost || m.catchUp {
		m.phase, wait, m.catchUp = phaseProbing, probeWaitMs, false
	}
	if p := m.pass; p != nil {
		p.watched = p.watched || p.gap
		slack = p.slackMs()
	}
	m.waitMs, m.slackMs = wait, slack
	return append(cmds, WatchCmd{After: m.callPos.revision, WaitMs: wait, SlackMs: slack})
}
