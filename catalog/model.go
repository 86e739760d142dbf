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

	// waitMs bounds one watch. Silent connections are found by keep-alive
	// probes, so a watch may wait long.
	waitMs clock.Millis = 30 * clock.Second

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
}

// Option configures a Model.
type Option func(*Model)

// WithPace sets the least time between two watches. Each VM makes a call for
// each busy moment, so a large fleet with wider bounds takes a slower pace.
func WithPace(ms clock.Millis) Option {
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
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update applies msg at now and returns the commands that follow from it.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	var cmds []Cmd
	switch t := msg.(type) {
	case ListedMsg:
		cmds = m.heard(now, cmds)
		cmds = m.listed(now, t.Batch, cmds)
	case FollowedMsg:
		cmds = m.heard(now, cmds)
		cmds = m.followed(now, t.Batch, cmds)
	case FailedMsg:
		cmds = m.failed(now, t.Kind, cmds)
	case WokeMsg:
		m.relist = true
	case TickMsg:
	}
	cmds = m.dropMissing(now, cmds)
	return m.call(now, cmds)
}

// heard notes that the store answered.
func (m *Model) heard(now clock.Millis, cmds []Cmd) []Cmd {
	m.backoff = 0
	m.phase = phaseIdle
	if m.lost || !m.everHeard {
		cmds = append(cmds, ContactCmd{Reached: true})
		m.holdUntil = now + returnMs
	}
	m.nextCall = now + m.pace
	if now < m.holdUntil {
		m.nextCall = now + m.pace/returnShare
	}
	m.lost, m.everHeard = false, true
	return cmds
}

func (m *Model) failed(now clock.Millis, kind store.Kind, cmds []Cmd) []Cmd {
	m.phase = phaseIdle
	if kind == store.KindConflict { // the history is gone; the store itself answered
		m.relist, m.fresh = true, true
		m.nextCall = now
		return cmds
	}
	m.backoff = min(max(2*m.backoff, firstBackoffMs), maxBackoffMs)
	m.nextCall = now + m.backoff/2 + clock.Millis(m.rng.Int64N(int64(m.backoff/2)+1))
	// Events may have been lost with the answer, and a whole read is certain.
	m.relist = true
	if !m.lost {
		cmds = append(cmds, ContactCmd{Kind: kind})
	}
	m.lost = true
	return cmds
}

func (m *Model) listed(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	m.relist, m.fresh, m.listedAt = false, false, now
	// A watch is opened at once after a whole read: nothing is known to wait for.
	m.nextCall = now
	present := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		present[it.Key] = true
		cmds = m.put(it, cmds)
	}
	var absent []string
	for key := range m.items {
		if !present[key] {
			absent = append(absent, key)
		}
	}
	slices.Sort(absent)
	for _, key := range absent {
		m.remove(now, key)
	}
	m.revision = max(m.revision, b.Revision)
	return cmds
}

func (m *Model) followed(now clock.Millis, b store.Batch, cmds []Cmd) []Cmd {
	for _, it := range b.Items {
		if it.Removed {
			m.remove(now, it.Key)
			continue
		}
		cmds = m.put(it, cmds)
	}
	m.revision = max(m.revision, b.Revision)
	return cmds
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
		cmds = append(cmds, DropCmd{Key: key})
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
		return append(cmds, ListCmd{Stale: !m.fresh})
	}
	m.phase = phaseFollowing
	return append(cmds, FollowCmd{After: m.revision, WaitMs: waitMs})
}
