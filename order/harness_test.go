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
	stepClaim          = "claim"
	stepRead           = "read"
	stepSeal           = "seal"
	stepWrite          = "write"
	stepWriteListing   = "write listing a segment"
	stepConfirm        = "confirm"
	stepSend           = "send"
	stepReply          = "reply"
	stepRelease        = "release"
	stepConfirmRelease = "confirm release"
)

// The faults. At a step that is not a store call, a store fault acts as a lost message.
const (
	faultNone               = ""
	faultLost               = "lost"
	faultDuplicated         = "doubled"
	faultDelayed            = "delayed"
	faultUnavailable        = "unavailable"
	faultUnknownApplied     = "unknown result, write applied before"
	faultUnknownNotApplied  = "unknown result, write not applied"
	faultUnknownAppliedLate = "unknown result, write applied after"
	faultConflict           = "conflict"
	faultKillEntry          = "entry killed"
	faultKillOwner          = "owner killed"
	faultPauseEntry         = "entry paused"
	faultPauseOwner         = "owner paused"
	faultKillOwnerLateWrite = "owner killed, write applied late"
	faultShedWithoutProof   = "shed without proof"
	faultContradictoryReply = "failed, reported as not executed"
	faultReplyPastDeadline  = "reply after the deadline"
)

const (
	start          clock.Millis = 1_700_000_000_000
	defaultTimeout clock.Millis = 2000
	delay          clock.Millis = 3000
	// serviceMs keeps an attempt outstanding while duplicate messages arrive.
	serviceMs clock.Millis = 120
	// lateWriteMs exceeds a short deadline, the restart and one retry of the release.
	lateWriteMs clock.Millis = 2500
)

type testEvent struct {
	at  clock.Millis
	seq int
	fn  func()
}

