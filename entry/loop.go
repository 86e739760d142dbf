package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// batchLen is how many waiting messages the loop handles before it looks at
// its timer again.
const batchLen = 256

// errDrainLimit ends a planned stop that takes too long.
var errDrainLimit = errors.New("drain limit reached with work still open")

// loop owns the core. It returns once ctx has ended and the core is drained.
func (v *VM) loop(ctx, io context.Context) error {
	defer close(v.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	var drain drain
	for {
		v.arm(timer, &drain)
		select {
		case it := <-v.inbox:
			v.accept(io, it)
			v.acceptWaiting(io)
		case q := <-v.asks:
			q.read(v.core, v.clock.Now())
			close(q.done)
		case <-timer.C:
			v.step(io, vm.TickMsg{})
		case <-stop:
			stop = nil
			drain.begin(v.clock.Now(), v.drainLimit)
			v.step(io, vm.StopMsg{})
		case <-io.Done():
			return nil
		}
		if end, err := drain.over(v.clock.Now(), v.core, v.balancerWait); end {
			v.logPending()
			return err
		}
	}
}

// logPending names what a planned stop leaves behind.
func (v *VM) logPending() {
	if pending := v.core.PendingWork(v.clock.Now()); len(pending) > 0 {
		_ = v.logger.Log("event", "drain_incomplete", "vm", v.self.ID, "pending", strings.Join(pending, ", "))
	}
}

// arm sets the timer to the next wake of the core or of the drain.
func (v *VM) arm(timer *time.Timer, d *drain) {
	now := v.clock.Now()
	wait := clock.Second
	if at, ok := v.core.NextWake(); ok {
		wait = min(wait, at-now)
	}
	if d.active {
		wait = min(wait, drainCheckMs)
	}
	timer.Reset(max(wait, 0).Duration())
}

func (v *VM) acceptWaiting(io context.Context) {
	for range batchLen {
		select {
		case it := <-v.inbox:
			v.accept(io, it)
		default:
			return
		}
	}
}

func (v *VM) accept(io context.Context, it item) {
	if it.answer != nil {
		v.waiters[it.call] = it.answer
	}
	v.step(io, it.msg)
}

// step updates the core and performs its commands, and those that follow from
// results that are known at once.
func (v *VM) step(io context.Context, msg vm.Msg) {
	v.requeued = append(v.requeued, msg)
	for i := 0; i < len(v.requeued); i++ {
		for _, cmd := range v.core.Update(v.clock.Now(), v.requeued[i]) {
			v.perform(io, cmd)
		}
	}
	clear(v.requeued)
	v.requeued = v.requeued[:0]
}

// post hands a message to the event loop. It is dropped once the loop has ended.
func (v *VM) post(msg vm.Msg) {
	select {
	case v.inbox <- item{msg: msg}:
	case <-v.stopped:
	}
}

// view runs a read of the core in the event loop.
func (v *VM) view(read func(core *vm.Core, now clock.Millis)) error {
	q := ask{read: read, done: make(chan struct{})}
	select {
	case v.asks <- q:
		<-q.done
		return nil
	case <-v.stopped:
		return wrap("read", KindClosed, errors.New("the VM has stopped"))
	}
}

// drainCheckMs is how often a stopping VM looks whether it is drained.
const drainCheckMs clock.Millis = 20

// drain tracks a planned stop.
type drain struct {
	active  bool
	limit   clock.Millis
	emptyAt clock.Millis // since when nothing is left to do, 0 if something is
}

func (d *drain) begin(now, limit clock.Millis) { d.active, d.limit = true, now+limit }

// over reports whether the stop is complete. At the limit it is an error only
// if a request would be cut: marks and releases of orders that are answered wait
// for the store, and an order whose mark is lost still never runs again. It waits for the balancer after
// the last request, because requests may still arrive until it notices.
func (d *drain) over(now clock.Millis, core *vm.Core, wait clock.Millis) (bool, error) {
	if !d.active {
		return false, nil
	}
	if now >= d.limit && core.OnlyStoreWritesPending(now) {
		return true, nil
	}
	if now >= d.limit {
		return true, wrap("drain", KindClosed, fmt.Errorf("%w: %s", errDrainLimit, strings.Join(core.PendingWork(now), ", ")))
	}
	if !core.Drained(now) {
		d.emptyAt = 0
		return false, nil
	}
	if d.emptyAt == 0 {
		d.emptyAt = now
	}
	return now >= d.emptyAt+wait, nil
}
