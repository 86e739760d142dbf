package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// Simulation replays a load in virtual time on VMs with a relay.Model each,
// upstreams with slots, queues and pauses, and callers.
type Simulation struct {
	now           clock.Millis
	rng           *rand.Rand
	events        events
	seq           int
	vms           []*relay.Model
	upstreams     map[string]*upstream
	routes        []route.Route
	openRequests  map[uint64]*callerRequest
	nextID        uint64
	outcomes      map[string]*Outcome   // by route
	extraArrivals map[string]int        // attempts beyond the first one per request, by service
	requestCounts map[string]int        // requests that need a service, by service
	arrived       map[string]bool       // service and request name of the attempts that arrived
	started       map[string]bool       // names of the requests that some upstream began to execute
	violations    []string              // violated guarantees
	delegations   map[uint64]delegation // open delegations, by the carrier's request number
	requestNames  map[uint64]string     // by the number of the request or delegation
	urgent        map[string]bool       // by request name
	ranOn         map[string][]string   // upstreams that began to execute a request, by service and request name
	dead          map[int]bool          // VMs that were killed
	gathered      map[int]int           // delegations received, by VM
	evacuated     []string              // by VM: the data centre that it knows to be evacuated
	fleet         []relay.VM
	busyUntil     []float64               // by VM: when its processor has done all work so far
	slowness      []float64               // by VM: multiplies its processor time
	cut           map[link]bool           // links between data centres that lose everything
	brokenAt      map[[2]int]clock.Millis // when the stream between two VMs broke
	closed        string                  // data centre that gets no callers
	size          Size
}

// delegation identifies the VM that delegated work and its number for the delegation.
type delegation struct {
	vm int
	id uint64
}

const (
	startMs  clock.Millis = 1000
	oneWayMs clock.Millis = 1 // one-way delay between a VM and an upstream or another VM
)

var dataCentres = []string{"a", "b", "c"}

// Size is the size of an installation.
type Size struct {
	VMs, Shards, Replicas int
	Budget                relay.BudgetMsg

	CPUMilli        int     // of each VM, in thousandths of a core; 0 if not known
	StrongVMs       int     // of the VMs, which have strongCPUMilli
	Processors      bool    // work takes processor time on the VMs
	Customers       int     // whose callers send keys
	TwoRanks        bool    // of customers
	WarmupPerSecond float64 // requests that a cold upstream bears; 0 for no bound

	// ByCost lets the VMs place requests by their expected cost.
	ByCost bool

	// Independent disables cooperation and extra attempts: each VM gathers all shards itself and sends nothing twice.
	Independent bool
}

// Today and Grown are the current and the expected size of the users' installations.
var (
	Today = Size{VMs: 9, Shards: 20, Replicas: 2, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second}}
	Grown = Size{VMs: 24, Shards: 90, Replicas: 3, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 166, WindowMs: 10 * clock.Second}}

	// Spread has so many VMs that most of them gather for no one.
	Spread = Size{VMs: 77, Shards: 90, Replicas: 3, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 194, WindowMs: 10 * clock.Second}}
)

// connections returns how many connections an upstream accepts.
func (s Size) connections() int {
	const today, large = 26, 60
	if s.VMs > Grown.VMs {
		return large
	}
	return today
}

// strongCPUMilli is the processor share of the strong VMs of a size, in thousandths of a core.
const strongCPUMilli = 800

