package order_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
)

// The steps and faults that TestFaultAtEachStep combines. A fault is injected the
// first time that its step is reached in the third order.
var (
	steps  = []string{stepClaim, stepRead, stepSeal, stepWrite, stepWriteListing, stepConfirm, stepSend, stepReply, stepRelease, stepConfirmRelease}
	faults = []string{
		faultNone, faultLost, faultDuplicated, faultDelayed, faultUnavailable, faultUnknownApplied, faultUnknownNotApplied,
		faultUnknownAppliedLate, faultConflict, faultKillEntry, faultKillOwner, faultPauseEntry, faultPauseOwner, faultKillOwnerLateWrite, faultShedWithoutProof, faultContradictoryReply, faultReplyPastDeadline,
	}
)

// mayKeepClaim reports whether a fault can leave a claim that no VM may release,
// because its holder was killed or its attempt or reply was lost.
func mayKeepClaim(step, fault string) bool {
	if fault == faultKillEntry {
		return true
	}
	return (step == stepSend || step == stepReply) && fault != faultNone && fault != faultDuplicated
}

// TestFaultAtEachStep guards against a second execution, a wrong answer and a lost
// order after one fault at any step. Every order is submitted again on another VM.
// The short timeout ends before a killed owner has restarted.
func TestFaultAtEachStep(t *testing.T) {
	for _, step := range steps {
		for _, fault := range faults {
			for _, sheds := range []int{0, 2} {
				for _, timeout := range []clock.Millis{defaultTimeout, shortTimeout} {
					t.Run(fmt.Sprintf("%s/%s/sheds=%d/timeout=%d", step, fault, sheds, timeout), func(t *testing.T) {
						runFaults(t, scenario{
							injections: []injection{{step, fault, 0}}, sheds: sheds, timeout: timeout, outage: preset.OutageWait, interval: 400,
						})
					})
				}
			}
		}
	}
}

const shortTimeout clock.Millis = 300

// injection is a fault at the first occurrence of step, at least a given time after the submission.
type injection struct {
	step, fault string
	after       clock.Millis
}

type scenario struct {
	injections []injection
	sheds      int
	timeout    clock.Millis // of the order with the faults
	outage     preset.OutageRule
	interval   clock.Millis // between two orders
}

// TestFaultSequences guards against combinations of faults. Each injection waits for the previous one.
func TestFaultSequences(t *testing.T) {
	tests := []struct {
		name    string
		s       scenario
		outcome order.Outcome // of the order with the faults
	}{
		{
			"claim written after its release, confirmation lost",
			scenario{
				injections: []injection{{stepClaim, faultDelayed, 0}, {stepConfirm, faultLost, delay - 100}},
				timeout:    shortTimeout, outage: preset.OutageWait, interval: 400,
			},
			order.OutcomeRefused,
		},
		{
			"claim written, then store unavailable",
			scenario{
				injections: []injection{{stepWrite, faultUnknownApplied, 0}, {stepRead, faultUnavailable, 0}},
				timeout:    defaultTimeout, outage: preset.OutageRefuse, interval: 400,
			},
			order.OutcomeDone,
		},
		{
			"claim written after its release, no write in between",
			scenario{
				injections: []injection{{stepWrite, faultKillOwnerLateWrite, 0}}, timeout: shortTimeout, outage: preset.OutageWait, interval: 4000,
			},
			order.OutcomeRefused,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := runFaults(t, tt.s)
			if got := c.answers[0].Outcome; got != tt.outcome {
				t.Errorf("got %v, want %v", got, tt.outcome)
			}
		})
	}
}

// runFaults submits 8 orders and injects the faults into the third. It returns the
// first submission of the third order.
func runFaults(t *testing.T, s scenario) (target *testCall) {
	var remaining []injection
	var targetAt clock.Millis
	var h *harness
	h = newHarness(func(step string) string {
		if len(remaining) == 0 || step != remaining[0].step || h.now < targetAt+remaining[0].after {
			return faultNone
		}
		fault := remaining[0].fault
		remaining = remaining[1:]
		return fault
	})
	orderIDs := ids(start, 8)
	for i, id := range orderIDs {
		h.schedule(clock.Millis(i)*s.interval, func() {
			if i != 2 {
				h.submit("entry", id)
				return
			}
			targetAt, remaining, h.sheds = h.now, s.injections, s.sheds
			if s.injections[0].step == stepRead { // only a restarted owner reads the store
				h.restart("owner")
			}
			target = h.submitWith("entry", id, s.timeout, s.outage)
		})
	}
	for _, wait := range []clock.Millis{5000, 40000, 80000} {
		for i, id := range orderIDs {
			h.schedule(clock.Millis(len(orderIDs))*s.interval+wait+clock.Millis(i), func() { h.submit("other", id) })
		}
	}
	h.runUntil(start + 3*clock.Minute)
	checkSafety(t, h)
	checkClaims(t, h)
	step, fault := s.injections[0].step, s.injections[0].fault
	if release := step == stepRelease || step == stepConfirmRelease; len(remaining) > 0 && (!release || s.sheds > 0) {
		t.Errorf("step %s was not reached, want the fault injected there", remaining[0].step)
	}
	neverRan := 0
	for _, id := range orderIDs {
		if h.runs[id] == 0 {
			neverRan++
		}
	}
	if neverRan > 0 && !mayKeepClaim(step, fault) {
		t.Errorf("got %d orders that never ran, want 0", neverRan)
	}
	return target
}

// TestRandomFaults guards against a second execution and a wrong answer when random
// faults combine at any steps.
func TestRandomFaults(t *testing.T) {
	names := []string{"entry", "other", "owner"}
	rapid.Check(t, func(t *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 4*len(faults)-1), 0, 200).Draw(t, "faults")
		h := newHarness(func(string) string {
			if len(draws) == 0 {
				return faultNone
			}
			next := draws[0]
			draws = draws[1:]
			if next >= len(faults) { // no fault at most steps, so that orders reach their later steps
				return faultNone
			}
			return faults[next]
		})
		orderIDs := ids(start, 4)
		h.sheds = rapid.IntRange(0, 3).Draw(t, "sheds")
		for range rapid.IntRange(4, 20).Draw(t, "submissions") {
			id := rapid.SampledFrom(orderIDs).Draw(t, "id")
			vm := rapid.SampledFrom(names).Draw(t, "vm")
			timeout := rapid.SampledFrom([]clock.Millis{defaultTimeout, shortTimeout}).Draw(t, "timeout")
			outage := rapid.SampledFrom([]preset.OutageRule{preset.OutageWait, preset.OutageRefuse}).Draw(t, "outage")
			wait := clock.Millis(rapid.IntRange(0, 8000).Draw(t, "wait"))
			h.schedule(wait, func() {
				if !h.vms[vm].killed {
					h.submitWith(vm, id, timeout, outage)
				}
			})
		}
		for range rapid.IntRange(0, 6).Draw(t, "VM lists") {
			vm := rapid.SampledFrom(names).Draw(t, "receiver")
			live := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID[string]).Draw(t, "live")
			h.schedule(clock.Millis(rapid.IntRange(0, 8000).Draw(t, "VM list at")), func() { h.deliver(vm, order.LiveVMsMsg{VMs: live}) })
		}
		h.runUntil(start + 2*clock.Minute)
		checkSafety(t, h)
		checkClaims(t, h)
	})
}
