package replay

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

type asked struct {
	route *route.Route
	first clock.Millis // of the first one
	tries int
}

// Outcome counts what callers of one route got.
type Outcome struct {
	asked, inTarget, late, refused, failed int
	parts                                  float64 // sum of squared shares of answers in time
}

// Unserved returns how many requests ended refused or failed.
func (o *Outcome) Unserved() int { return o.refused + o.failed }

// Credit returns the share of requests that were answered in time, each times
// the square of its share of shards.
func (o *Outcome) Credit() float64 { return o.parts / float64(max(o.asked, 1)) }

// String lists the counts.
func (o *Outcome) String() string {
	return fmt.Sprintf("asked %d, in target %d, late %d, refused %d, failed %d, credit %.3f", o.asked, o.inTarget, o.late, o.refused, o.failed, o.Credit())
}

const (
	// callerMs is one way between a caller and a VM.
	callerMs = 3

	// newConnectionShare is the share of requests whose callers open a connection first.
	newConnectionShare = 0.4
)

// judge counts an answer; a refused caller returns once.
func (w *Simulation) judge(a *asked, name string, ans relay.Answer) {
	o := w.result[a.route.Name]
	switch ans.Outcome {
	case relay.Gathered:
		share := float64(len(ans.Receipts)) / float64(len(a.route.Gather))
		if len(ans.Receipts)+ans.Missing != len(a.route.Gather) {
			w.wrong = append(w.wrong, name+": receipts and missing shards are not all shards")
		}
		if share < a.route.MinShardRatio {
			w.wrong = append(w.wrong, name+": less than the least share")
		}
		if w.now-a.first > a.route.TargetMs {
			o.late++
			return
		}
		o.inTarget++
		o.parts += share * share
	case relay.Refused, relay.NotReady:
		if w.ran[name] {
			w.wrong = append(w.wrong, name+": refused as not run, though it has run")
		}
		if ans.RetryAfterMs <= 0 {
			w.wrong = append(w.wrong, name+": refused without a time to come back")
		}
		if a.tries < 2 {
			w.at(w.now+ans.RetryAfterMs, func() { w.send(a.route, a.first, a.tries+1) })
			return
		}
		o.refused++
	default:
		if a.tries < 2 {
			w.send(a.route, a.first, a.tries+1)
			return
		}
		o.failed++
	}
}

// send makes a caller send a request to some VM.
func (w *Simulation) send(r *route.Route, first clock.Millis, try int) {
	left := r.TimeoutMs - (w.now - first)
	o := w.result[r.Name]
	if left <= 0 {
		o.failed++
		return
	}
	w.nextID++
	id := w.nextID
	w.names[id] = fmt.Sprintf("r%d", id)
	w.asked[id] = &asked{route: r, first: first, tries: try}
	w.urgent[w.names[id]] = r.Priority == 0
	for _, s := range r.Gather {
		w.needed[s]++
	}
	vm := w.rng.IntN(len(w.vms))
	way := clock.Millis(2 * callerMs)
	if w.rng.Float64() < newConnectionShare {
		way *= 2
	}
	w.at(w.now+way-callerMs, func() {
		w.update(vm, relay.ArrivalMsg{ID: id, Name: w.names[id], Host: r.Host, Path: r.Prefix + "x", RemainingMs: left, RoundTripMs: way})
	})
}

// Load sends requests of a route at random times, perSecond on average.
func (w *Simulation) Load(name string, perSecond float64, from, to clock.Millis) {
	for i := range w.routes {
		r := &w.routes[i]
		if r.Name != name {
			continue
		}
		if w.result[name] == nil {
			w.result[name] = &Outcome{}
		}
		for t := float64(from); ; {
			t += w.rng.ExpFloat64() * 1000 / perSecond
			if t >= float64(to) {
				break
			}
			at := clock.Millis(t)
			w.at(at, func() {
				w.result[name].asked++
				w.send(r, w.now, 1)
			})
		}
	}
}
