package experiment

import (
	"fmt"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

const (
	orderGroups   = 30
	orderReplicas = 2
	orderService  = "desk"
)

func orderGroup(n int) string { return fmt.Sprintf("g%02d", n%orderGroups) }

func orderUpstream(group string, replica int) upstream.ID {
	return upstream.ID(fmt.Sprintf("%s/%s/%d", orderService, group, replica))
}

func (r *ordersRun) pickUpstream(_ clock.Millis, _, group string, exclude []upstream.ID) (upstream.ID, bool) {
	first := r.rng.IntN(orderReplicas)
	for i := range orderReplicas {
		id := orderUpstream(group, (first+i)%orderReplicas)
		if len(exclude) == 0 || exclude[0] != id {
			return id, true
		}
	}
	return "", false
}

// sendAttempt delivers an attempt to its upstream and exactly one reply to the VM:
// that of the upstream, or a timeout at the deadline.
func (r *ordersRun) sendAttempt(vm *orderVM, req attempt.Request) {
	replied := false
	reply := func(rep attempt.Reply) {
		if replied { // the timeout was reported earlier
			r.checker.recordLostAttempt(req.OrderID)
			return
		}
		replied = true
		vm.deliver(replyMsg(rep))
	}
	r.loop.At(req.Deadline, func() {
		if replied {
			return
		}
		reply(attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.TimedOut})
	})
	delay := clock.Millis(1)
	if r.faultsActive() {
		switch r.rng.IntN(300) {
		case 0:
			r.loop.After(1, func() {
				reply(attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.NotSent, Execution: attempt.NotExecuted})
			})
			return
		case 1: // the request is lost
			r.checker.recordLostAttempt(req.OrderID)
			return
		case 2:
			delay += clock.Millis(r.rng.IntN(2500))
		case 3, 4, 5:
			r.loop.After(2, func() {
				reply(attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.Shed, Execution: attempt.NotExecuted})
			})
			return
		}
	}
	r.loop.After(delay, func() { r.serve(req, reply) })
}

// serve passes the attempt to its upstream. The upstream starts it immediately or
// refuses it, so the change of its execution count shows which one happened.
func (r *ordersRun) serve(req attempt.Request, reply func(attempt.Reply)) {
	u := r.upstreams[req.Upstream]
	before := u.Executions(req.OrderID)
	u.Serve(req, func(rep attempt.Reply) {
		if !r.faultsActive() {
			r.loop.After(1, func() { reply(rep) })
			return
		}
		switch r.rng.IntN(300) {
		case 0: // the reply is lost
			r.checker.recordLostAttempt(req.OrderID)
		case 1:
			r.loop.After(1, func() { reply(attempt.Reply{ID: req.ID, Upstream: req.Upstream, Status: attempt.Failed}) })
			r.checker.recordLostAttempt(req.OrderID)
		case 2:
			r.loop.After(1+clock.Millis(r.rng.IntN(1000)), func() { reply(rep) })
		default:
			r.loop.After(1, func() { reply(rep) })
		}
	})
	if u.Executions(req.OrderID) > before {
		r.checker.recordRun(req)
	}
}
