package relay

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/budget"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/route"
)

// Model is the state of one VM.
type Model struct {
	cfg            config
	source         *rand.PCG // of rng
	rng            *rand.Rand
	readOnly       bool // it shares state with another Model, see Explain
	table          *route.Table
	splitter       *route.Splitter
	services       map[string]*service
	upstreams      map[string]*upstream
	evacuated      map[string]bool // data centres that are evacuated
	routeStats     map[string]*routeStats
	requests       map[uint64]*request
	parked         map[uint64]parkedRequest // by request
	attempts       map[uint64]*attempt
	notices        boundedMap[string, notice] // by upstream
	departures     departures
	timers         timers
	catchUpUntil   clock.Millis           // nothing overdue is repeated before this time
	peers          map[string]*peerVM     // the VMs of the fleet, by ID
	leftPeers      map[string]*peerVM     // VMs that left the list with open delegations from this one, by ID
	vmIDs          []string               // IDs of the VMs, sorted
	reaches        map[string]*reach      // paths to other data centres
	peersIn        map[string][]*peerVM   // the VMs by data centre
	inFleet        bool                   // this VM is in the list
	delegations    map[uint64]*delegation // open delegations to carriers, by ID
	resultLagMs    float64                // as peerVM.resultLagMs, over all carriers
	rotation       int
	selfIsCarrier  bool      // this VM was a carrier when carriers were last selected
	listedCarriers []*peerVM // of this VM's data centre while none is avoided; nil if not computed
	vmCount        int
	budgetLimit    BudgetMsg
	policies       policies
	shardShares    shares  // of the customers in the room of all shards
	meanRate       float64 // of the customers that have one; 0 if none has
	costs          costs
	now            clock.Millis // of the last Update
	nextID         uint64
	stopAt         clock.Millis // 0 while the VM is not stopping
	callersUntil   clock.Millis // while stopping: when no new callers are expected
	cmds           []Cmd
}

// New returns a Model without a configuration.
func New(opts ...Option) *Model {
	cfg := newConfig(opts)
	source := rand.NewPCG(cfg.seed, cfg.seed)
	return &Model{
		cfg: cfg, costs: newCosts(cfg.byCost), source: source, rng: rand.New(source), vmCount: cfg.vmCount, budgetLimit: cfg.budget,
		splitter: route.NewSplitter(), services: make(map[string]*service), upstreams: make(map[string]*upstream), evacuated: make(map[string]bool), reaches: make(map[string]*reach),
		routeStats: make(map[string]*routeStats), requests: make(map[uint64]*request), parked: make(map[uint64]parkedRequest), attempts: make(map[uint64]*attempt),
		notices: newBoundedMap[string, notice](maxNotices), departures: newDepartures(), peers: make(map[string]*peerVM), leftPeers: make(map[string]*peerVM), resultLagMs: initialLagMs, delegations: make(map[uint64]*delegation),
	}
}

// Update applies msg at now and returns the resulting commands. The slice is valid
// until the next call. Only a TickMsg runs the timers that are due: a late event loop
// handles the messages that wait in its queue first, so that no answer leaves out a reply
// that has already arrived.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.now = now
	clear(m.cmds)
	m.cmds = m.cmds[:0]
	switch t := msg.(type) {
	case TableMsg:
		m.setTable(now, t.Table)
	case UpstreamMsg:
		m.setUpstream(now, t)
	case UpstreamRemovedMsg:
		delete(m.departures.held, t.ID)
		m.removeUpstream(now, t.ID, t.Era)
	case ArrivalMsg:
		m.admit(now, t)
	case ReplyMsg:
		m.handleReply(now, t)
	case AttemptFailedMsg:
		m.handleAttemptFailure(now, t)
	case CallerDisconnectedMsg:
		m.handleCallerDisconnected(now, t.ID)
	case CreditMsg:
		m.handleCredit(now, t)
	case FleetMsg:
		m.setFleet(now, t.VMs)
	case DelegationAckMsg:
		m.handleAck(now, t)
	case DelegationResultMsg:
		m.handleResult(now, t)
	case DelegationNotSentMsg:
		m.handleNotSent(now, t)
	case PeerDisconnectedMsg:
		m.handlePeerDisconnected(now, t.VM)
	case BudgetMsg:
		m.setBudget(t)
	case EvacuationMsg:
		m.setEvacuation(now, t)
	case PresetMsg:
		m.setPreset(t.Preset)
	case StopMsg:
		m.stop(t)
	case TickMsg:
		m.runTimers(now)
	}
	return m.cmds
}

