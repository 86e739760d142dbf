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

// CostClass is a class of requests of one route that need about the same work.
type CostClass struct {
	Name   string
	Share  float64 // of the requests
	WorkMs float64
}

// CostLoad is a load on one service whose requests differ in cost.
type CostLoad struct {
	Name       string
	Classes    []CostClass
	Telling    float64 // share of the requests whose path indicates their class
	Capacity   float64 // load as a share of what the upstreams can do
	VMs        int
	Upstreams  int
	Slots      int // of each upstream
	PauseEvery clock.Millis
}

// CostOutcome is what the callers of one class have seen.
type CostOutcome struct {
	Sent, InTime, Unserved int
	latencies              []clock.Millis
}

// Quantile returns the latency of answers below which a share of them is.
func (o *CostOutcome) Quantile(q float64) clock.Millis {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// TimelyShare returns the share of the requests that were answered in time.
func (o *CostOutcome) TimelyShare() float64 { return float64(o.InTime) / float64(max(o.Sent, 1)) }

// CostResult is the result of a replay of a CostLoad.
type CostResult struct {
	Classes  []CostOutcome
	Requests int
	Attempts int

	Choices, Changed uint64 // of upstreams, and those that would be others without estimates
}

// ExtraShare returns the attempts beyond one for each request, as a share of the requests.
func (r *CostResult) ExtraShare() float64 {
	return float64(r.Attempts)/float64(max(r.Requests, 1)) - 1
}

// ChangedShare returns the share of the choices that would be others without estimates.
func (r *CostResult) ChangedShare() float64 { return float64(r.Changed) / float64(max(r.Choices, 1)) }

const (
	costTargetMs  clock.Millis = 1000
	costTimeoutMs clock.Millis = 4000
	costLoadMs                 = 40 * clock.Second
	costWarmMs                 = 10 * clock.Second // its requests do not count
	costPauseMs   clock.Millis = 200
	costPaths                  = 500
)

type costRun struct {
	load    CostLoad
	rng     *rand.Rand
	now     clock.Millis
	seq     int
	events  events
	vms     []*relay.Model
	servers map[string]*costServer
	open    map[uint64]*costRequest
	result  CostResult
}

type costRequest struct {
	class  int
	path   string
	sentAt clock.Millis
	work   float64
	counts bool
}

type costServer struct {
	slots, busy int
	queue       []costJob
	pausedUntil clock.Millis
}

type costJob struct {
	vm      int
	attempt uint64
	workMs  float64
}

// Add adds the result of another replay of the same load.
func (r *CostResult) Add(other CostResult) {
	if r.Classes == nil {
		r.Classes = make([]CostOutcome, len(other.Classes))
	}
	for i := range other.Classes {
		o, a := &r.Classes[i], &other.Classes[i]
		o.Sent, o.InTime, o.Unserved = o.Sent+a.Sent, o.InTime+a.InTime, o.Unserved+a.Unserved
		o.latencies = append(o.latencies, a.latencies...)
	}
	r.Requests, r.Attempts = r.Requests+other.Requests, r.Attempts+other.Attempts
	r.Choices, r.Changed = r.Choices+other.Choices, r.Changed+other.Changed
}

// RunCost replays a load with placing by cost on or off.
func RunCost(seed uint64, load CostLoad, byCost bool) CostResult {
	w := &costRun{
		load: load, rng: rand.New(rand.NewPCG(seed, 7)), now: startMs, servers: make(map[string]*costServer),
		open: make(map[uint64]*costRequest), result: CostResult{Classes: make([]CostOutcome, len(load.Classes))},
	}
	rt := route.Route{Name: "q", Host: "h", Prefix: "/", Service: "s", Idempotent: true, TimeoutMs: costTimeoutMs, TargetMs: costTargetMs, Priority: 1, MaxAttempts: 2}
	table := route.NewTable(route.Config{Version: 1, Routes: []route.Route{rt}, Services: []route.Service{{Name: "s", MaxConnections: 1000}}})
	var fleet []relay.VM
	for i := range load.VMs {
		fleet = append(fleet, relay.VM{ID: fmt.Sprint("vm", i), Address: fmt.Sprint(i), DataCentre: "a"})
	}
	for i := range load.VMs {
		m := relay.New(relay.WithSeed(seed+uint64(i)), relay.WithSelf(fleet[i].ID, "a"), relay.WithPlacingByCost(byCost))
		m.Update(w.now, relay.TableMsg{Table: table})
		m.Update(w.now, relay.FleetMsg{VMs: fleet})
		w.vms = append(w.vms, m)
	}
	for i := range load.Upstreams {
		id := fmt.Sprint("u", i)
		w.servers[id] = &costServer{slots: load.Slots}
		for _, m := range w.vms {
			m.Update(w.now, relay.UpstreamMsg{Upstream: relay.Upstream{ID: id, Service: "s", Address: id, DataCentre: "a", Slots: load.Slots}})
		}
		for at := w.now + w.load.PauseEvery; w.load.PauseEvery > 0 && at < startMs+costLoadMs; at += w.load.PauseEvery {
			offset := clock.Millis(i) * w.load.PauseEvery / clock.Millis(load.Upstreams)
			w.at(at+offset, func() { w.servers[id].pausedUntil = w.now + costPauseMs })
		}
	}
	w.schedule()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.callback()
	}
	for _, o := range w.open {
		if o.counts {
			w.result.Classes[o.class].Unserved++
		}
	}
	for _, m := range w.vms {
		s := m.CostStats()
		w.result.Choices, w.result.Changed = w.result.Choices+s.Choices, w.result.Changed+s.Changed
	}
	return w.result
}

