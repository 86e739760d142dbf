package experiment

import (
	"math/rand/v2"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/store"
)

// orderVM is one process of a VM. It performs the commands of its state machine.
type orderVM struct {
	run         *ordersRun
	name        string
	incarnation uint64
	machine     orderMachine
	dead        bool
	stopping    bool
	pausedUntil clock.Millis
	inbox       []order.Msg
	nextWake    clock.Millis
	submissions uint64
}

func (r *ordersRun) startVM(name string, incarnation uint64) *orderVM {
	vm := &orderVM{run: r, name: name, incarnation: incarnation}
	seq := uint64(0)
	opts := []order.Option{
		order.WithSelf(name, incarnation),
		order.WithPicker(r.pickUpstream),
		order.WithAttemptID(func() attempt.ID {
			seq++
			return attempt.ID{VM: name, Incarnation: incarnation, Seq: seq}
		}),
	}
	vm.machine = order.New(append(opts, r.cfg.options...)...)
	if r.cfg.wrapMachine != nil {
		vm.machine = r.cfg.wrapMachine(vm.machine)
	}
	r.vms[name] = vm
	return vm
}

// deliver passes a message to the machine, or queues it while the VM is paused.
func (vm *orderVM) deliver(msg order.Msg) {
	switch {
	case vm.dead:
	case vm.run.loop.Now() < vm.pausedUntil:
		vm.inbox = append(vm.inbox, msg)
	default:
		vm.update(msg)
	}
}

func (vm *orderVM) update(msg order.Msg) {
	for _, cmd := range vm.machine.Update(vm.run.loop.Now(), msg) {
		vm.perform(cmd)
	}
	vm.scheduleWake()
}

func (vm *orderVM) perform(cmd order.Cmd) {
	r := vm.run
	switch cmd := cmd.(type) {
	case order.SendCmd:
		r.checker.recordSend(r.loop.Now(), cmd)
		r.sendAttempt(vm, cmd.Request)
	case order.StoreCmd:
		r.store.call(cmd.Request, func(reply store.Reply) { vm.deliver(order.StoreMsg{Reply: reply}) })
	case order.PeerCmd:
		r.sendMessage(vm.name, cmd.To, cmd.Msg)
	case order.AnswerCmd:
		r.handleAnswer(cmd.Answer)
	case order.EventCmd:
	}
}

// scheduleWake schedules a tick at the machine's next wake time.
func (vm *orderVM) scheduleWake() {
	at, ok := vm.machine.NextWake()
	if !ok || vm.nextWake > vm.run.loop.Now() && vm.nextWake <= at {
		return
	}
	at = max(at, vm.run.loop.Now()+1)
	vm.nextWake = at
	vm.run.loop.At(at, func() {
		if vm.nextWake == at {
			vm.nextWake = 0
			vm.deliver(order.TickMsg{})
		}
	})
}

// pause delays every message and tick by d and delivers all of them when the VM resumes.
func (vm *orderVM) pause(d clock.Millis) {
	until := vm.run.loop.Now() + d
	if vm.dead || until <= vm.pausedUntil {
		return
	}
	vm.pausedUntil = until
	vm.run.loop.At(until, func() {
		if vm.pausedUntil != until {
			return
		}
		inbox := vm.inbox
		vm.inbox = nil
		for _, msg := range inbox {
			vm.deliver(msg)
		}
		vm.deliver(order.TickMsg{})
	})
}

// sendMessage delivers a message between VMs with delay, loss, duplicates and cut links.
func (r *ordersRun) sendMessage(from, to string, msg order.Msg) {
	copies := 1
	delay := 1 + clock.Millis(r.rng.IntN(2))
	if r.faultsActive() {
		switch r.rng.IntN(400) {
		case 0, 1:
			copies = 0
		case 2:
			copies = 2
		case 3:
			delay += clock.Millis(r.rng.IntN(3000))
		}
		if r.loop.Now() < r.cutUntil[[2]string{from, to}] {
			copies = 0
		}
	}
	for range copies {
		r.loop.After(delay, func() {
			if vm := r.vms[to]; vm != nil {
				vm.deliver(msg)
			}
		})
		delay += clock.Millis(r.rng.IntN(500))
	}
}

// newOrdersRNG returns the random number generator of one part of a run.
func newOrdersRNG(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }
