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

// maxBatch is how many waiting messages the loop handles before it looks at
// its timer again.
const maxBatch = 256

// errDrainLimit ends a planned stop that takes too long.
var errDrainLimit = errors.New("drain limit reached with work still open")

// loop owns the core. It returns once ctx has ended and the core is drained.
func (v *VM) loop(ctx, ioCtx context.Context) error {
	defer close(v.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	var drain drain
	for {
		v.resetTimer(timer, &drain)
		select {
		case item := <-v.inbox:
			v.acceptItem(ioCtx, item)
			v.acceptQueued(ioCtx)
		case read := <-v.reads:
			read.read(v.core, v.clock.Now())
			close(read.done)
		case <-timer.C:
			v.process(ioCtx, vm.TickMsg{})
		case <-stop:
			stop = nil
			drain.begin(v.clock.Now(), v.drainLimit)
			v.process(ioCtx, vm.StopMsg{})
		case <-ioCtx.Done():
			return nil
		}
		if end, err := drain.finished(v.clock.Now(), v.core, v.balancerWait); end {
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

// resetTimer sets the timer to the next wake of the core or of the drain.
func (v *VM) resetTimer(timer *time.Timer, d *drain) {
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

func (v *VM) acceptQueued(ioCtx context.Context) {
	for range maxBatch {
		select {
		case item := <-v.inbox:
			v.acceptItem(ioCtx, item)
		default:
			return
		}
	}
}

func (v *VM) acceptItem(ioCtx context.Context, item inboxItem) {
	if item.answer != nil {
		v.waiters[item.callID] = item.answer
	}
	v.process(ioCtx, item.msg)
}

// process updates the core and performs its commands, and those that follow from
// results that are known at once.
func (v *VM) process(ioCtx context.Context, msg vm.Msg) {
	v.msgQueue = append(v.msgQueue, msg)
	for i := 0; i < len(v.msgQueue); i++ {
		for _, cmd := range v.core.Update(v.clock.Now(), v.msgQueue[i]) {
			v.perform(ioCtx, cmd)
		}
	}
	clear(v.msgQueue)
	v.msgQueue = v.msgQueue[:0]
}

// post hands a message to the event loop. It is dropped once the loop has ended.
func (v *VM) post(msg vm.Msg) {
	select {
	case v.inbox <- inboxItem{msg: msg}:
	case <-v.stopped:
	}
}

// readCore runs a read of the core in the event loop.
func (v *VM) readCore(read func(core *vm.Core, now clock.Millis)) error {
	request := coreRead{read: read, done: make(chan struct{})}
	select {
	case v.reads <- request:
		<-request.done
		return nil
	case <-v.stopped:
		return wrap("read", KindClosed, errors.New("the VM has stopped"))
	}
}

// drainCheckMs is how often a stopping VM looks whether it is drained.
const drainCheckMs clock.Millis = 20

// drain tracks a planned stop.
type drain struct {
	active    bool
	deadline  clock.Millis
	drainedAt clock.Millis // since when nothing is left to do, 0 if something is
}

func (d *drain) begin(now, limit clock.Millis) { d.active, d.deadline = true, now+limit }

// finished reports whether the stop is complete. At the limit it is an error only
// if a request would be cut: marks and releases of orders that are answered wait
// for the store, and an order whose mark is lost still never runs again. It waits for the balancer after
// the last request, because requests may still arrive until it notices.
func (d *drain) finished(now clock.Millis, core *vm.Core, wait clock.Millis) (bool, error) {
	if !d.active {
		return false, nil
	}
	if now >= d.deadline && core.OnlyStoreWritesPending(now) {
		return true, nil
	}
	if now >= d.deadline {
		return true, wrap("drain", KindClosed, fmt.Errorf("%w: %s", errDrainLimit, strings.Join(core.PendingWork(now), ", ")))
	}
	if !core.Drained(now) {
		d.drainedAt = 0
		return false, nil
	}
	if d.drainedAt == 0 {
		d.drainedAt = now
	}
	return now >= d.drainedAt+wait, nil
}
