package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// idleCheckMs is how often accounts that are no longer used are looked for.
const idleCheckMs = 10 * clock.Second

// returnDelayMs is how long returned credit waits for more, to be sent together.
const returnDelayMs clock.Millis = 50

// reportIntervalMs is the minimum time between two events of a kind about customers.
const reportIntervalMs = clock.Second

// job is work that is due at some time.
type job uint8

const (
	jobLinks job = iota
	jobHeld
	jobStore
	jobAccounts
	jobCount
)

// Model is the state of one VM.
type Model struct {
	cfg      config
	rng      *rand.Rand
	limited  bool // some customer has a limit
	stopping bool
	wakes    [jobCount]clock.Millis // when each job is due, 0 if it is not
	reported map[string]clock.Millis

	// This VM as one that needs credit.
	accounts map[string]*account // by customer
	waits    map[uint64]*account // by request
	links    map[string]*link    // by VM
	lastAsk  uint64

	// This VM as one that grants credit.
	buckets  map[string]*bucket  // main credit by customer
	reserves map[string]*reserve // by customer
	held     []heldAsk
	forwards map[uint64]forward // by the ID of the Ask to the owner

	// Who may grant credit.
	known       bool // what the store holds
	members     []member
	claims      [Groups]Claim  // as the store holds them
	revisions   [Groups]uint64 // of the claims
	rights      [Groups]right
	deputyCache [Groups][]member
	targetCache [Groups][]string
	deputySince [Groups]clock.Millis // since when this VM is a deputy, 0 if it is not
	freeSince   [Groups]clock.Millis // when a group without an owner was first asked for
	claimAfter  [Groups]clock.Millis
	declined    [Groups]clock.Millis // until when the holder of the claim counts as one that may grant nothing
	overtaken   [Groups]bool         // claimed before the end of an earlier claim was seen
	wanted      map[int]clock.Millis // groups to claim, and from when on

	// The store.
	lease        lease
	calls        storeCalls
	refusedLease store.LeaseID // of a claim from before this VM restarted, which has ended
	era          uint64
	eraSince     clock.Millis

	cmds []Cmd
}

// New returns a Model that knows no other VM.
func New(opts ...Option) *Model {
	cfg := newConfig(opts)
	rng := rand.New(rand.NewPCG(cfg.seed, cfg.seed))
	return &Model{
		cfg: cfg, rng: rng, lastAsk: rng.Uint64() >> 1, // answers to an earlier process have other IDs
		reported: make(map[string]clock.Millis),
		accounts: make(map[string]*account), waits: make(map[uint64]*account), links: make(map[string]*link),
		buckets: make(map[string]*bucket), reserves: make(map[string]*reserve), wanted: make(map[int]clock.Millis), forwards: make(map[uint64]forward),
	}
}

// Take uses credit that this VM holds for a customer. If there is none, an AcquireMsg asks
// for it.
func (m *Model) Take(now clock.Millis, customer string) bool {
	a := m.accounts[customer]
	if a == nil || a.next(now) != StateGranted {
		return false
	}
	a.take(now)
	a.countDemand(now)
	return true
}

// Update applies msg at now and returns the resulting commands. The slice is valid until the
// next call.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	clear(m.cmds)
	m.cmds = m.cmds[:0]
	switch t := msg.(type) {
	case AcquireMsg:
		m.acquire(now, t)
	case ReturnMsg:
		m.handleReturn(now, t.Customer)
	case CancelMsg:
		m.cancel(t.Request)
	case AskMsg:
		m.handleAsk(now, t.From, t.Ask)
	case GrantMsg:
		m.handleGrant(now, t.From, t.Grant)
	case UnreachableMsg:
		m.unreachable(now, t.VM)
	case FleetMsg:
		m.setFleet(now, t.VMs)
	case LimitedMsg:
		m.setLimited(now, t.Limited)
	case StopMsg:
		m.stopping = true
	case TickMsg:
		m.runJobs(now)
	default:
		m.updateStore(now, msg)
	}
	m.callStore(now)
	return m.cmds
}

// updateStore applies a message about the store.
func (m *Model) updateStore(now clock.Millis, msg Msg) {
	switch t := msg.(type) {
	case ClaimMsg:
		m.setClaim(now, t)
	case EraMsg:
		m.setEra(now, t.Era)
	case LeasedMsg:
		m.leased(now, t.Lease, t.TTL)
	case ClaimedMsg:
		m.claimed(now)
	case RenewedMsg:
		m.renewed(now, t.TTL)
	case FailedMsg:
		m.callFailed(now, t.Kind)
	case ResumedMsg:
		m.resume(now)
	}
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

// report logs an event about a customer, unless one of its kind was logged just before.
func (m *Model) report(now clock.Millis, kind string, a *account) {
	if at, ok := m.reported[kind]; ok && now < at+reportIntervalMs {
		return
	}
	m.reported[kind] = now
	m.emit(EventCmd{Event{Kind: kind, Group: a.group, Detail: a.limit.Customer}})
}

// inactive reports whether this VM may not be an owner.
func (m *Model) inactive() bool { return m.stopping || !m.limited }

func (m *Model) setLimited(now clock.Millis, limited bool) {
	started := limited && !m.limited
	m.limited = limited
	if started {
		m.markKnown(now)
		m.updateDeputies(now)
	}
}

// handleReturn returns the credit of a request that did not run.
func (m *Model) handleReturn(now clock.Millis, customer string) {
	if a := m.accounts[customer]; a != nil {
		a.giveBack(now, 1)
		m.wake(jobAccounts, now+returnDelayMs)
	}
}

// wake makes sure that a job runs at a time, or sooner.
func (m *Model) wake(j job, at clock.Millis) {
	if m.wakes[j] == 0 || at < m.wakes[j] {
		m.wakes[j] = max(at, 1)
	}
}

// runJobs runs the jobs that are due.
func (m *Model) runJobs(now clock.Millis) {
	for j := range jobCount {
		if m.wakes[j] == 0 || now < m.wakes[j] {
			continue
		}
		m.wakes[j] = 0
		switch j {
		case jobLinks:
			m.checkLinks(now)
		case jobHeld:
			m.answerHeld(now)
			m.expireForwards(now)
		case jobAccounts:
			m.checkAccounts(now)
		}
	}
}

// checkLinks stops waiting for the VMs that have not answered in time.
func (m *Model) checkLinks(now clock.Millis) {
	for _, vm := range sortedKeys(m.links) {
		l := m.links[vm]
		switch {
		case !l.open:
		case now < l.sentAt+askTimeoutMs:
			m.wake(jobLinks, l.sentAt+askTimeoutMs)
		default:
			m.giveUpOn(now, vm, l)
		}
	}
}

// checkAccounts returns the credit that has run out, and deletes what is no longer used.
func (m *Model) checkAccounts(now clock.Millis) {
	m.returnCredit(now)
	for name, a := range m.accounts {
		if a.idle(now) {
			delete(m.accounts, name)
		}
		for _, l := range a.lots {
			m.wake(jobAccounts, l.until)
		}
	}
	for name, b := range m.buckets {
		if b.full(now) {
			delete(m.buckets, name)
		}
	}
	for name, r := range m.reserves {
		if r.idle(now, m.cfg.bounds) {
			delete(m.reserves, name)
		}
	}
	if len(m.accounts)+len(m.buckets)+len(m.reserves) > 0 {
		m.wake(jobAccounts, now+idleCheckMs)
	}
}

func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	keys := make([]K, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