type eventHeap []testEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(testEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type testVM struct {
	model       *order.Model
	pausedUntil clock.Millis
	clockAhead  clock.Millis // lead of its clock over the simulated time
	killed      bool
}

type testCall struct {
	id       string
	vm       *testVM
	deadline clock.Millis // on the clock of vm
	runs     int
	answers  []order.Answer
}

// harness simulates three VMs over one store: "entry" and "other" accept orders,
// "owner" owns the partitions. It calls nextFault at each step for the fault to inject.
type harness struct {
	now          clock.Millis
	seq          int
	events       eventHeap
	vms          map[string]*testVM
	incarnations uint64
	entries      map[string]store.Entry
	revision     uint64
	calls        []*testCall
	runs         map[string]int
	sheds        int // number of attempts still to be shed
	nextFault    func(step string) string

	storeEvents     []string                    // details of StoreFailed events
	foreignClaims   []order.Hash                // claims written by another owner
	releasedAt      map[order.Hash]clock.Millis // when the release of a token was first confirmed
	lastWriteSealed map[*testVM]bool            // whether the VM's last write was a segment
	writes          []clock.Millis              // when each write or delete was issued
	violations      []string
}

func newHarness(nextFault func(step string) string) *harness {
	h := &harness{
		now: start, vms: make(map[string]*testVM), entries: make(map[string]store.Entry),
		runs: make(map[string]int), nextFault: nextFault,
		releasedAt: make(map[order.Hash]clock.Millis), lastWriteSealed: make(map[*testVM]bool),
	}
	for _, name := range []string{"entry", "owner", "other"} {
		h.restart(name)
	}
	return h
}

func (h *harness) restart(name string) {
	h.incarnations++
	h.vms[name] = &testVM{model: order.New(
		order.WithSelf(name, h.incarnations), order.WithSealThreshold(100),
		order.WithPicker(func(_ clock.Millis, _, _ string, exclude []upstream.ID) (upstream.ID, bool) {
			return upstream.ID(fmt.Sprintf("desk/g/%d", len(exclude))), len(exclude) < 2
		}))}
	h.deliver(name, order.LiveVMsMsg{VMs: []string{"owner"}})
}

func (h *harness) schedule(d clock.Millis, fn func()) {
	h.seq++
	heap.Push(&h.events, testEvent{h.now + d, h.seq, fn})
}

func (h *harness) runUntil(end clock.Millis) {
	for len(h.events) > 0 && h.events[0].at <= end {
		e := heap.Pop(&h.events).(testEvent)
		h.now = e.at
		e.fn()
	}
	h.now = end
}

func (h *harness) deliver(name string, msg order.Msg) { h.deliverTo(name, h.vms[name], msg) }

func (h *harness) deliverTo(name string, vm *testVM, msg order.Msg) {
	switch {
	case vm.killed:
		return
	case h.now < vm.pausedUntil:
		h.schedule(vm.pausedUntil-h.now, func() { h.deliverTo(name, vm, msg) })
		return
	}
	for _, cmd := range vm.model.Update(h.now+vm.clockAhead, msg) {
		h.perform(name, vm, cmd)
	}
	if at, ok := vm.model.NextWake(); ok {
		h.schedule(max(at-h.now-vm.clockAhead, 1), func() {
			if next, ok := vm.model.NextWake(); ok && next <= h.now+vm.clockAhead {
				h.deliverTo(name, vm, order.TickMsg{})
			}
		})
	}
}

func (h *harness) submit(vm, id string) *testCall {
	return h.submitWith(vm, id, defaultTimeout, preset.OutageWait)
}

func (h *harness) submitWith(vm, id string, timeout clock.Millis, outage preset.OutageRule) *testCall {
	c := &testCall{id: id, vm: h.vms[vm]}
	c.deadline = h.now + c.vm.clockAhead + timeout
	h.calls = append(h.calls, c)
	h.deliver(vm, order.SubmitMsg{
		CallID: uint64(len(h.calls) - 1), ID: id, Service: "desk", Group: "g",
		Body: []byte{byte(len(h.calls) - 1)}, Deadline: c.deadline, Outage: outage,
	})
	return c
}

// applyFault applies the faults that are the same at every step. It returns how many
// copies of the message are delivered, and after which delay.
func (h *harness) applyFault(fault string) (copies int, after clock.Millis) {
	switch fault {
	case faultDuplicated:
		return 2, 1
	case faultDelayed:
		return 1, delay
	case faultKillEntry, faultKillOwner, faultKillOwnerLateWrite:
		name := map[string]string{faultKillEntry: "entry", faultKillOwner: "owner", faultKillOwnerLateWrite: "owner"}[fault]
		h.vms[name].killed = true
		h.schedule(500, func() { h.restart(name) })
	case faultPauseEntry:
		h.vms["entry"].pausedUntil = h.now + delay
	case faultPauseOwner:
		h.vms["owner"].pausedUntil = h.now + delay
	case faultNone:
	default:
		return 0, 1
	}
	return 1, 1
}

func (h *harness) perform(name string, vm *testVM, cmd order.Cmd) {
	switch cmd := cmd.(type) {
	case order.PeerCmd:
		if msg, ok := cmd.Msg.(order.ClaimResponseMsg); ok && msg.Result == order.ResultReleased && h.releasedAt[msg.Token.Hash()] == 0 {
			h.releasedAt[msg.Token.Hash()] = h.now
		}
		copies, after := h.applyFault(h.nextFault(peerStep(cmd.Msg)))
		for i := range copies {
			h.schedule(after+clock.Millis(i*50), func() { h.deliver(cmd.To, cmd.Msg) })
		}
	case order.StoreCmd:
		h.callStore(name, vm, cmd.Request)
	case order.SendCmd:
		h.send(name, vm, cmd.Request)
	case order.AnswerCmd:
		c := h.calls[cmd.Answer.CallID]
		c.answers = append(c.answers, cmd.Answer)
	case order.EventCmd:
		if cmd.Event.Kind == timeline.StoreFailed {
			h.storeEvents = append(h.storeEvents, cmd.Event.Detail)
		}
	}
}

func peerStep(msg order.Msg) string {
	request, ok := msg.(order.ClaimRequestMsg)
	response, _ := msg.(order.ClaimResponseMsg)
	switch {
	case response.Result == order.ResultReleased:
		return stepConfirmRelease
	case !ok:
		return stepConfirm
	case request.Op == order.OpRelease:
		return stepRelease
	default:
		return stepClaim
	}
}

func (h *harness) send(name string, vm *testVM, req attempt.Request) {
	if h.now+vm.clockAhead >= req.Deadline {
		h.violations = append(h.violations, "an attempt was sent after its deadline")
	}
	copies, after := h.applyFault(h.nextFault(stepSend))
	timeout := true
	if copies > 0 {
		h.schedule(after, func() { timeout = h.serve(name, vm, req) })
	}
	h.schedule(req.Deadline-h.now-vm.clockAhead, func() {
		if timeout {
			h.deliverTo(name, vm, order.AttemptReplyMsg{Reply: attempt.Reply{ID: req.ID, Status: attempt.TimedOut}})
		}
	})
}

// serve executes or sheds an attempt and replies. It returns whether the carrier
// reports a timeout at the deadline; after faultReplyPastDeadline it does not,
// because its timer is late.
func (h *harness) serve(name string, vm *testVM, req attempt.Request) (timeout bool) {
	reply := attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.OK, Execution: attempt.Executed}
	if h.sheds > 0 {
		h.sheds--
		reply.Status, reply.Execution = attempt.Shed, attempt.NotExecuted
	} else {
		h.runs[req.OrderID]++
		h.calls[req.Body[0]].runs++
	}
	fault := h.nextFault(stepReply)
	copies, after := h.applyFault(fault)
	if reply.Execution == attempt.Executed {
		after += serviceMs
	}
	switch fault {
	case faultShedWithoutProof:
		reply.Status, reply.Execution, copies = attempt.Shed, attempt.ExecutionUnknown, 1
	case faultContradictoryReply:
		reply.Status, reply.Execution, copies = attempt.Failed, attempt.NotExecuted, 1
	case faultReplyPastDeadline:
		after, copies = max(req.Deadline-h.now-vm.clockAhead, 0)+20, 1
	}
	for range copies {
		h.schedule(after, func() { h.deliverTo(name, vm, order.AttemptReplyMsg{Reply: reply}) })
	}
	return fault != faultReplyPastDeadline
}
