package experiment

import (
	"fmt"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/rank"
)

// orderCaller submits one order and repeats it with the same id until it knows
// that the order was run, or has repeated often enough.
type orderCaller struct {
	id      string
	repeats int
	settled bool // knows that the order was run
	waiting bool // a repeat is scheduled
}

const (
	orderDeadlineMs clock.Millis = 2000
	// callerPatienceMs is how long a caller waits past the deadline before it
	// takes the submission for lost and repeats it.
	callerPatienceMs clock.Millis = 1000
	maxCallerRepeats int          = 15
	// repeatUnknownMs is the wait before an unknown outcome is submitted again.
	repeatUnknownMs clock.Millis = 1500
)

// arrive submits a new order; some callers repeat at once, and the balancer
// delivers some requests twice.
func (r *ordersRun) arrive(n int) {
	c := &r.callers[n]
	c.id = fmt.Sprintf("%d-%08x%d", r.loop.Now(), r.rng.Uint32(), n)
	r.submit(n)
	if !r.cfg.faults {
		return
	}
	switch r.rng.IntN(20) {
	case 0: // the caller repeats at once
		r.submit(n)
	case 1: // the balancer repeats the request
		r.loop.After(clock.Millis(r.rng.IntN(100)), func() { r.submit(n) })
	case 2: // the caller repeats a finished order
		r.loop.After(r.between(100, 20000), func() { r.submit(n) })
	}
}

// submit delivers the order to a random VM that the balancer believes in.
func (r *ordersRun) submit(n int) {
	c := &r.callers[n]
	vm := r.anyVM()
	call := uint64(len(r.check.subs))
	s := &orderSubmission{order: n, id: c.id, vm: vm, at: r.loop.Now()}
	r.check.subs = append(r.check.subs, s)
	if vm.dead {
		s.answers = 1 // the connection is refused; nothing was submitted
		s.answer = order.Answer{Outcome: order.OutcomeUnknown}
		r.repeat(n, 200)
		return
	}
	rule := preset.OutageRefuse
	if n%2 == 1 {
		rule = preset.OutageWait
	}
	vm.submits++
	vm.deliver(order.SubmitMsg{
		CallID: call, ID: c.id, Rank: rank.Ordinary, Service: orderService, Group: orderGroup(n),
		Body: orderBody(call), Deadline: r.loop.Now() + orderDeadlineMs, Outage: rule,
	})
	r.loop.After(orderDeadlineMs+callerPatienceMs, func() {
		if s.answers == 0 {
			r.repeat(n, 0)
		}
	})
}

func (r *ordersRun) answered(a order.Answer) {
	s := r.check.answered(r.loop.Now(), a)
	c := &r.callers[s.order]
	switch {
	case a.Execution == attempt.Executed:
		c.settled = true
	case a.Outcome == order.OutcomeRefused:
		r.repeat(s.order, max(a.RetryAfter, 100))
	default:
		r.repeat(s.order, repeatUnknownMs)
	}
}

// repeat submits the same id again after a wait, unless one repeat is scheduled already.
func (r *ordersRun) repeat(n int, wait clock.Millis) {
	c := &r.callers[n]
	if c.settled || c.waiting || c.repeats >= maxCallerRepeats {
		return
	}
	c.repeats++
	c.waiting = true
	backoff := clock.Millis(c.repeats) * 200
	r.loop.After(wait+backoff+clock.Millis(r.rng.IntN(200)), func() {
		c.waiting = false
		if !c.settled {
			r.submit(n)
		}
	})
}
