package replay

import (
	"fmt"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

type callerRequest struct {
	route       *route.Route
	customer    string       // empty if none
	firstSentAt clock.Millis // time of the first attempt
	attempts    int
	vm          int
}

// Outcome counts the answers to the callers of one route.
type Outcome struct {
	sent, inTarget, late, refused, failed int
	creditSum                             float64 // sum of the squared shard ratios of answers within the target
}

// Unserved returns the number of requests that ended refused or failed.
func (o *Outcome) Unserved() int { return o.refused + o.failed }

// Credit returns the credit per request: an answer within the target counts the
// square of its ratio of shards, any other request counts 0.
func (o *Outcome) Credit() float64 { return o.creditSum / float64(max(o.sent, 1)) }

// String lists the counts.
func (o *Outcome) String() string {
	return fmt.Sprintf("sent %d, in target %d, late %d, refused %d, failed %d, credit %.3f", o.sent, o.inTarget, o.late, o.refused, o.failed, o.Credit())
}

const (
	// callerOneWayMs is the one-way delay between a caller and a VM.
	callerOneWayMs = 3

	// newConnectionRatio is the fraction of requests for which the caller opens a new connection.
	newConnectionRatio = 0.4
)

// handleAnswer counts and checks an answer. A caller retries once after a refusal or a failure.
func (w *Simulation) handleAnswer(a *callerRequest, name string, ans relay.Answer) {
	o := w.outcomes[outcomeKey(a.route.Name, a.customer)]
	switch ans.Outcome {
	case relay.Gathered:
		ratio := float64(len(ans.Receipts)) / float64(len(a.route.Gather))
		if len(ans.Receipts)+ans.Missing != len(a.route.Gather) {
			w.violations = append(w.violations, name+": receipts and missing shards do not add up to all shards")
		}
		if ratio < a.route.MinShardRatio {
			w.violations = append(w.violations, name+": answered with a ratio of shards below the minimum of the route")
		}
		if w.now-a.firstSentAt > a.route.TargetMs {
			o.late++
			return
		}
		o.inTarget++
		o.creditSum += ratio * ratio
	case relay.Refused, relay.NotReady:
		if w.started[name] {
			w.violations = append(w.violations, name+": refused as not executed, but an upstream began to execute it")
		}
		if ans.RetryAfterMs <= 0 {
			w.violations = append(w.violations, name+": refused without a retry delay")
		}
		if a.attempts < 2 {
			w.at(w.now+ans.RetryAfterMs, func() { w.send(a.route, a.customer, a.firstSentAt, a.attempts+1) })
			return
		}
		o.refused++
	default:
		if a.attempts < 2 {
			w.send(a.route, a.customer, a.firstSentAt, a.attempts+1)
			return
		}
		o.failed++
	}
}

// send sends a request of a caller to a random VM.
func (w *Simulation) send(r *route.Route, customer string, firstSentAt clock.Millis, attempt int) {
	remaining := r.TimeoutMs - (w.now - firstSentAt)
	o := w.outcomes[outcomeKey(r.Name, customer)]
	if remaining <= 0 {
		o.failed++
		return
	}
	w.nextID++
	id := w.nextID
	w.requestNames[id] = fmt.Sprintf("r%d", id)
	w.urgent[w.requestNames[id]] = r.Priority == 0
	for _, s := range r.Gather {
		w.requestCounts[s]++
	}
	vm := w.rng.IntN(len(w.vms))
	for w.dead[vm] || w.fleet[vm].DataCentre == w.closed {
		vm = w.rng.IntN(len(w.vms))
	}
	w.openRequests[id] = &callerRequest{route: r, customer: customer, firstSentAt: firstSentAt, attempts: attempt, vm: vm}
	roundTrip := clock.Millis(2 * callerOneWayMs)
	if w.rng.Float64() < newConnectionRatio {
		roundTrip *= 2
	}
	w.at(w.now+roundTrip-callerOneWayMs, func() {
		w.update(vm, relay.ArrivalMsg{ID: id, Name: w.requestNames[id], Host: r.Host, Path: r.Prefix + "x", RemainingMs: remaining, RoundTripMs: roundTrip, Key: keyOf(customer)})
	})
}

// Load schedules requests of a route as a Poisson process with the given rate.
func (w *Simulation) Load(name string, perSecond float64, from, to clock.Millis) {
	w.loadOf(name, "", perSecond, from, to)
}

// loadOf is Load for one customer.
func (w *Simulation) loadOf(name, customer string, perSecond float64, from, to clock.Millis) {
	key := outcomeKey(name, customer)
	for i := range w.routes {
		r := &w.routes[i]
		if r.Name != name {
			continue
		}
		if w.outcomes[key] == nil {
			w.outcomes[key] = &Outcome{}
		}
		for t := float64(from); ; {
			t += w.rng.ExpFloat64() * 1000 / perSecond
			if t >= float64(to) {
				break
			}
			at := clock.Millis(t)
			w.at(at, func() {
				w.outcomes[key].sent++
				w.send(r, customer, w.now, 1)
			})
		}
	}
}
