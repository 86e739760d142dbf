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

// Simulation replays a load in virtual time: VMs with a relay.Model each, upstreams
// with slots, queues and pauses, and callers.
type Simulation struct {
	now    clock.Millis
	rng    *rand.Rand
	events events
	seq    int
	vms    []*relay.Model
	ups    map[string]*server
	routes []route.Route
	asked  map[uint64]*asked
	nextID uint64
	result map[string]*Outcome // by route
	extra  map[string]int      // arrivals beyond the first, by service
	needed map[string]int
	first  map[string]bool // service and caller's identifier that have arrived
	ran    map[string]bool // caller's identifiers that some upstream began
	wrong  []string        // broken promises
	hands  map[uint64]hand // groups that a carrier works on, by its own number
	names  map[uint64]string
	urgent map[string]bool
	size   Size
}

// hand says who handed a group over, and under which number.
type hand struct {
	vm    int
	group uint64
}

const (
	startMs clock.Millis = 1000
	wayMs   clock.Millis = 1 // one way between a VM and an upstream or another VM
)

// Size is the size of an installation.
type Size struct {
	VMs, Shards, Replicas int
	Budget                relay.BudgetMsg

	// Independent leaves every VM to itself: it gathers all shards, and sends nothing twice.
	Independent bool
}

// Today and Grown are the sizes of the users' installations.
var (
	Today = Size{VMs: 9, Shards: 20, Replicas: 2, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second}}
	Grown = Size{VMs: 24, Shards: 90, Replicas: 3, Budget: relay.BudgetMsg{Ratio: 0.2, Extra: 166, WindowMs: 10 * clock.Second}}
)

// New returns VMs spread over three data centres, and shards whose replicas are
// each in another one.
func New(seed uint64, size Size) *Simulation {
	vms, shards, budget := size.VMs, size.Shards, size.Budget
	if size.Independent {
		budget.Ratio, budget.Extra = 0, 0
	}
	w := &Simulation{
		now: startMs, rng: rand.New(rand.NewPCG(seed, seed)), ups: make(map[string]*server), asked: make(map[uint64]*asked),
		result: make(map[string]*Outcome), extra: make(map[string]int), needed: make(map[string]int), size: size,
		first: make(map[string]bool), ran: make(map[string]bool), hands: make(map[uint64]hand), names: make(map[uint64]string), urgent: make(map[string]bool),
	}
	names := make([]string, shards)
	centres := []string{"a", "b", "c"}
	for s := range shards {
		names[s] = fmt.Sprintf("s%d", s)
		for r := range size.Replicas {
			id := fmt.Sprintf("u%d-%d", s, r)
			w.ups[id] = &server{up: relay.Upstream{
				ID: id, Service: names[s], Address: id, DataCentre: centres[(s+r)%3], Slots: 2,
			}, slots: 2, queueCap: 12, factor: 1}
		}
	}
	w.routes = []route.Route{
		{Name: "urgent", Host: "h", Prefix: "/u/", Gather: names, Idempotent: true, TimeoutMs: 400, TargetMs: 50, Priority: 0, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.75},
		{Name: "ordinary", Host: "h", Prefix: "/o/", Gather: names, Idempotent: true, TimeoutMs: 800, TargetMs: 150, Priority: 1, MaxAttempts: 2, TopK: 10, MinShardRatio: 0.89},
	}
	services := make([]route.Service, shards)
	for i, n := range names {
		services[i] = route.Service{Name: n, MaxConnections: 26}
	}
	table := route.NewTable(route.Config{Version: 1, Routes: w.routes, Services: services})
	var fleet []relay.VM
	for i := range vms {
		fleet = append(fleet, relay.VM{ID: fmt.Sprintf("vm%d", i), Address: fmt.Sprint(i), DataCentre: centres[i%3]})
	}
	for i := range vms {
		m := relay.New(relay.WithSeed(seed+uint64(i)), relay.WithSelf(fleet[i].ID, fleet[i].DataCentre), relay.WithBudget(budget))
		w.vms = append(w.vms, m)
		w.update(i, relay.TableMsg{Table: table})
		for _, id := range w.sortedUps() {
			w.update(i, relay.UpstreamMsg{Upstream: w.ups[id].up})
		}
		if !size.Independent {
			w.update(i, relay.FleetMsg{VMs: fleet})
		}
	}
	return w
}