func (w *costRun) at(t clock.Millis, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.seq, callback: run})
}

// schedule draws all requests, so that both choices of upstreams see the same.
func (w *costRun) schedule() {
	meanMs := 0.0
	for _, c := range w.load.Classes {
		meanMs += c.Share * c.WorkMs
	}
	gapMs := meanMs / (w.load.Capacity * float64(w.load.Upstreams*w.load.Slots))
	id := uint64(0)
	for t := 0.0; t < float64(costLoadMs); t += w.rng.ExpFloat64() * gapMs {
		id++
		class := w.drawClass()
		r := &costRequest{class: class, counts: t >= float64(costWarmMs), work: w.load.Classes[class].WorkMs * (0.7 + 0.6*w.rng.Float64())}
		r.path = fmt.Sprintf("/find/%d", w.rng.IntN(costPaths))
		if w.rng.Float64() < w.load.Telling {
			r.path = fmt.Sprintf("/%s/%d", w.load.Classes[class].Name, w.rng.IntN(costPaths))
		}
		vm, request := w.rng.IntN(w.load.VMs), id
		w.at(startMs+clock.Millis(t), func() {
			r.sentAt = w.now
			w.open[request] = r
			if r.counts {
				w.result.Requests++
				w.result.Classes[class].Sent++
			}
			w.update(vm, relay.ArrivalMsg{ID: request, Name: fmt.Sprint(request), Host: "h", Path: r.path, Method: "GET", RemainingMs: costTimeoutMs, RoundTripMs: 2})
		})
	}
}

func (w *costRun) drawClass() int {
	x := w.rng.Float64()
	for i, c := range w.load.Classes {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(w.load.Classes) - 1
}

func (w *costRun) update(vm int, msg relay.Msg) {
	m := w.vms[vm]
	for _, c := range slices.Clone(m.Update(w.now, msg)) {
		switch c := c.(type) {
		case relay.SendCmd:
			w.at(w.now+oneWayMs, func() { w.receive(vm, c) })
		case relay.CancelCmd:
			w.at(w.now+oneWayMs, func() { w.drop(vm, c.Attempt) })
		case relay.AnswerCmd:
			w.answer(c)
		}
	}
	if at, ok := m.NextWake(); ok {
		w.at(at, func() {
			if next, ok := m.NextWake(); ok && next <= w.now {
				w.update(vm, relay.TickMsg{})
			}
		})
	}
}

func (w *costRun) answer(c relay.AnswerCmd) {
	r := w.open[c.ID]
	delete(w.open, c.ID)
	if r == nil || !r.counts {
		return
	}
	o := &w.result.Classes[r.class]
	if c.Answer.Outcome != relay.Relayed || c.Answer.Reply.Status != 200 {
		o.Unserved++
		return
	}
	took := w.now - r.sentAt
	o.latencies = append(o.latencies, took)
	if took <= costTargetMs {
		o.InTime++
	}
}

func (w *costRun) receive(vm int, c relay.SendCmd) {
	r := w.open[c.Request]
	if r == nil {
		return
	}
	if r.counts {
		w.result.Attempts++
	}
	s := w.servers[c.Upstream]
	s.queue = append(s.queue, costJob{vm: vm, attempt: c.Attempt, workMs: r.work})
	w.serve(s)
}

func (w *costRun) serve(s *costServer) {
	if w.now < s.pausedUntil {
		w.at(s.pausedUntil, func() { w.serve(s) })
		return
	}
	for s.busy < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		w.at(w.now+max(clock.Millis(j.workMs), 1), func() {
			s.busy--
			w.at(w.now+oneWayMs, func() {
				w.update(j.vm, relay.ReplyMsg{Attempt: j.attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
			})
			w.serve(s)
		})
	}
}

// drop removes a cancelled attempt from the queue of its upstream.
func (w *costRun) drop(vm int, attempt uint64) {
	for _, s := range w.servers {
		s.queue = slices.DeleteFunc(s.queue, func(j costJob) bool { return j.vm == vm && j.attempt == attempt })
	}
}
