package gateway

import (
	"net/http"
	"time"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
)

const (
	// defaultGraceMs is the users' time between the order to stop and the kill.
	defaultGraceMs = 6 * clock.Second

	// outOfRotationMs is how long callers may still come: the balancer asks once
	// a second and needs two misses, and the last caller needs time to connect.
	outOfRotationMs = 3 * clock.Second

	// graceReserveMs is kept from the time until the kill for the last answers.
	graceReserveMs clock.Millis = 700

	// stopPollMs is how often a stopping VM looks whether something is left.
	stopPollMs clock.Millis = 50

	// quietMs is how long nothing may be left before the process ends.
	quietMs clock.Millis = 200
)

// stop finishes what callers have sent. It returns when nothing is left, or
// shortly before the process would be killed.
func (g *Gateway) stop(front *http.Server) {
	begin, grace := g.clock.Now(), clock.Millis(g.graceMs.Load())
	end := begin + max(grace-graceReserveMs, 0)
	g.stopping.Store(true)
	g.ready.Store(false)
	_ = g.logger.Log("event", "stopping", "grace_ms", int64(grace))
	g.post(item{roster: roster.LeaveMsg{}})
	g.post(item{relay: relay.StopMsg{Deadline: end}})
	idleSince := clock.Millis(0)
	for {
		time.Sleep(stopPollMs.Duration())
		now := g.clock.Now()
		if now >= end+graceReserveMs/2 {
			return
		}
		if now-begin < min(outOfRotationMs, grace/2) {
			continue
		}
		if g.inFlight.Load() > 0 {
			idleSince = 0
			continue
		}
		if idleSince == 0 {
			// Idle connections are told to close; one that has just sent a request
			// is answered first.
			front.SetKeepAlivesEnabled(false)
			idleSince = now
		}
		if now-idleSince >= quietMs {
			return
		}
	}
}
