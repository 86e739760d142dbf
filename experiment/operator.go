package experiment

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// operator commits one preset change through one VM. If the VM dies, there is no result.
type operator struct {
	fleet      *Fleet
	vm         *FleetVM
	generation int
	committer  *preset.Committer
	done       func(preset.Result)
}

// StartChange starts a preset change through a VM and calls done with the result that the operator gets.
func (f *Fleet) StartChange(n *FleetVM, c preset.Change, timeout clock.Millis, done func(preset.Result)) {
	committer := preset.NewCommitter(c, n.Model.Record(), f.Loop.Now()+timeout)
	o := &operator{fleet: f, vm: n, generation: n.generation, committer: committer, done: done}
	o.update(preset.StartMsg{})
}

func (o *operator) update(msg preset.Msg) {
	if o.vm.generation != o.generation {
		return
	}
	if o.fleet.Paused(o.vm) {
		o.fleet.Loop.At(o.vm.pausedUntil, func() { o.update(msg) })
		return
	}
	for _, cmd := range o.committer.Update(o.fleet.Loop.Now(), msg) {
		switch cmd := cmd.(type) {
		case preset.StoreCmd:
			o.fleet.Store.Call(o.vm, cmd.Request, func(r store.Reply) { o.update(preset.StoreMsg{Reply: r}) })
		case preset.ResultCmd:
			if cmd.Result.Accepted == preset.Accepted {
				o.fleet.Deliver(o.vm, fleet.RecordMsg{Record: cmd.Result.Record})
			}
			o.done(cmd.Result)
		}
	}
	if at, ok := o.committer.NextWake(); ok {
		o.fleet.Loop.At(at, func() { o.update(preset.TickMsg{}) })
	}
}
