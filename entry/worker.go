package entry

import (
	"context"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// workerIdleTimeout is how long a worker waits for its next attempt. It is longer
// than the gaps between attempts under steady load, and short enough that the
// workers started by a burst end soon after it.
const workerIdleTimeout = 2 * clock.Second

// dispatchAttempt passes an attempt to an idle worker, or starts a new one. Workers
// are reused because the stack of a new goroutine has to grow in each attempt,
// which took 9% of the CPU time of a busy VM.
func (v *VM) dispatchAttempt(ioCtx context.Context, req attempt.Request) {
	select {
	case v.attempts <- req:
	default:
		go v.runWorker(ioCtx, req)
	}
}

// runWorker runs attempts one after the other until it is idle for
// workerIdleTimeout. Pool limits bound the number of concurrent attempts, and
// therefore of workers.
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
