package entry

import (
	"context"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// workerIdleTimeout is how long a worker waits for its next attempt. It covers the
// gaps of steady load, and a burst's workers end soon after it.
const workerIdleTimeout = 2 * clock.Second

// dispatchAttempt gives an attempt to an idle worker, or starts one. Workers are
// reused because a new goroutine grows its stack again in each attempt, which
// took 9% of the processor time of a busy VM.
func (v *VM) dispatchAttempt(ioCtx context.Context, req attempt.Request) {
	select {
	case v.attempts <- req:
	default:
		go v.runWorker(ioCtx, req)
	}
}

// runWorker runs attempts one after the other until there is none for a
// while. Pool limits bound the number of attempts, and so of workers.
func (v *VM) runWorker(ioCtx context.Context, req attempt.Request) {
	idle := time.NewTimer(workerIdleTimeout.Duration())
	defer idle.Stop()
	for {
		v.post(vm.ReplyMsg{Reply: v.upstreams.Send(ioCtx, req)})
		idle.Reset(workerIdleTimeout.Duration())
		select {
		case req = <-v.attempts:
		case <-idle.C:
			return
		case <-ioCtx.Done():
			return
		}
	}
}
