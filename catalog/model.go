package catalog

import (
	"math/rand/v2"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// Paces of the calls. Each call to the store has a price.
const (
	// defaultPaceMs gathers the events of a busy moment into one watch. It is a
	// small part of the users' bounds on drains and changes, which are 3 s and more.
	defaultPaceMs clock.Millis = 800

	// returnShare is the part of the pace while the store or this VM has just come
	// back: entries that lapsed are written again, and requests wait for them.
	returnShare = 4

	// waitMs bounds one watch. A watch whose history is discarded while it waits is
	// told so only at its end, and what follows must fit into the users' 3 s for a
	// change. Each end without a change also tells followers that the store is reached.
	waitMs = clock.Second

	// relistMs is the age at which everything is read again without a cause.
	relistMs clock.Millis = 2 * clock.Minute

	// Backoff of calls that fail. The longest keeps a change that was made during
	// an outage within its bound after the store is back.
	firstBackoffMs clock.Millis = 250
	maxBackoffMs   clock.Millis = 1000

	// returnMs is how long after an outage a missing key is still believed:
	// entries that lapsed meanwhile are written again within about 2 s.
	returnMs clock.Millis = 2500
)

type phase uint8

const (
	phaseIdle phase = iota // no call is open
	phaseListing
	phaseFollowing
)

// Model is the state of what was read.
type Model struct {
	rng      *rand.Rand
	pace     clock.Millis // least time between two watches
	phase    phase
	relist   bool // the next call is a whole read
	fresh    bool // it must be of the store's current state
	listedAt clock.Millis
	nextCall clock.Millis
	backoff  clock.Millis
	revision uint64
	items    map[string]uint64 // revision of each key that is believed

	lost      bool
	everHeard bool
	holdUntil clock.Millis            // removals are held until then
	missing   map[string]clock.Millis // removals that are held

	feed      feed
	followers followers
}

// Option configures a Model.
type Option func(*Model)

// WithWatchInterval sets the least time between two watches. Each VM makes a call for
// each busy moment, so a large fleet with wider bounds takes a slower pace.
func WithWatchInterval(ms clock.Millis) Option {
	return func(m *Model) {
		if ms > 0 {
			m.pace = ms
		}
	}
}

// New returns a Model that has read nothing. The seed spreads the retries of
// VMs that lost the store together.
func New(seed uint64, opts ...Option) *Model {
	m := &Model{
		rng: rand.New(rand.NewPCG(seed, seed)), pace: defaultPaceMs, relist: true,
		items: make(map[string]uint64), missing: make(map[string]clock.Millis),
		feed: feed{avoided: make(map[string]clock.Millis)}, followers: followers{until: make(map[string]clock.Millis)},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update applies msg at now and returns the commands that follow from it.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	var cmds []Cmd
	m.lapse(now)
	switch t := msg.(type) {
	case ListedMsg:
		cmds = m.answered(now, cmds)
		cmds = m.listed(now, t.Batch, cmds)
	case WatchedMsg:
		cmds = m.answered(now, cmds)
		cmds = m.followed(now, t.Batch, cmds)
	case FailedMsg:
		cmds = m.failed(now, t.Kind, cmds)
	case PublishersMsg:
		cmds = m.setCandidates(now, t, cmds)
	case UpdateMsg:
		cmds = m.updated(now, t.From, t.Update, cmds)
	case SubscribeMsg:
		cmds = m.subscribed(now, t.From, t.Subscribe, cmds)
	case PeerLostMsg:
		delete(m.followers.until, t.VM)
		cmds = m.feederLost(now, t.VM, cmds)
	case TickMsg:
	}
	cmds = m.dropMissing(now, cmds)
	cmds = m.subscribe(now, cmds)
	return m.call(now, cmds)
}

// answered notes that the store answered a call.
func (m *Model) answered(now clock.Millis, cmds []Cmd) []Cmd {
	m.backoff = 0
	m.phase = phaseIdle
	cmds = m.contact(now, cmds)
	pace := m.pace
	if m.shares() {
		pace = min(pace, sharedPaceMs)
	}
	m.nextCall = now + pace
	if now < m.holdUntil {
		m.nextCall = now + pace/returnShare
	}
	return cmds
}

// contact notes that the store is reached, here or by the feeder.
func (m *Model) contact(now clock.Millis, cmds []Cmd) []Cmd {
	if m.lost || !m.everHeard {
		cmds = append(cmds, StoreStatusCmd{Reachable: true})
	}
	if m.lost {
		m.holdUntil = now + returnMs
	}
	m.lost, m.everHeard = false, true
	return cmds
}

func (m *Model) failed(now clock.Millis, kind store.Kind, cmds []Cmd) []Cmd {
	watch := m.phase == phaseFollowing
	m.phase = phaseIdle
	if kind == store.KindConflict { // the history is gone; the store itself answered
		m.relist, m.fresh = true, true
		m.nextCall = now
		return cmds
	}
	first := m.backoff == 0
	m.backoff = min(max(2*m.backoff, firstBackoffMs), maxBackoffMs)
	m.nextCall = now + m.backoff/2 + clock.Millis(m.rng.Int64N(int64(m.backoff/2)+1))
	m.relist = true
	if first && watch {
		// The store cuts a waiting watch now and then. A whole read shows at once
		// whether it is still reached, and until then followers need not know.
		m.nextCall, m.fresh = now, true
	}
	if m.feed.feeder != "" {
		return cmds // the feeder reaches the store
	}
	if !m.lost {
		cmds = append(cmds, StoreStatusCmd{Kind: kind})
	}
	m.lost = true
	if first && watch {
		return cmds
	}
	return m.share(Update{StoreLost: true}, cmds)
}

func (m *Model) listed(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	m.relist, m.fresh, m.listedAt = false, false, now
	// A watch is opened at once after a whole read: nothing is known to wait for.
	m.nextCall = now
	present := make(map[string]bool, len(b.Items))
	var changed []store.Item
	for _, it := range b.Items {
		present[it.Key] = true
		if m.news(it) {
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
	return m.apply(now, changed, b.Revision, cmds)
}

func (m *Model) followed(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	if len(b.Items) == 0 {
		m.nextCall = now // nothing is known to come soon
	}
	return m.apply(now, b.Items, b.Revision, cmds)
}

// apply takes changes up to a revision and passes them on.
func (m *Model) apply(now clock.Millis, items []store.Item, revision uint64, cmds []Cmd) []Cmd {
	for _, it := range items {
		if !it.Removed {
			cmds = m.put(it, cmds)
		} else if it.Revision >= m.items[it.Key] {
			m.remove(now, it.Key)
		}
	}
	from := m.revision
	m.revision = max(m.revision, revision)
	return m.share(Update{From: from, To: m.revision, Items: items}, cmds)
}

// news reports whether an item is newer than what is known of its key.
func (m *Model) news(it store.Item) bool {
	known, ok := m.items[it.Key]
	_, missing := m.missing[it.Key]
	return !ok || missing || it.Revision > known
}

// put reports an item that is newer than what is known of its key.
func (m *Model) put(it store.Item, cmds []Cmd) []Cmd {
	delete(m.missing, it.Key)
	if known, ok := m.items[it.Key]; ok && it.Revision <= known {
		return cmds
	}
	m.items[it.Key] = it.Revision
	return append(cmds, PutCmd{Item: it})
}

// remove notes a removal; dropMissing reports it once it is believed.
func (m *Model) remove(now clock.Millis, key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	if _, ok := m.missing[key]; !ok {
		m.missing[key] = max(now, m.holdUntil)
	}
}

func (m *Model) dropMissing(now clock.Millis, cmds []Cmd) []Cmd {
	if m.lost {
		return cmds
	}
	var due []string
	for key, at := range m.missing {
		if max(at, m.holdUntil) <= now {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due {
		delete(m.missing, key)
		delete(m.items, key)
		cmds = append(cmds, DeleteCmd{Key: key})
	}
	return cmds
}

// call starts the next call if none is open and its time has come.
func (m *Model) call(now clock.Millis, cmds []Cmd) []Cmd {
	if m.phase != phaseIdle || now < m.nextCall {
		return cmds
	}
	if m.relist || now-m.listedAt >= relistMs {
		m.phase = phaseListing
		return append(cmds, ListCmd{AllowStale: !m.fresh})
	}
	if m.feed.waits(now) {
		return cmds
	}
	m.phase = phaseFollowing
	return append(cmds, WatchCmd{After: m.revision, WaitMs: waitMs})
}
