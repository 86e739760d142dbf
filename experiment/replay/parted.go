package replay

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

const (
	// brokenMs is the time after which a connection without acknowledgements breaks.
	brokenMs = 2 * clock.Second

	// dialMs is the time after which opening a stream to a VM fails.
	dialMs clock.Millis = 500
)

// link is a direction between two data centres.
type link struct{ from, to string }

// part cuts the links between two data centres for a while. What is sent meanwhile is lost.
func (w *Simulation) part(a, b string, from, duration clock.Millis) {
	w.at(from, func() { w.cut[link{a, b}], w.cut[link{b, a}] = true, true })
	w.at(from+duration, func() { delete(w.cut, link{a, b}); delete(w.cut, link{b, a}) })
}

// lose cuts a data centre off from all others at a time. New callers go to the VMs of the
// others.
func (w *Simulation) lose(dataCentre string, from clock.Millis) {
	w.isolate(dataCentre, from, loadMs+drainMs)
	w.at(from, func() { w.closed = dataCentre })
}

// isolate cuts a data centre off from all others for a while. Its callers stay.
func (w *Simulation) isolate(dataCentre string, from, duration clock.Millis) {
	for _, dc := range dataCentres {
		if dc != dataCentre {
			w.part(dc, dataCentre, from, duration)
		}
	}
}

// pass delivers a message from one data centre to another after the delay of the network,
// unless the link is cut. It reports whether the message was sent into a link that works.
func (w *Simulation) pass(from, to string, deliver func()) bool {
	if w.cut[link{from, to}] {
		return false
	}
	w.at(w.now+oneWayMs, deliver)
	return true
}

// loseAttempt reports an attempt that was sent into a cut link.
func (w *Simulation) loseAttempt(vm int, attempt uint64) {
	w.at(w.now+brokenMs, func() { w.update(vm, relay.AttemptFailedMsg{Attempt: attempt, Cause: "broken"}) })
}

// loseDelegation reports a delegation that was sent into a cut link: the stream breaks, and
// later ones find no stream.
func (w *Simulation) loseDelegation(vm, to int, id uint64) {
	pair := [2]int{vm, to}
	if at := w.brokenAt[pair]; at > 0 && w.now >= at {
		w.at(w.now+dialMs, func() { w.update(vm, relay.DelegationNotSentMsg{To: w.vmName(to), ID: id}) })
		return
	}
	if w.brokenAt[pair] == 0 {
		w.brokenAt[pair] = w.now + brokenMs
		w.at(w.now+brokenMs, func() { w.update(vm, relay.PeerDisconnectedMsg{VM: w.vmName(to)}) })
	}
}