// New returns a simulation with VMs spread over three data centres and shards whose
// replicas are in different data centres.
func New(seed uint64, size Size) *Simulation {
	vms, shards, budget := size.VMs, size.Shards, size.Budget
	if size.Independent {
		budget.Ratio, budget.Extra = 0, 0
	}
	w := &Simulation{
		cut: make(map[link]bool), brokenAt: make(map[[2]int]clock.Millis),
		now: startMs, rng: rand.New(rand.NewPCG(seed, seed)), upstreams: make(map[string]*upstream), openRequests: make(map[uint64]*callerRequest),
		outcomes: make(map[string]*Outcome), extraArrivals: make(map[string]int), requestCounts: make(map[string]int), size: size,
		arrived: make(map[string]bool), started: make(map[string]bool), delegations: make(map[uint64]delegation), requestNames: make(map[uint64]string), urgent: make(map[string]bool), ranOn: make(map[string][]string), dead: make(map[int]bool), gathered: make(map[int]int),
	}
	names := make([]string, shards)
	for s := range shards {
		names[s] = fmt.Sprintf("s%d", s)
		for r := range size.Replicas {
			id := fmt.Sprintf("u%d-%d", s, r)
			w.upstreams[id] = &upstream{info: relay.Upstream{
				ID: id, Service: names[s], Address: id, DataCentre: dataCentres[(s+r)%3], Slots: 2,
			}, slots: 2, queueCap: 12, factor: 1}
		}
	}
	w.routes = []route.Route{
		{Name: "urgent", Host: "h", Prefix: "/u/", Gather: names, Idempotent: true, TimeoutMs: 400, TargetMs: 50, Priority: 0, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.75},
		{Name: "ordinary", Host: "h", Prefix: "/o/", Gather: names, Idempotent: true, TimeoutMs: 800, TargetMs: 150, Priority: 1, MaxAttempts: 2, TopK: 10, MinShardRatio: 0.89},
	}
	services := make([]route.Service, shards)
	for i, n := range names {
		services[i] = route.Service{Name: n, MaxConnections: size.connections(), WarmupPerSecond: size.WarmupPerSecond, WarmupMs: warmupMs}
	}
	table := route.NewTable(route.Config{Version: 1, Customers: customersOf(size.Customers, size.TwoRanks), Routes: w.routes, Services: services})
	var fleet []relay.VM
	for i := range vms {
		v := relay.VM{ID: fmt.Sprintf("vm%d", i), Address: fmt.Sprint(i), DataCentre: dataCentres[i%3], CPUMilli: size.CPUMilli}
		if i < size.StrongVMs {
			v.CPUMilli = strongCPUMilli
		}
		fleet = append(fleet, v)
	}
	w.busyUntil, w.slowness = make([]float64, vms), make([]float64, vms)
	for i := range w.slowness {
		w.slowness[i] = 1
	}
	w.fleet, w.evacuated = fleet, make([]string, vms)
	for i := range vms {
		m := relay.New(relay.WithSeed(seed+uint64(i)), relay.WithSelf(fleet[i].ID, fleet[i].DataCentre), relay.WithBudget(budget), relay.WithPlacingByCost(size.ByCost))
		w.vms = append(w.vms, m)
		w.update(i, relay.TableMsg{Table: table})
		for _, id := range w.sortedUpstreamIDs() {
			w.update(i, relay.UpstreamMsg{Upstream: w.upstreams[id].info})
		}
		if !size.Independent {
			w.update(i, relay.FleetMsg{VMs: fleet})
		}
	}
	return w
}

// Outcome returns the counts of a route.
func (w *Simulation) Outcome(route string) *Outcome { return w.outcomes[route] }

// Violations returns the violated guarantees: wrong answers, requests without an
// answer, and extra arrivals beyond the budget.
func (w *Simulation) Violations() []string {
	out := slices.Clone(w.violations)
	windows := float64(w.now-startMs) / float64(w.size.Budget.WindowMs)
	for s, n := range w.extraArrivals {
		if limit := w.size.Budget.Ratio*float64(w.requestCounts[s]) + windows*w.size.Budget.Extra; float64(n) > limit {
			out = append(out, fmt.Sprintf("service %s got %d extra arrivals for %d requests, want at most %.0f", s, n, w.requestCounts[s], limit))
		}
	}
	if n := len(w.openRequests); n != 0 {
		out = append(out, fmt.Sprintf("%d requests have no answer", n))
	}
	slices.Sort(out)
	return out
}

func (w *Simulation) sortedUpstreamIDs() []string {
	var ids []string
	for s, r := 0, 0; ; {
		id := fmt.Sprintf("u%d-%d", s, r)
		switch {
		case w.upstreams[id] != nil:
			ids = append(ids, id)
			r++
		case r == 0:
			return ids
		default:
			s, r = s+1, 0
		}
	}
}

func (w *Simulation) at(t clock.Millis, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.seq, callback: run})
}

func (w *Simulation) runUntil(end clock.Millis) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.callback()
	}
	w.now = end
}

