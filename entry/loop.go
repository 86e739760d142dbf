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

// maxBatch is the number of queued messages that the loop handles before it checks
// its timer again.
const maxBatch = 256

// errDrainLimit means that a planned stop did not finish its work within the drain limit.
var errDrainLimit = errors.New("drain limit reached with pending work")

// loop owns the core. It drains the core after ctx is cancelled, then returns. It
// also returns when ioCtx is cancelled.
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
			v.tickIfDue(ioCtx)
		case read := <-v.reads:
			read.read(v.core, v.clock.Now())
			close(read.done)
		case <-timer.C:
			v.acceptQueued(ioCtx)
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

// logPending logs the work that a planned stop left unfinished.
func (v *VM) logPending() {
	if pending := v.core.PendingWork(v.clock.Now()); len(pending) > 0 {
		_ = v.logger.Log("event", "drain_incomplete", "vm", v.self.ID, "pending", strings.Join(pending, ", "))
	}
}

// resetTimer sets the timer to the next wake-up of the core, to the next drain
// check, or to one second, whichever is first.
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

// tickIfDue passes a TickMsg to the core if one of its timers is due.
func (v *VM) tickIfDue(ioCtx context.Context) {
	if at, ok := v.core.NextWake(); ok && at <= v.clock.Now() {
		v.process(ioCtx, vm.TickMsg{})
	}
}

// acceptQueued handles the messages in the queue, at most maxBatch.
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

// process updates the core with a message and performs its commands. Messages that
// the commands add to msgQueue are processed too.
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

// post sends a message to the event loop. It drops the message if the loop has ended.
func (v *VM) post(msg vm.Msg) {
	select {
	case v.inbox <- inboxItem{msg: msg}:
	case <-v.stopped:
	}
}

// readCore runs a function that reads the core in the event loop.
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

// drainCheckMs is the interval at which a stopping VM checks whether it is drained.
const drainCheckMs clock.Millis = 20

// drain is the state of a planned stop.
type drain struct {
	active    bool
	deadline  clock.Millis
	drainedAt clock.Millis // when the core became drained, 0 if work is left
}

func (d *drain) begin(now, limit clock.Millis) { d.active, d.deadline = true, now+limit }

// finished reports whether the stop is complete. Without pending work it still
// waits for balancerWait, because requests can arrive until the balancer notices
// that the VM is not ready.
//
// Reaching the deadline is an error only if requests are unfinished. Pending store
// writes alone are not: they mark or release claims of orders that are answered,
// and an order whose mark is lost is still never executed again.
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
