package gateway

import (
	"net/http"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
)

const (
	// defaultGracePeriodMs is the users' time between the order to stop and the kill.
	defaultGracePeriodMs = 6 * clock.Second

	// deregisterDelayMs is how long callers may still come: the balancer asks once
	// a second and needs two misses, and the last caller needs time to connect.
	deregisterDelayMs = 3 * clock.Second

	// stopReserveMs is kept from the time until the kill for the last answers.
	stopReserveMs clock.Millis = 700

	// stopPollMs is how often a stopping VM looks whether something is left.
	stopPollMs clock.Millis = 50

	// minIdleMs is how long nothing may be left before the process ends.
	minIdleMs clock.Millis = 200
)

// stop finishes what callers have sent. It returns when nothing is left, or
// shortly before the process would be killed.
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
			// Idle connections are told to close; one that has just sent a request
			// is answered first.
			callerServer.SetKeepAlivesEnabled(false)
			idleSince = now
		}
		if now-idleSince >= minIdleMs {
			return
		}
	}
}
