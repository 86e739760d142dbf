package experiment

import (
	"slices"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// chain holds the handlers of all active faults that affect the same hook.
type chain[F any] []*F

// add registers a handler and returns a function that removes it.
func (c *chain[F]) add(f F) func() {
	entry := &f
	*c = append(*c, entry)
	return func() {
		*c = slices.DeleteFunc(*c, func(other *F) bool { return other == entry })
	}
}

// faultState holds the handlers of the active faults. The zero value has no fault.
type faultState struct {
	deliverReply func(attempt.Request, attempt.Reply, func(attempt.Reply))
	mapLoad      chain[func(upstream.ID, upstream.Load) upstream.Load]
	mapVMList    chain[func([]fleet.VM) []fleet.VM]
	loseReply    chain[func() bool]
	linkCut      chain[func(from, to string) bool]
	onCmd        []func(string, vm.Cmd)
}

func (c *cell) beforeUpdate(id string, msg vm.Msg) {
	c.observe(observation{vm: id, msg: msg})
}

func (c *cell) afterUpdate(id string, core *vm.Core) {
	if c.tier != nil {
		c.presets.checkRevision(id, core)
	}
}

func (c *cell) mapCmd(id string, cmd vm.Cmd) []vm.Cmd {
	list := []vm.Cmd{cmd}
	if c.opts.MapCmd != nil {
		list = c.opts.MapCmd(id, cmd)
	}
	for _, cmd := range list {
		c.observe(observation{vm: id, cmd: cmd})
		for _, observe := range c.faults.onCmd {
			observe(id, cmd)
		}
		switch a := cmd.(type) {
		case vm.AnswerQueryCmd:
			c.load.recordAnswer(a.CallID, a)
		case vm.AnswerOrderCmd:
			c.load.recordAnswer(a.CallID, a)
		}
	}
	return list
}

func (c *cell) deliverReply(req attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
	if c.faults.deliverReply != nil {
		c.faults.deliverReply(req, r, deliver)
		return
	}
	deliver(r)
}

func (c *cell) mapLoad(id upstream.ID, load upstream.Load) upstream.Load {
	for _, change := range c.faults.mapLoad {
		load = (*change)(id, load)
	}
	return load
}

func (c *cell) mapVMList(_ string, list []fleet.VM) []fleet.VM {
	for _, change := range c.faults.mapVMList {
		list = (*change)(list)
	}
	return list
}

func (c *cell) linkCut(from, to string) bool {
	cut := false
	for _, isCut := range c.faults.linkCut {
		cut = (*isCut)(from, to) || cut
	}
	return cut
}

// stop begins the graceful stop of a VM and replaces it after it has drained.
func (c *cell) stop(id string) {
	generation := c.tier.byID[id].generation
	c.stopping[id] = generation + 1
	c.tracef("%s begins its graceful stop", id)
	c.tier.Stop(id, func(took clock.Millis) {
		c.tracef("%s drained in %d ms", id, took)
		delete(c.stopping, id)
		c.load.disconnect(id, generation) // a request that a drained VM left unanswered was disconnected
		c.check.drained(c.load.requests, id, generation)
		c.tier.Loop.After(clock.Second, func() { c.tier.Replace(id) })
	})
}

// kill ends the process of a VM immediately and replaces it two seconds later.
func (c *cell) kill(id string) {
	c.load.disconnect(id, c.tier.byID[id].generation)
	c.tier.Kill(id)
	c.tier.Loop.After(2*clock.Second, func() { c.tier.Replace(id) })
}

// drained checks that a VM answered every request before its graceful stop completed.
func (c *checker) drained(list []*request, id string, generation int) {
	for _, q := range list {
		if q.vm == id && q.generation == generation && len(q.answers) == 0 {
			c.fail(InvariantPlannedStop, "request %s was not answered before %s completed its graceful stop", q.body, id)
		}
	}
}

// plannedStop checks a run whose only fault is a graceful stop: every query must
// be complete or refused, and every order must have a known outcome.
func (c *checker) plannedStop(list []*request) {
	for _, q := range list {
		for _, cmd := range q.answers {
			switch a := cmd.(type) {
			case vm.AnswerQueryCmd:
				if a.Answer.Outcome == vm.Failed || a.Answer.Outcome == vm.Partial {
					c.fail(InvariantPlannedStop, "request %s through %s ended %s: %s", q.body, q.vm, a.Answer.Outcome, a.Answer.Reason)
				}
			case vm.AnswerOrderCmd:
				if a.Answer.Outcome == order.OutcomeUnknown {
					c.fail(InvariantPlannedStop, "order %s through %s has an unknown outcome: %s", q.body, q.vm, a.Answer.Reason)
				}
			}
		}
	}
}