func (m *Model) setBudget(b BudgetMsg) {
	if b.WindowMs <= 0 {
		return
	}
	m.budgetLimit = b
	for _, s := range m.services {
		s.budget.SetLimit(budget.Limit(b))
	}
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) event(kind string, r *request, u *upstream, detail string, age clock.Millis) {
	ev := Event{Kind: kind, Detail: detail, AgeMs: age}
	if r != nil {
		ev.Request, ev.Route, ev.Version, ev.Customer = r.name, r.route.Name, r.version, r.customer
	}
	if u != nil {
		ev.Upstream = u.info.ID
	}
	m.emit(EventCmd{Event: ev})
}

func (m *Model) setTable(now clock.Millis, t *route.Table) {
	if m.table != nil && t.Version() <= m.table.Version() {
		return
	}
	m.table = t
	m.meanRate = meanRate(t)
	m.splitter.Prune(t)
	for _, s := range m.services {
		s.configure(t)
		s.isShard = t.IsShard(s.name)
		s.upstreamsChanged()
	}
	m.carriersChanged()
	m.assignWarmups(now)
	m.emit(EventCmd{Event: Event{Kind: "config_in_force", Version: t.Version()}})
}

// setUpstream applies an upstream's report. Reports of an earlier incarnation, or
// with a lower sequence number in the same one, are ignored: reports can arrive
// late, and a leaving upstream never accepts new work again.
func (m *Model) setUpstream(now clock.Millis, msg UpstreamMsg) {
	info := msg.Upstream
	u := m.upstreams[info.ID]
	if u == nil && m.holdReturned(now, &msg) {
		return
	}
	info = msg.Upstream
	if u != nil {
		old := u.info
		if info.isOlderThan(old) && !u.older.outvote(info) {
			if info.Leaving && info.Incarnation == old.Incarnation {
				m.markLeaving(u, "late report") // holds for the rest of the incarnation
			}
			return
		}
		u.older = olderReports{}
		restarted := info.Incarnation != old.Incarnation
		if !restarted && old.Leaving {
			info.Leaving = true
		}
		if restarted || old.Address != info.Address || old.Service != info.Service {
			m.detach(now, u)
			u = nil
		}
	}
	isNew := u == nil
	if isNew {
		u = &upstream{service: m.service(info.Service), hash: xxhash.Sum64String(info.ID), attemptWindow: maxAttemptWindow, latencyRatio: 1}
		m.upstreams[info.ID] = u
		u.service.upstreams = append(u.service.upstreams, u)
	}
	if info.Leaving && !u.info.Leaving {
		u.leavingAt = now
		m.emit(EventCmd{Event: Event{Kind: "upstream_leaving", Upstream: info.ID, Detail: info.Service}})
	}
	m.departures.newestIncarnation = max(m.departures.newestIncarnation, info.Incarnation)
	u.info, u.era, u.revision = info, msg.Era, msg.Revision
	u.evacuated = m.evacuated[info.DataCentre]
	u.service.upstreamsChanged()
	u.reportedAt = now
	m.setCold(now, u, now+info.ColdMs, false)
	m.applyNotice(u, m.notices.get(info.ID))
	if u.usable() {
		if isNew && u.service.assigned {
			m.preconnect(u)
		}
		m.dispatchQueued(now, u.service)
	}
}

func (m *Model) removeUpstream(now clock.Millis, id string, era uint64) {
	if u := m.upstreams[id]; u != nil {
		m.departures.record(now, u, era)
		delete(m.upstreams, id)
		m.detach(now, u)
		u.service.addDeparted(now, u)
		m.emit(EventCmd{Event: Event{Kind: "upstream_removed", Upstream: id, Detail: u.service.name}})
	}
}

// detach removes an upstream from its service. Its open attempts continue.
func (m *Model) detach(now clock.Millis, u *upstream) {
	u.removed = true
	u.service.upstreamsChanged()
	list := u.service.upstreams
	for i, o := range list {
		if o == u {
			u.service.upstreams = append(list[:i], list[i+1:]...)
			break
		}
	}
	m.emit(CloseIdleCmd{Upstream: u.info.ID})
	m.dispatchQueued(now, u.service)
}
