package experiment

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// operator carries out one change on one VM. If the VM dies, there is no result.
type operator struct {
	fleet   *Fleet
	node    *FleetVM
	life    int
	changer *preset.Committer
	done    func(preset.Result)
}

// StartChange starts a change on a VM. done receives the result that the operator sees.
func (f *Fleet) StartChange(n *FleetVM, c preset.Change, patience clock.Millis, done func(preset.Result)) {
	changer := preset.NewCommitter(c, n.Model.Record(), f.Loop.Now()+patience)
	o := &operator{fleet: f, node: n, life: n.life, changer: changer, done: done}
	o.update(preset.StartMsg{})
}

func (o *operator) update(msg preset.Msg) {
	if o.node.life != o.life {
		return
	}
	if o.fleet.Paused(o.node) {
		o.fleet.Loop.At(o.node.until, func() { o.update(msg) })
		return
	}
	for _, cmd := range o.changer.Update(o.fleet.Loop.Now(), msg) {
		switch cmd := cmd.(type) {
		case preset.StoreCmd:
			o.fleet.Store.Call(o.node, cmd.Request, func(r store.Reply) { o.update(preset.StoreMsg{Reply: r}) })
		case preset.ResultCmd:
			if cmd.Result.Accepted == preset.Accepted {
				o.fleet.Deliver(o.node, fleet.RecordMsg{Record: cmd.Result.Record})
			}
			o.done(cmd.Result)
		}
	}
	if at, ok := o.changer.NextWake(); ok {
		o.fleet.Loop.At(at, func() { o.update(preset.TickMsg{}) })
	}
}
