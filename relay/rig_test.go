package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// world replays a load in virtual time: VMs with a relay.Model each, upstreams
// with slots, queues and pauses, and callers.
type world struct {
	now    clock.Millis
	rng    *rand.Rand
	events events
	seq    int
	vms    []*relay.Model
	ups    map[string]*server
	routes []route.Route
	asked  map[uint64]*asked
	nextID uint64
	result map[string]*outcome // by route
	extra  map[string]int      // arrivals beyond the first, by service
	needed map[string]int
	first  map[string]bool // service and caller's identifier that have arrived
	ran    map[string]bool // caller's identifiers that some upstream began
	wrong  []string        // broken promises
	hands  map[uint64]hand // groups that a carrier works on, by its own number
	names  map[uint64]string
	urgent map[string]bool
}

// hand says who handed a group over, and under which number.
type hand struct {
	vm    int
	group uint64
}

// server is an upstream of the replay.
type server struct {
	up       relay.Upstream
	slots    int
	queueCap int
	busy     int
	queue    []*job
	factor   float64 // multiple of the work time
	pauseAt  clock.Millis
	pauseMs  clock.Millis
	everyMs  clock.Millis
	pauseEnd clock.Millis
	down     bool
}

type job struct {
	vm      int
	attempt uint64
	name    string
	work    clock.Millis
	dropped bool
}

type asked struct {
	route *route.Route
	first clock.Millis // of the first one
	tries int
}

// outcome counts what callers of one route got.
type outcome struct {
	asked, inTarget, late, refused, failed int
	parts                                  float64 // sum of squared shares of answers in time
}

func (o *outcome) credit() float64 { return o.parts / float64(max(o.asked, 1)) }

func (o *outcome) String() string {
	return fmt.Sprintf("asked %d, in target %d, late %d, refused %d, failed %d, credit %.3f", o.asked, o.inTarget, o.late, o.refused, o.failed, o.credit())
}

type event struct {
	at  clock.Millis
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const wayMs = 1 // one way between a VM and an upstream or another VM

// newWorld returns VMs spread over three data centres and shards with two
// replicas in two of them, as the users have them today.
func newWorld(seed uint64, vms, shards int, budget relay.BudgetMsg) *world {
	return newWorldWith(seed, vms, shards, 2, budget)
}

// newWorldWith returns a world whose shards have the given number of replicas,
// each in another data centre.
func newWorldWith(seed uint64, vms, shards, replicas int, budget relay.BudgetMsg) *world {
	w := &world{
		now: 1000, rng: rand.New(rand.NewPCG(seed, seed)), ups: make(map[string]*server), asked: make(map[uint64]*asked),
		result: make(map[string]*outcome), extra: make(map[string]int), needed: make(map[string]int),
		first: make(map[string]bool), ran: make(map[string]bool), hands: make(map[uint64]hand), names: make(map[uint64]string), urgent: make(map[string]bool),
	}
	names := make([]string, shards)
	centres := []string{"a", "b", "c"}
	for s := range shards {
		names[s] = fmt.Sprintf("s%d", s)
		for r := range replicas {
			id := fmt.Sprintf("u%d-%d", s, r)
			w.ups[id] = &server{up: relay.Upstream{
				ID: id, Service: names[s], Address: id, DataCentre: centres[(s+r)%3], Slots: 2,
			}, slots: 2, queueCap: 12, factor: 1}
		}
	}
	w.routes = []route.Route{
		{Name: "urgent", Host: "h", Prefix: "/u/", Gather: names, Idempotent: true, TimeoutMs: 400, TargetMs: 50, Priority: 0, MaxAttempts: 2, Top: 5, MinShare: 0.75},
		{Name: "ordinary", Host: "h", Prefix: "/o/", Gather: names, Idempotent: true, TimeoutMs: 800, TargetMs: 150, Priority: 1, MaxAttempts: 2, Top: 10, MinShare: 0.89},
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
		w.update(i, relay.FleetMsg{VMs: fleet})
	}
	return w
}

func (w *world) sortedUps() []string {
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

func (w *world) at(t clock.Millis, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(t, w.now), seq: w.seq, run: run})
}

