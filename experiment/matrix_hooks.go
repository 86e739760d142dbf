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

// chain holds the effects of all faults that are switched on at once.
type chain[F any] []*F

// add switches an effect on and returns what switches it off.
func (c *chain[F]) add(f F) func() {
	own := &f
	*c = append(*c, own)
	return func() {
		*c = slices.DeleteFunc(*c, func(other *F) bool { return other == own })
	}
}

// faultState is what the faults have switched on. The zero values are healthy.
type faultState struct {
	reply      func(attempt.Request, attempt.Reply, func(attempt.Reply))
	load       chain[func(upstream.ID, upstream.Load) upstream.Load]
	roster     chain[func([]fleet.VM) []fleet.VM]
	loseAnswer chain[func() bool]
	cut        chain[func(from, to string) bool]
	seen       []func(string, vm.Cmd)
}

func (c *cell) before(id string, msg vm.Msg) {
	c.observe(moment{vm: id, msg: msg})
}

func (c *cell) after(id string, core *vm.Core) {
	if c.tier != nil {
		c.changes.observe(id, core)
	}
}

func (c *cell) commands(id string, cmd vm.Cmd) []vm.Cmd {
	list := []vm.Cmd{cmd}
	if c.opts.MapCmd != nil {
		list = c.opts.MapCmd(id, cmd)
	}
	for _, cmd := range list {
		c.observe(moment{vm: id, cmd: cmd})
		for _, see := range c.faults.seen {
			see(id, cmd)
		}
		switch a := cmd.(type) {
		case vm.AnswerQueryCmd:
			c.load.receive(a.CallID, a)
		case vm.AnswerOrderCmd:
			c.load.receive(a.CallID, a)
		}
	}
	return list
}

func (c *cell) reply(req attempt.Request, r attempt.Reply, deliver func(attempt.Reply)) {
	if c.faults.reply != nil {
		c.faults.reply(req, r, deliver)
		return
	}
	deliver(r)
}

func (c *cell) loadReport(id upstream.ID, load upstream.Load) upstream.Load {
	for _, change := range c.faults.load {
		load = (*change)(id, load)
	}
	return load
}

func (c *cell) roster(_ string, list []fleet.VM) []fleet.VM {
	for _, change := range c.faults.roster {
		list = (*change)(list)
	}
	return list
}

func (c *cell) cut(from, to string) bool {
	cut := false
	for _, drops := range c.faults.cut {
		cut = (*drops)(from, to) || cut
	}
	return cut
}

// stop begins the planned stop of a VM and replaces it once it has drained.
func (c *cell) stop(id string) {
	life := c.tier.byID[id].life
	c.stopping[id] = life + 1
	c.note("%s begins its planned stop", id)
	c.tier.Stop(id, func(took clock.Millis) {
		c.note("%s drained in %d ms", id, took)
		delete(c.stopping, id)
		c.load.killed(id, life) // a request that a drained VM has not answered was cut
		c.check.cut(c.load.requests, id, life)
		c.tier.Loop.After(clock.Second, func() { c.tier.Replace(id) })
	})
}

// kill ends a VM at once and replaces it two seconds later.
func (c *cell) kill(id string) {
	c.load.killed(id, c.tier.byID[id].life)
	c.tier.Kill(id)
	c.tier.Loop.After(2*clock.Second, func() { c.tier.Replace(id) })
}

// cut checks that a VM that ended its planned stop has answered every request.
func (c *checker) cut(list []*request, id string, life int) {
	for _, q := range list {
		if q.vm == id && q.life == life && len(q.answers) == 0 {
			c.fail(InvariantPlannedStop, "%s was not answered before %s ended its planned stop", q.body, id)
		}
	}
}

// uncut checks a run in which nothing but a planned stop happened: no request
// may end without a known result.
func (c *checker) uncut(list []*request) {
	for _, q := range list {
		for _, cmd := range q.answers {
			switch a := cmd.(type) {
			case vm.AnswerQueryCmd:
				if a.Answer.Outcome == vm.Failed || a.Answer.Outcome == vm.Partial {
					c.fail(InvariantPlannedStop, "%s through %s ended %s: %s", q.body, q.vm, a.Answer.Outcome, a.Answer.Reason)
				}
			case vm.AnswerOrderCmd:
				if a.Answer.Outcome == order.OutcomeUnknown {
					c.fail(InvariantPlannedStop, "%s through %s ended unknown: %s", q.body, q.vm, a.Answer.Reason)
				}
			}
		}
	}
}