// Outcome returns what callers of a route got.
func (w *Simulation) Outcome(route string) *Outcome { return w.result[route] }

// Violations returns the promises that were broken: wrong answers, requests without
// one, and extra arrivals beyond the budget.
func (w *Simulation) Violations() []string {
	out := slices.Clone(w.wrong)
	windows := float64(w.now-startMs) / float64(w.size.Budget.WindowMs)
	for s, n := range w.extra {
		if most := w.size.Budget.Ratio*float64(w.needed[s]) + windows*w.size.Budget.Extra; float64(n) > most {
			out = append(out, fmt.Sprintf("%s got %d extra arrivals for %d requests, want at most %.0f", s, n, w.needed[s], most))
		}
	}
	if n := len(w.asked); n != 0 {
		out = append(out, fmt.Sprintf("%d requests have no answer", n))
	}
	slices.Sort(out)
	return out
}

func (w *Simulation) sortedUps() []string {
	var ids []string
	for s, r := 0, 0; ; {
		id := fmt.Sprintf("u%d-%d", s, r)
		switch {
		case w.ups[id] != nil:
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
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.seq, run: run})
}

func (w *Simulation) runUntil(end clock.Millis) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// update passes a message to a VM and performs its commands.
func (w *Simulation) update(vm int, msg relay.Msg) {
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
	switch c := c.(type) {
	case relay.SendCmd:
		w.at(w.now+wayMs, func() { w.arriveAt(vm, c) })
	case relay.CancelCmd:
		w.at(w.now+wayMs, func() { w.cancel(vm, c.Attempt) })
	case relay.AnswerCmd:
		w.answered(vm, c.ID, relay.DelegationResult{Answer: c.Answer, ExpectedMs: c.ExpectedMs})
	case relay.PartialResultCmd:
		w.answered(vm, c.ID, relay.DelegationResult{Answer: c.Answer, Partial: true, ExpectedMs: c.ExpectedMs})
	case relay.DelegateCmd:
		w.nextID++
		id, to := w.nextID, w.index(c.To)
		w.hands[id] = hand{vm, c.Delegation.ID}
		w.names[id] = c.Delegation.Name
		w.at(w.now+wayMs, func() {
			h := c.Delegation
			w.update(to, relay.ArrivalMsg{ID: id, Name: h.Name, Host: h.Host, Path: h.Path, Delegation: &h})
		})
	case relay.AckDelegationCmd:
		h := w.hands[c.ID]
		w.at(w.now+wayMs, func() { w.update(h.vm, relay.DelegationAckMsg{From: w.vmName(vm), ID: h.group}) })
	case relay.CancelDelegationCmd:
		for id, h := range w.hands {
			if h.vm == vm && h.group == c.ID {
				w.at(w.now+wayMs, func() { w.update(w.index(c.To), relay.CallerDisconnectedMsg{ID: id}) })
			}
		}
	}
}

func (w *Simulation) vmName(i int) string { return fmt.Sprintf("vm%d", i) }

func (w *Simulation) index(name string) int {
	for i := range w.vms {
		if w.vmName(i) == name {
			return i
		}
	}
	return -1
}

// answered passes an answer to the caller or to the VM that handed over.
func (w *Simulation) answered(vm int, id uint64, back relay.DelegationResult) {
	if h, ok := w.hands[id]; ok {
		back.ID = h.group
		if !back.Partial {
			delete(w.hands, id)
		}
		w.at(w.now+wayMs, func() { w.update(h.vm, relay.DelegationResultMsg{From: w.vmName(vm), Result: back}) })
		return
	}
	a := w.asked[id]
	if a == nil {
		w.wrong = append(w.wrong, fmt.Sprintf("request %d is answered twice", id))
		return
	}
	delete(w.asked, id)
	w.at(w.now+callerMs, func() { w.judge(a, w.names[id], back.Answer) })
}
