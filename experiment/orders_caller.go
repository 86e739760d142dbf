package experiment

import (
	"fmt"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// orderCaller submits one order and repeats it with the same id until an answer
// shows that the order was executed, or maxCallerRepeats is reached.
type orderCaller struct {
	id              string
	repeats         int
	knowsRun        bool // an answer showed that the order was executed
	repeatScheduled bool
}

const (
	orderDeadlineMs clock.Millis = 2000
	// callerTimeoutMs is how long after the deadline a caller without an answer
	// considers the submission lost and repeats it.
	callerTimeoutMs  clock.Millis = 1000
	maxCallerRepeats int          = 15
	// repeatUnknownMs is the delay before an order with an unknown outcome is submitted again.
	repeatUnknownMs clock.Millis = 1500
)

// submitNew submits a new order. Some callers repeat it immediately, and the load
// balancer delivers some requests twice.
func (r *ordersRun) submitNew(n int) {
	c := &r.callers[n]
	c.id = fmt.Sprintf("%d-%08x%d", r.loop.Now(), r.rng.Uint32(), n)
	r.submit(n)
	if !r.cfg.faults {
		return
	}
	switch r.rng.IntN(20) {
	case 0: // the caller repeats immediately
		r.submit(n)
	case 1: // the load balancer repeats the request
		r.loop.After(clock.Millis(r.rng.IntN(100)), func() { r.submit(n) })
	case 2: // the caller repeats an order that has probably finished
		r.loop.After(r.randomMs(100, 20000), func() { r.submit(n) })
	}
}

// submit delivers the order to a random VM, which may be dead.
func (r *ordersRun) submit(n int) {
	c := &r.callers[n]
	vm := r.randomVM()
	callID := uint64(len(r.checker.submissions))
	s := &orderSubmission{caller: n, id: c.id, vm: vm, submittedAt: r.loop.Now()}
	r.checker.submissions = append(r.checker.submissions, s)
	if vm.dead {
		s.answers = 1 // the connection is refused and nothing is submitted
		s.answer = order.Answer{Outcome: order.OutcomeUnknown}
		r.scheduleRepeat(n, 200)
		return
	}
	outagePolicy := preset.OutageRefuse
	if n%2 == 1 {
		outagePolicy = preset.OutageWait
	}
	vm.submissions++
	vm.deliver(order.SubmitMsg{
		CallID: callID, ID: c.id, Rank: rank.Ordinary, Service: orderService, Group: orderGroup(n),
		Body: orderBody(callID), Deadline: r.loop.Now() + orderDeadlineMs, Outage: outagePolicy,
	})
	r.loop.After(orderDeadlineMs+callerTimeoutMs, func() {
		if s.answers == 0 {
			r.scheduleRepeat(n, 0)
		}
	})
}

func (r *ordersRun) handleAnswer(a order.Answer) {
	s := r.checker.recordAnswer(r.loop.Now(), a)
	c := &r.callers[s.caller]
	switch {
	case a.Execution == attempt.Executed:
		c.knowsRun = true
	case a.Outcome == order.OutcomeRefused:
		r.scheduleRepeat(s.caller, max(a.RetryAfter, 100))
	default:
		r.scheduleRepeat(s.caller, repeatUnknownMs)
	}
}

// scheduleRepeat submits the same id again after a delay, unless a repeat is already scheduled.
func (r *ordersRun) scheduleRepeat(n int, wait clock.Millis) {
	c := &r.callers[n]
	if c.knowsRun || c.repeatScheduled || c.repeats >= maxCallerRepeats {
		return
	}
	c.repeats++
	c.repeatScheduled = true
	backoff := clock.Millis(c.repeats) * 200
	r.loop.After(wait+backoff+clock.Millis(r.rng.IntN(200)), func() {
		c.repeatScheduled = false
		if !c.knowsRun {
			r.submit(n)
		}
	})
}