// update passes a message to a VM, once its processor has time for it.
func (w *Simulation) update(vm int, msg relay.Msg) {
	if !w.size.Processors {
		w.handle(vm, msg)
		return
	}
	arrived := w.now
	w.at(w.occupy(vm, workOf(msg)), func() {
		if a, ok := msg.(relay.ArrivalMsg); ok {
			a.WaitedMs = w.now - arrived
			msg = a
		}
		w.handle(vm, msg)
	})
}

// handle passes a message to a VM and performs its commands.
func (w *Simulation) handle(vm int, msg relay.Msg) {
	if w.dead[vm] {
		return
	}
	m := w.vms[vm]
	cmds := append([]relay.Cmd(nil), m.Update(w.now, msg)...)
	for _, c := range cmds {
		w.perform(vm, c)
	}
	if at, ok := m.NextWake(); ok {
		w.at(at, func() {
			if next, ok := m.NextWake(); ok && next <= w.now {
				w.update(vm, relay.TickMsg{})
			}
		})
	}
}

func (w *Simulation) perform(vm int, c relay.Cmd) {
	here := w.fleet[vm].DataCentre
	switch c := c.(type) {
	case relay.SendCmd:
		if w.size.Processors {
			w.occupy(vm, attemptWorkMs)
		}
		w.checkEvacuated(vm, c)
		if !w.pass(here, w.upstreams[c.Upstream].info.DataCentre, func() { w.receive(vm, c) }) {
			w.loseAttempt(vm, c.Attempt)
		}
	case relay.CancelCmd:
		w.at(w.now+oneWayMs, func() { w.cancel(vm, c.Attempt) })
	case relay.AnswerCmd:
		w.deliverAnswer(vm, c.ID, relay.DelegationResult{Answer: c.Answer, ExpectedMs: c.ExpectedMs, Throttled: c.Throttled})
	case relay.PartialResultCmd:
		w.deliverAnswer(vm, c.ID, relay.DelegationResult{Answer: c.Answer, Partial: true, ExpectedMs: c.ExpectedMs, Throttled: c.Throttled})
	case relay.DelegateCmd:
		w.nextID++
		id, to := w.nextID, w.vmIndex(c.To)
		w.delegations[id] = delegation{vm, c.Delegation.ID}
		w.requestNames[id] = c.Delegation.Name
		if !w.pass(here, w.fleet[to].DataCentre, func() {
			d := c.Delegation
			w.gathered[to]++
			w.update(to, relay.ArrivalMsg{ID: id, Name: d.Name, Delegation: &d})
		}) {
			w.loseDelegation(vm, to, c.Delegation.ID)
		}
	case relay.AckDelegationCmd:
		d := w.delegations[c.ID]
		w.pass(here, w.fleet[d.vm].DataCentre, func() { w.update(d.vm, relay.DelegationAckMsg{From: w.vmName(vm), ID: d.id}) })
	case relay.CancelDelegationCmd:
		to := w.vmIndex(c.To)
		for id, d := range w.delegations {
			if d.vm == vm && d.id == c.ID {
				w.pass(here, w.fleet[to].DataCentre, func() { w.update(to, relay.CallerDisconnectedMsg{ID: id}) })
			}
		}
	}
}

func (w *Simulation) vmName(i int) string { return fmt.Sprintf("vm%d", i) }

func (w *Simulation) vmIndex(name string) int {
	for i := range w.vms {
		if w.vmName(i) == name {
			return i
		}
	}
	return -1
}

// deliverAnswer passes an answer to the caller, or a result to the VM that delegated the work.
func (w *Simulation) deliverAnswer(vm int, id uint64, result relay.DelegationResult) {
	if d, ok := w.delegations[id]; ok {
		result.ID = d.id
		if !result.Partial {
			delete(w.delegations, id)
		}
		w.pass(w.fleet[vm].DataCentre, w.fleet[d.vm].DataCentre, func() { w.update(d.vm, relay.DelegationResultMsg{From: w.vmName(vm), Result: result}) })
		return
	}
	a := w.openRequests[id]
	if a == nil {
		w.violations = append(w.violations, fmt.Sprintf("request %d has more than one answer", id))
		return
	}
	delete(w.openRequests, id)
	w.at(w.now+callerOneWayMs, func() { w.handleAnswer(a, w.requestNames[id], result.Answer) })
}
