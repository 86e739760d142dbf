package vm

import (
	"math/rand/v2"
	"strconv"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/pool"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// orderSeqBit keeps the attempt identifiers of orders apart from those of queries.
const orderSeqBit uint64 = 1 << 63

// Core is the complete decision state of one VM: the state machines, the event
// ring and the open requests.
type Core struct {
	self        fleet.VM
	routing     Routing
	services    map[string]*service
	serviceList []*service // in configuration order, so that runs are reproducible
	upstreams   map[string]upstream.Upstream

	admission *admission.Controller
	queries   *query.Model
	pool      *pool.Model
	orders    *order.Model
	fleet     *fleet.Model
	balancer  *upstream.Balancer
	ring      *timeline.Ring
	carriers  *CarrierTable
	loads     carrierLoads
	handovers handovers

	preset          preset.Preset
	revision        uint64
	calls           map[uint64]*call
	openOrderCalls  map[string]uint64 // call of each open order, by order identifier
	forwards        *forwards
	rng             *rand.Rand
	stopping        bool
	drained         bool // the DrainFinished event was recorded
	liveVMCount     int
	orderSeq        uint64
	nextPoll        clock.Millis
	stallTimeout    clock.Millis
	nextStallCheck  clock.Millis
	unansweredPolls map[upstream.ID]bool // upstreams with an unanswered poll
	failedPolls     map[upstream.ID]int  // consecutive failed polls of leaving upstreams

	queue []any // queued messages between the state machines, in order
	cmds  []Cmd
}

// service is a configured service.
type service struct {
	name       string
	groups     int
	upstreams  []string
	overloaded bool
}

// call is one open query or order of a caller.
type call struct {
	query        QueryMsg
	order        OrderMsg
	isOrder      bool
	rank         rank.Rank
	service      string
	arrivedAt    clock.Millis
	budget       clock.Millis
	running      bool // admitted
	disconnected bool // its caller disconnected
	preset       string
	revision     uint64
}

// New returns a Core.
func New(opts ...Option) *Core {
	cfg := newConfig(opts)
	c := &Core{
		self: cfg.self, routing: cfg.routing, stallTimeout: cfg.stallTimeout,
		services: make(map[string]*service), upstreams: make(map[string]upstream.Upstream),
		ring:  timeline.NewRing(cfg.self.ID, cfg.ringEvents),
		calls: make(map[uint64]*call), openOrderCalls: make(map[string]uint64), forwards: newForwards(),
		rng: rand.New(rand.NewPCG(cfg.seed, cfg.self.Incarnation)), unansweredPolls: make(map[upstream.ID]bool),
		failedPolls: make(map[upstream.ID]int),
	}
	allUpstreams := c.addServices(cfg.services)
	c.balancer = upstream.New(upstream.WithUpstreams(allUpstreams), upstream.WithSeed(cfg.seed))
	c.queries = query.New(c.balancer, query.WithServices(cfg.services...), query.WithVM(cfg.self.ID, cfg.self.Incarnation))
	c.admission = admission.New(admissionOptions(cfg)...)
	c.pool = pool.New(poolOptions(allUpstreams)...)
	c.orders = order.New(
		order.WithSelf(cfg.self.ID, cfg.self.Incarnation),
		order.WithPicker(c.balancer.Pick), order.WithAttemptID(c.orderAttemptID),
	)
	c.fleet = fleet.New(fleet.WithSelf(cfg.self), fleet.WithSeed(cfg.seed),
		fleet.WithSeedVMs(cfg.seedVMs...), fleet.WithInitialRecord(cfg.initialRecord))
	ids := make([]string, len(allUpstreams))
	for i, u := range allUpstreams {
		ids[i] = string(u.ID)
	}
	c.carriers = NewCarrierTable(ids)
	c.loads = make(carrierLoads, len(ids))
	c.handovers.open = make(map[string]handover)
	return c
}

func (c *Core) addServices(list []upstream.Service) []upstream.Upstream {
	var allUpstreams []upstream.Upstream
	for _, svc := range list {
		s := &service{name: svc.Name, groups: len(svc.Groups)}
		for _, g := range svc.Groups {
			for _, u := range g.Replicas {
				s.upstreams = append(s.upstreams, string(u.ID))
				c.upstreams[string(u.ID)] = u
				allUpstreams = append(allUpstreams, u)
			}
		}
		c.services[svc.Name] = s
		c.serviceList = append(c.serviceList, s)
	}
	return allUpstreams
}

// unlimited is a limit, or an interval in ms, that is never reached.
const unlimited = 1 << 40

// admissionOptions sets the initial limit of each service to this VM's share of
// the connections. The limit may grow to all connections, because the load on
// the VMs is uneven.
func admissionOptions(cfg config) []admission.Option {
	var opts []admission.Option
	if cfg.admitAll {
		opts = append(opts, admission.WithAdjustInterval(unlimited)) // never adapts
	}
	for _, svc := range cfg.services {
		connections := 0
		for _, g := range svc.Groups {
			for _, u := range g.Replicas {
				connections += u.ConnectionLimit
			}
		}
		share := max(connections/max(cfg.fleetSize, 1), 2*len(svc.Groups))
		maxLimit := max(connections, share)
		if cfg.admitAll {
			share, maxLimit = unlimited, unlimited
		}
		opts = append(opts, admission.WithService(svc.Name, share, maxLimit))
	}
	return opts
}

func poolOptions(allUpstreams []upstream.Upstream) []pool.Option {
	opts := make([]pool.Option, 0, len(allUpstreams))
	for _, u := range allUpstreams {
		opts = append(opts, pool.WithUpstream(string(u.ID), 0))
	}
	return opts
}

func (c *Core) orderAttemptID() attempt.ID {
	c.orderSeq++
	return attempt.ID{VM: c.self.ID, Incarnation: c.self.Incarnation, Seq: c.orderSeq | orderSeqBit}
}

// Update handles one message and returns the commands to perform. The slice
// is valid until the next call.
func (c *Core) Update(now clock.Millis, msg Msg) []Cmd {
	c.cmds = c.cmds[:0]
	c.handle(now, msg)
	c.processQueue(now)
	return c.cmds
}

// processQueue passes queued messages to the state machines until the queue is
// empty.
func (c *Core) processQueue(now clock.Millis) {
	for i := 0; i < len(c.queue); i++ {
		switch m := c.queue[i].(type) {
		case query.Msg:
			c.handleQueryCmds(now, c.queries.Update(now, m))
		case pool.Msg:
			c.handlePoolCmds(now, c.pool.Update(now, m))
		case admission.Msg:
			c.handleAdmissionCmds(now, c.admission.Update(now, m))
		case order.Msg:
			c.handleOrderCmds(now, c.orders.Update(now, m))
		case fleet.Msg:
			c.handleFleetCmds(now, c.fleet.Update(now, m))
		}
		c.queue[i] = nil
	}
	c.queue = c.queue[:0]
}

func (c *Core) enqueue(msg any) { c.queue = append(c.queue, msg) }

func (c *Core) emit(cmd Cmd) { c.cmds = append(c.cmds, cmd) }

// event adds an event to the event ring. The state machines identify a request
// by its call ID. Callers and operators know only the ID that the caller chose,
// so event replaces the call ID by it.
func (c *Core) event(now clock.Millis, ev timeline.Event) {
	if n, err := strconv.ParseUint(ev.Request, 10, 64); err == nil {
		if cl := c.calls[n]; cl != nil {
			ev.Request = cl.id()
		}
	}
	if ev.Revision == 0 {
		ev.Revision = c.revision
	}
	c.emit(EventCmd{Event: c.ring.Add(now, ev)})
}

func (cl *call) id() string {
	if cl.isOrder {
		return cl.order.ID
	}
	return cl.query.ID
}

func callKey(n uint64) string { return strconv.FormatUint(n, 10) }
