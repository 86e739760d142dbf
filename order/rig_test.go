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
	stepList    = "write that lists a segment"
	stepConfirm = "confirm"
	stepSend    = "send"
	stepReply   = "reply"
	stepRelease = "release"
	stepFreed   = "confirm release"
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
	faultKillWriting = "owner killed, write late"
	faultNoStatus    = "shed without ran: no"
	faultNoProof     = "failed with ran: no"
	faultPastEnd     = "reply past the deadline"
)

const (
	start    clock.Millis = 1_700_000_000_000
	deadline clock.Millis = 2000
	delay    clock.Millis = 3000
	// serviceMs keeps an attempt out while doubled messages arrive.
	serviceMs clock.Millis = 120
	// writeLateMs exceeds a short deadline, the reboot and one repeat of the release.
	writeLateMs clock.Millis = 2500
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
	end     clock.Millis // its deadline
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

	storeEvents []string                    // details of the events about the store
	foreign     []order.Hash                // claims that another owner wrote
	freed       map[order.Hash]clock.Millis // when a release of a token was first confirmed
	sealed      map[*rigVM]bool             // the last write was a segment
	writes      []clock.Millis              // when a write or delete was issued
	broken      []string
}

func newRig(fault func(step string) string) *rig {
	r := &rig{
		now: start, vms: make(map[string]*rigVM), entries: make(map[string]store.Entry),
		runs: make(map[string]int), fault: fault,
		freed: make(map[order.Hash]clock.Millis), sealed: make(map[*rigVM]bool),
	}
	for _, name := range []string{"entry", "owner", "other"} {
		r.boot(name)
	}
	return r
}

func (r *rig) boot(name string) {
	r.starts++
	r.vms[name] = &rigVM{model: order.New(
		order.WithSelf(name, r.starts), order.WithSealThreshold(100),
		order.WithPicker(func(_ clock.Millis, _, _ string, exclude []upstream.ID) (upstream.ID, bool) {
			return upstream.ID(fmt.Sprintf("desk/g/%d", len(exclude))), len(exclude) < 2
		}))}
	r.deliver(name, order.LiveVMsMsg{VMs: []string{"owner"}})
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

func (r *rig) submit(vm, id string) *rigCall { return r.submitFor(vm, id, deadline, preset.OutageWait) }

func (r *rig) submitFor(vm, id string, budget clock.Millis, outage preset.OutageRule) *rigCall {
	c := &rigCall{id: id, vm: r.vms[vm]}
	c.end = r.now + c.vm.ahead + budget
	r.calls = append(r.calls, c)
	r.deliver(vm, order.SubmitMsg{
		CallID: uint64(len(r.calls) - 1), ID: id, Service: "desk", Group: "g",
		Body: []byte{byte(len(r.calls) - 1)}, Deadline: c.end, Outage: outage,
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
	case faultKillEntry, faultKillOwner, faultKillWriting:
		name := map[string]string{faultKillEntry: "entry", faultKillOwner: "owner", faultKillWriting: "owner"}[fault]
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
		if msg, ok := cmd.Msg.(order.ClaimResponseMsg); ok && msg.Result == order.ResultReleased && r.freed[msg.Token.Hash()] == 0 {
			r.freed[msg.Token.Hash()] = r.now
		}
		copies, after := r.hit(r.fault(peerStep(cmd.Msg)))
		for i := range copies {
			r.at(after+clock.Millis(i*50), func() { r.deliver(cmd.To, cmd.Msg) })
		}
	case order.StoreCmd:
		r.callStore(name, vm, cmd.Request)
	case order.SendCmd:
		r.send(name, vm, cmd.Request)
	case order.AnswerCmd:
		c := r.calls[cmd.Answer.CallID]
		c.answers = append(c.answers, cmd.Answer)
	case order.EventCmd:
		if cmd.Event.Kind == timeline.StoreFailed {
			r.storeEvents = append(r.storeEvents, cmd.Event.Detail)
		}
	}
}

func peerStep(msg order.Msg) string {
	claim, ok := msg.(order.ClaimRequestMsg)
	answer, _ := msg.(order.ClaimResponseMsg)
	switch {
	case answer.Result == order.ResultReleased:
		return stepFreed
	case !ok:
		return stepConfirm
	case claim.Op == order.OpRelease:
		return stepRelease
	default:
		return stepClaim
	}
}

func (r *rig) send(name string, vm *rigVM, req attempt.Request) {
	if r.now+vm.ahead >= req.Deadline {
		r.broken = append(r.broken, "sent after the deadline")
	}
	copies, after := r.hit(r.fault(stepSend))
	timeout := true
	if copies > 0 {
		r.at(after, func() { timeout = r.serve(name, vm, req) })
	}
	r.at(req.Deadline-r.now-vm.ahead, func() {
		if timeout {
			r.deliverTo(name, vm, order.AttemptReplyMsg{Reply: attempt.Reply{ID: req.ID, Status: attempt.TimedOut}})
		}
	})
}

// serve runs or sheds an attempt and replies. It reports whether the carrier
// reports a timeout at the deadline; a carrier whose timer is late does not.
func (r *rig) serve(name string, vm *rigVM, req attempt.Request) (timeout bool) {
	reply := attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.OK, Execution: attempt.Executed}
	if r.sheds > 0 {
		r.sheds--
		reply.Status, reply.Execution = attempt.Shed, attempt.NotExecuted
	} else {
		r.runs[req.OrderID]++
		r.calls[req.Body[0]].runs++
	}
	fault := r.fault(stepReply)
	copies, after := r.hit(fault)
	if reply.Execution == attempt.Executed {
		after += serviceMs
	}
	switch fault {
	case faultNoStatus:
		reply.Status, reply.Execution, copies = attempt.Shed, attempt.ExecutionUnknown, 1
	case faultNoProof:
		reply.Status, reply.Execution, copies = attempt.Failed, attempt.NotExecuted, 1
	case faultPastEnd:
		after, copies = max(req.Deadline-r.now-vm.ahead, 0)+20, 1
	}
	for range copies {
		r.at(after, func() { r.deliverTo(name, vm, order.AttemptReplyMsg{Reply: reply}) })
	}
	return fault != faultPastEnd
}
