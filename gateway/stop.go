package gateway

import (
	"net"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
)

const (
	// defaultGracePeriodMs is the time from the stop signal until the process is killed,
	// as on the users' platform.
	defaultGracePeriodMs = 6 * clock.Second

	// deregisterDelayMs is how long new callers may still connect after readiness is
	// withdrawn: the load balancer checks once a second and removes the VM after two
	// failed checks, and the last caller needs time to connect.
	deregisterDelayMs = 3 * clock.Second

	// stopReserveMs is the end of the grace period that is reserved for sending the last
	// answers.
	stopReserveMs clock.Millis = 700

	// stopPollMs is the interval at which a stopping VM checks for requests in flight.
	stopPollMs clock.Millis = 50

	// minIdleMs is how long no request may be in flight before the process ends.
	minIdleMs clock.Millis = 200
)

// stop drains the VM: it withdraws readiness and answers the requests in flight, those
// that other VMs delegated included. It returns when none is left and no connection is in
// the middle of a request, or shortly before the process would be killed.
func (g *Gateway) stop(callers net.Listener) {
	start, grace := g.clock.Now(), clock.Millis(g.gracePeriodMs.Load())
	deadline := start + max(grace-stopReserveMs, 0)
	callersUntil := start + min(deregisterDelayMs, grace/2)
	g.stopping.Store(true)
	g.ready.Store(false)
	_ = g.logger.Log("event", "stopping", "grace_ms", int64(grace))
	g.post(loopMsg{registrar: roster.LeaveMsg{}})
	g.post(loopMsg{quota: quota.StopMsg{}})
	g.post(loopMsg{relay: relay.StopMsg{Deadline: deadline, CallersUntil: callersUntil}})
	g.awaitIdle(callersUntil, deadline)
	_ = callers.Close()
	<-g.acceptDone // every accepted connection is known from here
	busy := g.callerConns.closeIdle()
	for end := deadline + stopReserveMs/2; busy > 0 && g.clock.Now() < end; busy = g.callerConns.closeIdle() {
		time.Sleep(stopPollMs.Duration())
	}
	if busy > 0 {
		_ = g.logger.Log("event", "stop_incomplete", "connections", busy)
	}
}

// awaitIdle waits until no request has been in flight for minIdleMs, from earliest to
// latest.
func (g *Gateway) awaitIdle(earliest, latest clock.Millis) {
	idleSince := clock.Millis(0)
	for now := g.clock.Now(); now < latest; now = g.clock.Now() {
		switch {
		case now < earliest:
		case g.inFlight.Load() > 0 || g.delegated.Load() > 0:
			idleSince = 0
		case idleSince == 0:
			idleSince = now
		case now-idleSince >= minIdleMs:
			return
		}
		time.Sleep(stopPollMs.Duration())
	}
}
