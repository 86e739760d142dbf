package replay

import (
	"fmt"
	"slices"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// upstream is a simulated upstream.
type upstream struct {
	info            relay.Upstream
	slots           int
	queueCap        int
	busy            int
	queue           []*job
	factor          float64 // multiplies the service time
	nextPause       clock.Millis
	pauseMs         clock.Millis
	pauseIntervalMs clock.Millis
	pauseEnd        clock.Millis
	down            bool
	shedShare       float64 // share of the attempts that it refuses as full
	loseShare       float64 // share of the replies that are lost with their connection
	coldUntil       clock.Millis
	coldArrivals    []clock.Millis // of the last second
}

type job struct {
	vm         int
	attempt    uint64
	name       string
	dataCentre string // of the upstream
	serviceMs  clock.Millis
	dropped    bool
}

// receive handles the arrival of an attempt at its upstream.
func (w *Simulation) receive(vm int, c relay.SendCmd) {
	u := w.upstreams[c.Upstream]
	if u.down {
		w.at(w.now+oneWayMs, func() { w.update(vm, relay.AttemptFailedMsg{Attempt: c.Attempt, NotSent: true, Cause: "down"}) })
		return
	}
	w.countCold(u)
	name := w.requestNames[c.Request]
	key := u.info.Service + "/" + name
	if w.arrived[key] {
		w.extraArrivals[u.info.Service]++
	}
	w.arrived[key] = true
	meanMs := 20.0
	if w.urgent[name] {
		meanMs = 6.7
	}
	serviceMs := meanMs * (0.7 + 0.6*w.rng.Float64())
	if w.rng.Float64() < 0.01 {
		serviceMs *= 5
	}
	j := &job{vm: vm, attempt: c.Attempt, name: name, dataCentre: u.info.DataCentre, serviceMs: clock.Millis(serviceMs * u.factor)}
	if len(u.queue) >= u.queueCap || w.happens(u.shedShare) {
		w.reply(j, relay.Reply{Status: 503, NotRun: true})
		return
	}
	u.queue = append(u.queue, j)
	w.serve(u)
}

// serve starts queued jobs while slots are free and the upstream is not paused.
func (w *Simulation) serve(u *upstream) {
	if u.pauseIntervalMs > 0 && w.now >= u.nextPause {
		u.pauseEnd = u.nextPause + u.pauseMs
		u.nextPause += u.pauseIntervalMs
	}
	if w.now < u.pauseEnd {
		w.at(u.pauseEnd, func() { w.serve(u) })
		return
	}
	for u.busy < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		if j.dropped {
			continue
		}
		u.busy++
		w.started[j.name] = true
		w.recordRun(u, j)
		w.at(w.now+max(j.serviceMs, 1), func() {
			u.busy--
			if w.happens(u.loseShare) {
				w.at(w.now+oneWayMs, func() { w.update(j.vm, relay.AttemptFailedMsg{Attempt: j.attempt, Cause: "broken"}) })
				w.serve(u)
				return
			}
			w.reply(j, relay.Reply{Status: 200, Receipt: fmt.Sprintf("%s.%s.%d", u.info.ID, j.name, j.attempt)})
			w.serve(u)
		})
	}
}

// recordRun records that an upstream begins to execute a request, and a violation if
// that are more upstreams of the service than the routes allow.
func (w *Simulation) recordRun(u *upstream, j *job) {
	key := u.info.Service + "/" + j.name
	if slices.Contains(w.ranOn[key], u.info.ID) {
		return
	}
	w.ranOn[key] = append(w.ranOn[key], u.info.ID)
	if n := len(w.ranOn[key]); n > w.routes[0].MaxAttempts {
		w.violations = append(w.violations, fmt.Sprintf("%s ran on %d upstreams, want at most %d", key, n, w.routes[0].MaxAttempts))
	}
}

// happens draws an event with a share of all cases. It draws nothing if the share is 0.
func (w *Simulation) happens(share float64) bool { return share > 0 && w.rng.Float64() < share }

func (w *Simulation) reply(j *job, rep relay.Reply) {
	if j.dropped {
		return
	}
	if !w.pass(j.dataCentre, w.fleet[j.vm].DataCentre, func() { w.update(j.vm, relay.ReplyMsg{Attempt: j.attempt, Reply: rep}) }) {
		w.loseAttempt(j.vm, j.attempt)
	}
}

func (w *Simulation) cancel(vm int, attempt uint64) {
	for _, id := range w.sortedUpstreamIDs() {
		for _, j := range w.upstreams[id].queue {
			if j.vm == vm && j.attempt == attempt {
				j.dropped = true
			}
		}
	}
}