func (w *world) runUntil(end clock.Millis) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// update passes a message to a VM and performs its commands.
func (w *world) update(vm int, msg relay.Msg) {
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

func (w *world) perform(vm int, c relay.Cmd) {
	switch c := c.(type) {
	case relay.SendCmd:
		w.at(w.now+wayMs, func() { w.arriveAt(vm, c) })
	case relay.CancelCmd:
		w.at(w.now+wayMs, func() { w.cancel(vm, c.Attempt) })
	case relay.AnswerCmd:
		w.answered(vm, c.ID, relay.HandBack{Answer: c.Answer, ExpectedMs: c.ExpectedMs})
	case relay.ReportCmd:
		w.answered(vm, c.ID, relay.HandBack{Answer: c.Answer, More: true, ExpectedMs: c.ExpectedMs})
	case relay.HandCmd:
		w.nextID++
		id, to := w.nextID, w.index(c.To)
		w.hands[id] = hand{vm, c.HandOver.ID}
		w.names[id] = c.HandOver.Name
		w.at(w.now+wayMs, func() {
			h := c.HandOver
			w.update(to, relay.ArriveMsg{ID: id, Name: h.Name, Host: h.Host, Path: h.Path, Handed: &h})
		})
	case relay.TakenCmd:
		h := w.hands[c.ID]
		w.at(w.now+wayMs, func() { w.update(h.vm, relay.TakenMsg{From: w.vmName(vm), ID: h.group}) })
	case relay.WithdrawCmd:
		for id, h := range w.hands {
			if h.vm == vm && h.group == c.ID {
				w.at(w.now+wayMs, func() { w.update(w.index(c.To), relay.GoneMsg{ID: id}) })
			}
		}
	}
}

func (w *world) vmName(i int) string { return fmt.Sprintf("vm%d", i) }

func (w *world) index(name string) int {
	for i := range w.vms {
		if w.vmName(i) == name {
			return i
		}
	}
	return -1
}

// answered passes an answer to the caller or to the VM that handed over.
func (w *world) answered(vm int, id uint64, back relay.HandBack) {
	if h, ok := w.hands[id]; ok {
		back.ID = h.group
		if !back.More {
			delete(w.hands, id)
		}
		w.at(w.now+wayMs, func() { w.update(h.vm, relay.HandBackMsg{From: w.vmName(vm), HandBack: back}) })
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

const (
	// callerMs is one way between a caller and a VM.
	callerMs = 3

	// newConnectionShare is the share of requests whose callers open a connection first.
	newConnectionShare = 0.4
)

// judge counts an answer; a refused caller returns once.
func (w *world) judge(a *asked, name string, ans relay.Answer) {
	o := w.result[a.route.Name]
	switch ans.Outcome {
	case relay.Gathered:
		share := float64(len(ans.Receipts)) / float64(len(a.route.Gather))
		if len(ans.Receipts)+ans.Missing != len(a.route.Gather) {
			w.wrong = append(w.wrong, name+": receipts and missing shards are not all shards")
		}
		if share < a.route.MinShare {
			w.wrong = append(w.wrong, name+": less than the least share")
		}
		if w.now-a.first > a.route.TargetMs {
			o.late++
			return
		}
		o.inTarget++
		o.parts += share * share
	case relay.Refused, relay.NotReady:
		if w.ran[name] {
			w.wrong = append(w.wrong, name+": refused as not run, though it has run")
		}
		if ans.RetryAfterMs <= 0 {
			w.wrong = append(w.wrong, name+": refused without a time to come back")
		}
		if a.tries < 2 {
			w.at(w.now+ans.RetryAfterMs, func() { w.send(a.route, a.first, a.tries+1) })
			return
		}
		o.refused++
	default:
		if a.tries < 2 {
			w.send(a.route, a.first, a.tries+1)
			return
		}
		o.failed++
	}
}

// send makes a caller send a request to some VM.
func (w *world) send(r *route.Route, first clock.Millis, try int) {
	left := r.TimeoutMs - (w.now - first)
	o := w.result[r.Name]
	if left <= 0 {
		o.failed++
		return
	}
	w.nextID++
	id := w.nextID
	w.names[id] = fmt.Sprintf("r%d", id)
	w.asked[id] = &asked{route: r, first: first, tries: try}
	w.urgent[w.names[id]] = r.Priority == 0
	for _, s := range r.Gather {
		w.needed[s]++
	}
	vm := w.rng.IntN(len(w.vms))
	way := clock.Millis(2 * callerMs)
	if w.rng.Float64() < newConnectionShare {
		way *= 2
	}
	w.at(w.now+way-callerMs, func() {
		w.update(vm, relay.ArriveMsg{ID: id, Name: w.names[id], Host: r.Host, Path: r.Prefix + "x", LeftMs: left, WayMs: way})
	})
}

// load sends requests of a route at random times, perSecond on average.
func (w *world) load(name string, perSecond float64, from, to clock.Millis) {
	for i := range w.routes {
		r := &w.routes[i]
		if r.Name != name {
			continue
		}
		if w.result[name] == nil {
			w.result[name] = &outcome{}
		}
		for t := float64(from); ; {
			t += w.rng.ExpFloat64() * 1000 / perSecond
			if t >= float64(to) {
				break
			}
			at := clock.Millis(t)
			w.at(at, func() {
				w.result[name].asked++
				w.send(r, w.now, 1)
			})
		}
	}
}

// arriveAt brings an attempt to its upstream.
func (w *world) arriveAt(vm int, c relay.SendCmd) {
	u := w.ups[c.Upstream]
	if u.down {
		w.at(w.now+wayMs, func() { w.update(vm, relay.FailMsg{Attempt: c.Attempt, NotSent: true, Cause: "down"}) })
		return
	}
	name := w.names[c.Request]
	key := u.up.Service + "/" + name
	if w.first[key] {
		w.extra[u.up.Service]++
	}
	w.first[key] = true
	mean := 20.0
	if w.urgent[name] {
		mean = 6.7
	}
	work := mean * (0.7 + 0.6*w.rng.Float64())
	if w.rng.Float64() < 0.01 {
		work *= 5
	}
	j := &job{vm: vm, attempt: c.Attempt, name: name, work: clock.Millis(work * u.factor)}
	if len(u.queue) >= u.queueCap {
		w.reply(j, relay.Reply{Status: 503, NotRun: true})
		return
	}
	u.queue = append(u.queue, j)
	w.serve(u)
}

// serve starts queued jobs while slots are free and the upstream does not pause.
func (w *world) serve(u *server) {
	if u.everyMs > 0 && w.now >= u.pauseAt {
		u.pauseEnd = u.pauseAt + u.pauseMs
		u.pauseAt += u.everyMs
	}
	if w.now < u.pauseEnd {
		w.at(u.pauseEnd, func() { w.serve(u) })
		return
	}
	for u.busy < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		if j.dropped {
			continue
		}
		u.busy++
		w.ran[j.name] = true
		w.at(w.now+max(j.work, 1), func() {
			u.busy--
			w.reply(j, relay.Reply{Status: 200, Receipt: fmt.Sprintf("%s.%s.%d", u.up.ID, j.name, j.attempt)})
			w.serve(u)
		})
	}
}

func (w *world) reply(j *job, rep relay.Reply) {
	if !j.dropped {
		w.at(w.now+wayMs, func() { w.update(j.vm, relay.ReplyMsg{Attempt: j.attempt, Reply: rep}) })
	}
}

func (w *world) cancel(vm int, attempt uint64) {
	for _, id := range w.sortedUps() {
		for _, j := range w.ups[id].queue {
			if j.vm == vm && j.attempt == attempt {
				j.dropped = true
			}
		}
	}
}

// pauses makes every upstream pause now and then, each at its own time.
func (w *world) pauses(length, every clock.Millis) {
	for _, id := range w.sortedUps() {
		u := w.ups[id]
		u.pauseMs, u.everyMs = length, every
		u.pauseAt = w.now + clock.Millis(w.rng.Int64N(int64(every)))
	}
}
