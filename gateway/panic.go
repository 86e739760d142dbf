package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

const (
	// maxStackBytes bounds the stack in a log line about a panic.
	maxStackBytes = 2000

	// A VM with maxPanics panics within panicWindowMs stops in order: its state can no
	// longer be relied upon.
	maxPanics                  = 5
	panicWindowMs clock.Millis = 10_000
)

var errPanics = errors.New("too many panics")

// recovered ends a panic in what handles one thing, and reports it. It must be deferred
// directly.
func (g *Gateway) recovered(where string) {
	if v := recover(); v != nil {
		g.reportPanic(where, v)
	}
}

// recoveredState is recovered for code that changes the state of this VM. Too many panics
// there stop the VM.
func (g *Gateway) recoveredState(where string) {
	if v := recover(); v != nil {
		g.reportPanic(where, v)
		g.countPanic(where)
	}
}

// reportPanic logs and counts a panic.
func (g *Gateway) reportPanic(where string, v any) {
	stack := debug.Stack()
	g.metrics.panics.Inc()
	_ = g.logger.Log("event", "internal_error", "in", where, "err", shorten(fmt.Errorf("%v", v)), "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// countPanic stops the VM after too many panics within panicWindowMs. Only the event loop
// calls it.
func (g *Gateway) countPanic(where string) {
	now := g.clock.Now()
	g.panicTimes = append(g.panicTimes, now)
	if len(g.panicTimes) < maxPanics {
		return
	}
	g.panicTimes = g.panicTimes[len(g.panicTimes)-maxPanics:]
	if now-g.panicTimes[0] < panicWindowMs {
		select {
		case g.failed <- &Error{op: where, kind: KindPanic, err: errPanics}:
		default: // already stopping
		}
	}
}

// updateRelay passes msg to the relay's state machine. After a panic the request of the
// message is ended with an answer that promises nothing.
func (g *Gateway) updateRelay(now clock.Millis, msg relay.Msg) (cmds []relay.Cmd) {
	defer func() {
		if v := recover(); v != nil {
			where := fmt.Sprintf("%T", msg)
			g.reportPanic(where, v)
			g.countPanic(where)
			cmds = g.relayModel.Abandon(now, msg)
		}
	}()
	return g.relayModel.Update(now, msg)
}

// performSafely performs a command. A panic ends only this command.
func (g *Gateway) performSafely(cmd relay.Cmd) {
	defer g.recoveredState("command")
	g.perform(cmd)
}

// guard returns a handler that answers a request whose handler has panicked with status
// 502, which promises nothing.
func (g *Gateway) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			g.reportPanic("request", v)
			refuse(w, http.StatusBadGateway, 0)
		}()
		h(w, r)
	}
}
