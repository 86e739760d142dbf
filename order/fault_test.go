package order_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/preset"
)

// steps are run for each fault; a fault hits the first time that the step is
// reached after two orders went through.
var (
	steps  = []string{stepClaim, stepRead, stepSeal, stepWrite, stepList, stepConfirm, stepSend, stepReply, stepRelease, stepFreed}
	faults = []string{
		faultNone, faultLost, faultDoubled, faultDelayed, faultUnavailable, faultUnknownDone, faultUnknownNot,
		faultUnknownLate, faultConflict, faultKillEntry, faultKillOwner, faultPauseEntry, faultPauseOwner, faultKillWriting, faultNoStatus, faultNoProof, faultPastEnd,
	}
)

// mayStay reports whether a fault can leave a claim that nobody may release:
// its holder was killed, or its attempt or reply was lost.
func mayStay(step, fault string) bool {
	if fault == faultKillEntry {
		return true
	}
	return (step == stepSend || step == stepReply) && fault != faultNone && fault != faultDoubled
}

// TestFaultAtEachStep guards against a second run, a false answer and a lost
// order after one fault at any step. Orders are repeated through another VM.
// The short budget ends before a killed owner is back.
func TestFaultAtEachStep(t *testing.T) {
	for _, step := range steps {
		for _, fault := range faults {
			for _, sheds := range []int{0, 2} {
				for _, budget := range []clock.Millis{deadline, shortBudget} {
					t.Run(fmt.Sprintf("%s/%s/sheds=%d/budget=%d", step, fault, sheds, budget), func(t *testing.T) {
						runFaults(t, scenario{
							hits: []hit{{step, fault, 0}}, sheds: sheds, budget: budget, outage: preset.OutageWait, gap: 400,
						})
					})
				}
			}
		}
	}
}

const shortBudget clock.Millis = 300

// hit is a fault at the first occurrence of a step after a wait from the submission.
type hit struct {
	step, fault string
	wait        clock.Millis
}

type scenario struct {
	hits   []hit
	sheds  int
	budget clock.Millis // of the order that meets the faults
	outage preset.OutageRule
	gap    clock.Millis // between two orders
}

// TestFaultsInTurn guards against faults that meet: each hit waits for the one before it.
func TestFaultsInTurn(t *testing.T) {
	tests := []struct {
		name    string
		s       scenario
		outcome order.Outcome // of the order that meets the faults
	}{
		{
			"claim written after its release, confirmation lost",
			scenario{
				hits:   []hit{{stepClaim, faultDelayed, 0}, {stepConfirm, faultLost, delay - 100}},
				budget: shortBudget, outage: preset.OutageWait, gap: 400,
			},
			order.OutcomeRefused,
		},
		{
			"claim written, then store down",
			scenario{
				hits:   []hit{{stepWrite, faultUnknownDone, 0}, {stepRead, faultUnavailable, 0}},
				budget: deadline, outage: preset.OutageRefuse, gap: 400,
			},
			order.OutcomeDone,
		},
		{
			"claim write later than the release, no other write between",
			scenario{
				hits: []hit{{stepWrite, faultKillWriting, 0}}, budget: shortBudget, outage: preset.OutageWait, gap: 4000,
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

// runFaults submits 8 orders, the third of which meets the faults, and returns its first call.
func runFaults(t *testing.T, s scenario) (met *rigCall) {
	var armed []hit
	var begin clock.Millis
	var r *rig
	r = newRig(func(at string) string {
		if len(armed) == 0 || at != armed[0].step || r.now < begin+armed[0].wait {
			return faultNone
		}
		fault := armed[0].fault
		armed = armed[1:]
		return fault
	})
	all := ids(start, 8)
	for i, id := range all {
		r.at(clock.Millis(i)*s.gap, func() {
			if i != 2 {
				r.submit("entry", id)
				return
			}
			begin, armed, r.sheds = r.now, s.hits, s.sheds
			if s.hits[0].step == stepRead { // a restarted owner has to read
				r.boot("owner")
			}
			met = r.submitFor("entry", id, s.budget, s.outage)
		})
	}
	for _, wait := range []clock.Millis{5000, 40000, 80000} {
		for i, id := range all {
			r.at(clock.Millis(len(all))*s.gap+wait+clock.Millis(i), func() { r.submit("other", id) })
		}
	}
	r.runUntil(start + 3*clock.Minute)
	checkSafety(t, r)
	checkClaims(t, r)
	step, fault := s.hits[0].step, s.hits[0].fault
	if release := step == stepRelease || step == stepFreed; len(armed) > 0 && (!release || s.sheds > 0) {
		t.Errorf("got no %s step, want the fault injected", armed[0].step)
	}
	lost := 0
	for _, id := range all {
		if r.runs[id] == 0 {
			lost++
		}
	}
	if lost > 0 && !mayStay(step, fault) {
		t.Errorf("got %d orders that never ran, want 0", lost)
	}
	return met
}

// TestRandomFaults guards against a second run and a false answer when faults
// meet at any steps.
func TestRandomFaults(t *testing.T) {
	names := []string{"entry", "other", "owner"}
	rapid.Check(t, func(t *rapid.T) {
		hits := rapid.SliceOfN(rapid.IntRange(0, 4*len(faults)-1), 0, 200).Draw(t, "faults")
		r := newRig(func(string) string {
			if len(hits) == 0 {
				return faultNone
			}
			next := hits[0]
			hits = hits[1:]
			if next >= len(faults) { // most steps pass, so that orders reach their later steps
				return faultNone
			}
			return faults[next]
		})
		all := ids(start, 4)
		r.sheds = rapid.IntRange(0, 3).Draw(t, "sheds")
		for range rapid.IntRange(4, 20).Draw(t, "submissions") {
			id := rapid.SampledFrom(all).Draw(t, "id")
			vm := rapid.SampledFrom(names).Draw(t, "vm")
			budget := rapid.SampledFrom([]clock.Millis{deadline, shortBudget}).Draw(t, "budget")
			outage := rapid.SampledFrom([]preset.OutageRule{preset.OutageWait, preset.OutageRefuse}).Draw(t, "outage")
			wait := clock.Millis(rapid.IntRange(0, 8000).Draw(t, "wait"))
			r.at(wait, func() {
				if !r.vms[vm].dead {
					r.submitFor(vm, id, budget, outage)
				}
			})
		}
		for range rapid.IntRange(0, 6).Draw(t, "views") {
			vm := rapid.SampledFrom(names).Draw(t, "viewer")
			live := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID[string]).Draw(t, "live")
			r.at(clock.Millis(rapid.IntRange(0, 8000).Draw(t, "view at")), func() { r.deliver(vm, order.LiveVMsMsg{VMs: live}) })
		}
		r.runUntil(start + 2*clock.Minute)
		checkSafety(t, r)
		checkClaims(t, r)
	})
}
