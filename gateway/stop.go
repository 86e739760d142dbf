package gateway

import (
	"net/http"
	"time"

	"lentillink.example/lentillink/clock"
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

// stop drains the VM: it withdraws readiness and answers the requests in flight. It
// returns when none is left, or shortly before the process would be killed.
func (g *Gateway) stop(callerServer *http.Server) {
	start, grace := g.clock.Now(), clock.Millis(g.gracePeriodMs.Load())
	deadline := start + max(grace-stopReserveMs, 0)
	g.stopping.Store(true)
	g.ready.Store(false)
	_ = g.logger.Log("event", "stopping", "grace_ms", int64(grace))
	g.post(loopMsg{registrar: roster.LeaveMsg{}})
	g.post(loopMsg{relay: relay.StopMsg{Deadline: deadline}})
	idleSince := clock.Millis(0)
	for {
		time.Sleep(stopPollMs.Duration())
		now := g.clock.Now()
		if now >= deadline+stopReserveMs/2 {
			return
		}
		if now-start < min(deregisterDelayMs, grace/2) {
			continue
		}
		if g.inFlight.Load() > 0 {
			idleSince = 0
			continue
		}
		if idleSince == 0 {
			// This closes idle connections. A connection on which a request has just
			// arrived is closed only after its answer.
			callerServer.SetKeepAlivesEnabled(false)
			idleSince = now
		}
		if now-idleSince >= minIdleMs {
			return
		}
	}
}
