package order_test

import (
	"container/heap"
	"fmt"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// The steps of an order at which a fault can be injected.
const (
	stepClaim   = "claim"
	stepRead    = "read"
	stepSeal    = "seal"
	stepWrite   = "write"
	stepConfirm = "confirm"
	stepSend    = "send"
	stepReply   = "reply"
	stepRelease = "release"
)

// The faults. A store fault at a step that is no store call is a lost message.
const (
	faultNone        = ""
	faultLost        = "lost"
	faultDoubled     = "doubled"
	faultDelayed     = "delayed"
	faultUnavailable = "unavailable"
	faultUnknownDone = "unknown after effect"
	faultUnknownNot  = "unknown without effect"
	faultUnknownLate = "unknown before effect"
	faultConflict    = "conflict"
	faultKillEntry   = "entry killed"
	faultKillOwner   = "owner killed"
	faultPauseEntry  = "entry paused"
	faultPauseOwner  = "owner paused"
)

const (
	start    clock.Millis = 1_700_000_000_000
	deadline clock.Millis = 2000
	delay    clock.Millis = 3000
)

type rigEvent struct {
	at  clock.Millis
	seq int
	run func()
}

type rigEvents []rigEvent

func (h rigEvents) Len() int { return len(h) }
func (h rigEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h rigEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *rigEvents) Push(x any)   { *h = append(*h, x.(rigEvent)) }
func (h *rigEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type rigVM struct {
	model  *order.Model
	paused clock.Millis
	ahead  clock.Millis // how far its clock is ahead
	dead   bool
}

type rigCall struct {
	id      string
	vm      *rigVM
	runs    int
	answers []order.Answer
}

// rig runs entry VM "entry", owner "owner" and a second entry VM "other" over a
// store, and asks fault what to do at each step.
type rig struct {
	now      clock.Millis
	seq      int
	events   rigEvents
	vms      map[string]*rigVM
	starts   uint64
	entries  map[string]store.Entry
	revision uint64
	calls    []*rigCall
	runs     map[string]int
	sheds    int // attempts still to be shed
	fault    func(step string) string

	storeEvents []string // details of the events about the store
}

func newRig(fault func(step string) string) *rig {
	r := &rig{
		now: start, vms: make(map[string]*rigVM), entries: make(map[string]store.Entry),
		runs: make(map[string]int), fault: fault,
	}
	for _, name := range []string{"entry", "owner", "other"} {
		r.boot(name)
	}
	return r
}

func (r *rig) boot(name string) {
	r.starts++
	r.vms[name] = &rigVM{model: order.New(
		order.WithSelf(name, r.starts), order.WithHeadBytes(100),
		order.WithPicker(func(_ clock.Millis, _, _ string, exclude []upstream.ID) (upstream.ID, bool) {
			return upstream.ID(fmt.Sprintf("desk/g/%d", len(exclude))), len(exclude) < 2
		}))}
	r.deliver(name, order.OwnersMsg{Live: []string{"owner"}})
}

func (r *rig) at(d clock.Millis, run func()) {
	r.seq++
	heap.Push(&r.events, rigEvent{r.now + d, r.seq, run})
}

func (r *rig) runUntil(end clock.Millis) {
	for len(r.events) > 0 && r.events[0].at <= end {
		e := heap.Pop(&r.events).(rigEvent)
		r.now = e.at
		e.run()
	}
	r.now = end
}

func (r *rig) deliver(name string, msg order.Msg) { r.deliverTo(name, r.vms[name], msg) }

func (r *rig) deliverTo(name string, vm *rigVM, msg order.Msg) {
	switch {
	case vm.dead:
		return
	case r.now < vm.paused:
		r.at(vm.paused-r.now, func() { r.deliverTo(name, vm, msg) })
		return
	}
	for _, cmd := range vm.model.Update(r.now+vm.ahead, msg) {
		r.perform(name, vm, cmd)
	}
	if at, ok := vm.model.NextWake(); ok {
		r.at(max(at-r.now-vm.ahead, 1), func() {
			if next, ok := vm.model.NextWake(); ok && next <= r.now+vm.ahead {
				r.deliverTo(name, vm, order.TickMsg{})
			}
		})
	}
}

func (r *rig) submit(vm, id string) *rigCall {
	c := &rigCall{id: id, vm: r.vms[vm]}
	r.calls = append(r.calls, c)
	r.deliver(vm, order.SubmitMsg{
		Call: uint64(len(r.calls) - 1), ID: id, Service: "desk", Group: "g",
		Body: []byte{byte(len(r.calls) - 1)}, Deadline: r.now + c.vm.ahead + deadline, Outage: preset.OutageWait,
	})
	return c
}

// hit applies the faults that are alike at every step and returns how often and
// after which delay the message goes on.
func (r *rig) hit(fault string) (copies int, after clock.Millis) {
	switch fault {
	case faultDoubled:
		return 2, 1
	case faultDelayed:
		return 1, delay
	case faultKillEntry, faultKillOwner:
		name := map[string]string{faultKillEntry: "entry", faultKillOwner: "owner"}[fault]
		r.vms[name].dead = true
		r.at(500, func() { r.boot(name) })
	case faultPauseEntry:
		r.vms["entry"].paused = r.now + delay
	case faultPauseOwner:
		r.vms["owner"].paused = r.now + delay
	case faultNone:
	default:
		return 0, 1
	}
	return 1, 1
}

func (r *rig) perform(name string, vm *rigVM, cmd order.Cmd) {
	switch cmd := cmd.(type) {
	case order.PeerCmd:
		copies, after := r.hit(r.fault(peerStep(cmd.Msg)))
		for i := range copies {
			r.at(after+clock.Millis(i*50), func() { r.deliver(cmd.To, cmd.Msg) })
		}
	case order.StoreCmd:
		r.callStore(name, vm, cmd.Request)
	case order.SendCmd:
		r.send(name, vm, cmd.Request)
	case order.AnswerCmd:
		c := r.calls[cmd.Answer.Call]
		c.answers = append(c.answers, cmd.Answer)
	case order.EventCmd:
		if cmd.Event.Kind == timeline.StoreFailed {
			r.storeEvents = append(r.storeEvents, cmd.Event.Detail)
		}
	}
}

func peerStep(msg order.Msg) string {
	claim, ok := msg.(order.ClaimMsg)
	switch {
	case !ok:
		return stepConfirm
	case claim.Op == order.OpRelease:
		return stepRelease
	default:
		return stepClaim
	}
}

func (r *rig) send(name string, vm *rigVM, req attempt.Request) {
	reply := attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.OK, Ran: attempt.Yes}
	copies, after := r.hit(r.fault(stepSend))
	r.at(req.Deadline-r.now-vm.ahead, func() {
		r.deliverTo(name, vm, order.ReplyMsg{Reply: attempt.Reply{ID: req.ID, Status: attempt.TimedOut}})
	})
	if copies == 0 {
		return
	}
	r.at(after, func() {
		if r.sheds > 0 {
			r.sheds--
			reply.Status, reply.Ran = attempt.Shed, attempt.No
		} else {
			r.runs[req.OrderID]++
			r.calls[req.Body[0]].runs++
		}
		copies, after := r.hit(r.fault(stepReply))
		for range copies {
			r.at(after, func() { r.deliverTo(name, vm, order.ReplyMsg{Reply: reply}) })
		}
	})
}

func (r *rig) callStore(name string, vm *rigVM, req store.Request) {
	step := stepRead
	if req.Op == store.OpSwap {
		step = stepSeal
		if req.Key == order.HeadKey(0) {
			step = stepWrite
		}
	}
	fault := r.fault(step)
	reply := store.Reply{Owner: req.Owner, Tag: req.Tag, Op: req.Op}
	done := func(after clock.Millis) {
		r.at(after, func() { r.deliverTo(name, vm, order.StoreMsg{Reply: reply}) })
	}
	switch fault {
	case faultUnavailable:
		reply.Kind = store.KindUnavailable
		done(2)
	case faultUnknownNot, faultLost:
		reply.Kind = store.KindUnknown
		done(200)
	case faultUnknownDone, faultUnknownLate:
		after := map[string]clock.Millis{faultUnknownDone: 1, faultUnknownLate: 400}[fault]
		r.at(after, func() { r.apply(req, &store.Reply{}) })
		reply.Kind = store.KindUnknown
		done(200)
	case faultConflict:
		e := r.entries[req.Key]
		r.apply(store.Request{Op: store.OpSwap, Key: req.Key, Value: e.Value, Expect: e.Revision}, &store.Reply{})
		fallthrough
	default:
		copies, after := r.hit(fault)
		for range copies {
			r.at(1, func() {
				r.apply(req, &reply)
				done(after)
			})
		}
	}
}

func (r *rig) apply(req store.Request, reply *store.Reply) {
	e := r.entries[req.Key]
	e.Key = req.Key
	if req.Op != store.OpGet && e.Revision != req.Expect {
		reply.Kind = store.KindConflict
		return
	}
	switch req.Op {
	case store.OpSwap:
		r.revision++
		e = store.Entry{Key: req.Key, Value: req.Value, Revision: r.revision}
		r.entries[req.Key] = e
	case store.OpDelete:
		delete(r.entries, req.Key)
	}
	reply.Entry = e
}
