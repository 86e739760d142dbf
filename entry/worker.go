package entry

import (
	"context"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/vm"
)

// workerIdle is how long a worker waits for its next attempt. It covers the
// gaps of steady load, and a burst's workers end soon after it.
const workerIdle = 2 * clock.Second

// startAttempt gives an attempt to an idle worker, or starts one. Workers are
// reused because a new goroutine grows its stack again in each attempt, which
// took 9% of the processor time of a busy VM.
func (v *VM) startAttempt(io context.Context, req attempt.Request) {
	select {
	case v.work <- req:
	default:
		go v.runAttempts(io, req)
	}
}

// runAttempts runs attempts one after the other until there is none for a
// while. Pool limits bound the number of attempts, and so of workers.
func (v *VM) runAttempts(io context.Context, req attempt.Request) {
	idle := time.NewTimer(workerIdle.Duration())
	defer idle.Stop()
	for {
		v.post(vm.ReplyMsg{Reply: v.upstreams.Send(io, req)})
		idle.Reset(workerIdle.Duration())
		select {
		case req = <-v.work:
		case <-idle.C:
			return
		case <-io.Done():
			return
		}
	}
}
