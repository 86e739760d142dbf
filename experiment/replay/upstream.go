package replay

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// server is an upstream of the replay.
type server struct {
	up       relay.Upstream
	slots    int
	queueCap int
	busy     int
	queue    []*job
	factor   float64 // multiple of the work time
	pauseAt  clock.Millis
	pauseMs  clock.Millis
	everyMs  clock.Millis
	pauseEnd clock.Millis
	down     bool
}

type job struct {
	vm      int
	attempt uint64
	name    string
	work    clock.Millis
	dropped bool
}

// arriveAt brings an attempt to its upstream.
func (w *Simulation) arriveAt(vm int, c relay.SendCmd) {
	u := w.ups[c.Upstream]
	if u.down {
		w.at(w.now+wayMs, func() { w.update(vm, relay.AttemptFailedMsg{Attempt: c.Attempt, NotSent: true, Cause: "down"}) })
		return
	}
	name := w.names[c.Request]
	key := u.up.Service + "/" + name
	if w.first[key] {
		w.extra[u.up.Service]++
	}
	w.first[key] = true
	mean := 20.0
	if w.urgent[name] {
		mean = 6.7
	}
	work := mean * (0.7 + 0.6*w.rng.Float64())
	if w.rng.Float64() < 0.01 {
		work *= 5
	}
	j := &job{vm: vm, attempt: c.Attempt, name: name, work: clock.Millis(work * u.factor)}
	if len(u.queue) >= u.queueCap {
		w.reply(j, relay.Reply{Status: 503, NotRun: true})
		return
	}
	u.queue = append(u.queue, j)
	w.serve(u)
}

// serve starts queued jobs while slots are free and the upstream does not pause.
func (w *Simulation) serve(u *server) {
	if u.everyMs > 0 && w.now >= u.pauseAt {
		u.pauseEnd = u.pauseAt + u.pauseMs
		u.pauseAt += u.everyMs
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
		w.ran[j.name] = true
		w.at(w.now+max(j.work, 1), func() {
			u.busy--
			w.reply(j, relay.Reply{Status: 200, Receipt: fmt.Sprintf("%s.%s.%d", u.up.ID, j.name, j.attempt)})
			w.serve(u)
		})
	}
}

func (w *Simulation) reply(j *job, rep relay.Reply) {
	if !j.dropped {
		w.at(w.now+wayMs, func() { w.update(j.vm, relay.ReplyMsg{Attempt: j.attempt, Reply: rep}) })
	}
}

func (w *Simulation) cancel(vm int, attempt uint64) {
	for _, id := range w.sortedUps() {
		for _, j := range w.ups[id].queue {
			if j.vm == vm && j.attempt == attempt {
				j.dropped = true
			}
		}
	}
}
