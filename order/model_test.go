package order_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/timeline"
)

// ids returns n ids of partition 0 that were issued at the given time.
func ids(issued clock.Millis, n int) []string {
	var out []string
	for i := 0; len(out) < n; i++ {
		id := fmt.Sprintf("%d-r%d", issued, i)
		if order.HashOf(id).Partition() == 0 {
			out = append(out, id)
		}
	}
	return out
}

// checkSafety reports an order that ran twice and an answer that is not true.
func checkSafety(t interface{ Errorf(string, ...any) }, r *rig) {
	for id, runs := range r.runs {
		if runs > 1 {
			t.Errorf("order %s ran %d times, want at most 1", id, runs)
		}
	}
	for i, c := range r.calls {
		if len(c.answers) > 1 || len(c.answers) == 0 && !c.vm.dead {
			t.Errorf("call %d: got %d answers, want 1", i, len(c.answers))
		}
		for _, a := range c.answers {
			if a.Ran == attempt.No && c.runs > 0 || a.Ran == attempt.Yes && r.runs[c.id] == 0 {
				t.Errorf("call %d: got %v, but it ran %d times", i, a, c.runs)
			}
		}
	}
}

// steps are run for each fault; a fault hits the first time that the step is
// reached after two orders went through.
var (
	steps  = []string{stepClaim, stepRead, stepSeal, stepWrite, stepConfirm, stepSend, stepReply, stepRelease}
	faults = []string{
		faultNone, faultLost, faultDoubled, faultDelayed, faultUnavailable, faultUnknownDone, faultUnknownNot,
		faultUnknownLate, faultConflict, faultKillEntry, faultKillOwner, faultPauseEntry, faultPauseOwner,
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
func TestFaultAtEachStep(t *testing.T) {
	for _, step := range steps {
		for _, fault := range faults {
			for _, sheds := range []int{0, 2} {
				t.Run(fmt.Sprintf("%s/%s/sheds=%d", step, fault, sheds), func(t *testing.T) {
					runFault(t, step, fault, sheds)
				})
			}
		}
	}
}

func runFault(t *testing.T, step, fault string, sheds int) {
	armed := false
	r := newRig(func(at string) string {
		if !armed || at != step {
			return faultNone
		}
		armed = false
		return fault
	})
	all := ids(start, 8)
	for i, id := range all {
		r.at(clock.Millis(i*150), func() {
			if i == 2 {
				armed, r.sheds = true, sheds
				if step == stepRead { // a restarted owner has to read
					r.boot("owner")
				}
			}
			r.submit("entry", id)
		})
	}
	for _, wait := range []clock.Millis{5000, 40000, 80000} {
		for i, id := range all {
			r.at(wait+clock.Millis(i), func() { r.submit("other", id) })
		}
	}
	r.runUntil(start + 3*clock.Minute)
	checkSafety(t, r)
	if armed && (step != stepRelease || sheds > 0) {
		t.Errorf("got no %s step, want the fault injected", step)
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
}

// TestRandomFaults guards against a second run and a false answer when faults
// meet at any steps.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hits := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 0, 60).Draw(t, "faults")
		r := newRig(func(string) string {
			if len(hits) == 0 {
				return faultNone
			}
			f := faults[hits[0]]
			hits = hits[1:]
			return f
		})
		all := ids(start, 4)
		r.sheds = rapid.IntRange(0, 3).Draw(t, "sheds")
		for range rapid.IntRange(4, 20).Draw(t, "submissions") {
			id := rapid.SampledFrom(all).Draw(t, "id")
			vm := rapid.SampledFrom([]string{"entry", "other", "owner"}).Draw(t, "vm")
			wait := clock.Millis(rapid.IntRange(0, 8000).Draw(t, "wait"))
			r.at(wait, func() {
				if !r.vms[vm].dead {
					r.submit(vm, id)
				}
			})
		}
		r.runUntil(start + 2*clock.Minute)
		checkSafety(t, r)
	})
}

// TestRefusals guards against a refusal that claims too much or too little.
func TestRefusals(t *testing.T) {
	const day = 24 * clock.Hour
	tests := []struct {
		name   string
		id     string
		stop   bool
		want   order.Reason
		ran    attempt.Ran
		wanted order.Outcome
	}{
		{"no dash", "1700000000000", false, order.ReasonBadID, attempt.No, order.Refused},
		{"no random part", "1700000000000-", false, order.ReasonBadID, attempt.No, order.Refused},
		{"leading zero", "01700000000000-a", false, order.ReasonBadID, attempt.No, order.Refused},
		{"signed", "+1700000000000-a", false, order.ReasonBadID, attempt.No, order.Refused},
		{"space", "1700000000000-a b", false, order.ReasonBadID, attempt.No, order.Refused},
		{"too old", fmt.Sprintf("%d-a", start-day-1), false, order.ReasonTooOld, attempt.Unknown, order.Refused},
		{"oldest", fmt.Sprintf("%d-a", start-day+1000), false, "", attempt.Yes, order.Done},
		{"too new", fmt.Sprintf("%d-a", start+5*clock.Minute+1), false, order.ReasonTooNew, attempt.Unknown, order.Refused},
		{"draining", fmt.Sprintf("%d-a", start), true, order.ReasonDraining, attempt.No, order.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(func(string) string { return faultNone })
			if tt.stop {
				r.deliver("entry", order.StopMsg{})
			}
			c := r.submit("entry", tt.id)
			r.runUntil(start + clock.Minute)
			got := c.answers[0]
			if got.Outcome != tt.wanted || got.Ran != tt.ran || got.Reason != tt.want {
				t.Errorf("got %v, want %v %v %v", got, tt.wanted, tt.ran, tt.want)
			}
		})
	}
}

// TestDrain guards against a drain that cuts an open order.
func TestDrain(t *testing.T) {
	r := newRig(func(string) string { return faultNone })
	c := r.submit("entry", ids(start, 1)[0])
	r.deliver("entry", order.StopMsg{})
	if r.vms["entry"].model.Drained() {
		t.Error("got drained with an open order, want not drained")
	}
	r.runUntil(start + clock.Second)
	if got := c.answers[0].Outcome; got != order.Done {
		t.Errorf("got %v, want done", got)
	}
	if !r.vms["entry"].model.Drained() {
		t.Error("got not drained, want drained")
	}
}

// TestSegmentsAreDropped guards against segments that stay for ever and against
// a claim that is dropped while its id is still accepted.
func TestSegmentsAreDropped(t *testing.T) {
	r := newRig(func(string) string { return faultNone })
	submit := func(hours clock.Millis) []string {
		r.runUntil(start + hours*clock.Hour)
		all := ids(r.now, 12)
		for _, id := range all {
			r.submit("entry", id)
			r.runUntil(r.now + clock.Second)
		}
		return all
	}
	submit(0)
	first := len(r.entries)
	if first < 3 {
		t.Fatalf("got %d records, want sealed segments", first)
	}
	kept := submit(12)
	submit(25)
	r.boot("owner")
	for _, id := range kept {
		c := r.submit("other", id)
		r.runUntil(r.now + clock.Second)
		if got := c.answers[0]; got.Outcome != order.AlreadySubmitted || got.Ran != attempt.Yes {
			t.Errorf("got %v, want already_submitted, ran yes", got)
		}
	}
	if got, want := len(r.entries), 3*first-2; got >= want {
		t.Errorf("got %d records after 25 h, want fewer than %d", got, want)
	}
	checkSafety(t, r)
}

// TestFloor guards against a second run when the clocks of two owners differ
// by more than DropMargin: one drops a segment, the other still accepts its ids.
func TestFloor(t *testing.T) {
	r := newRig(func(string) string { return faultNone })
	all := ids(start, 12)
	submit := func(vm, id string) *rigCall {
		c := r.submit(vm, id)
		r.runUntil(r.now + clock.Second)
		return c
	}
	for _, id := range all {
		submit("entry", id)
	}
	const ahead = 25 * clock.Hour
	r.vms["owner"].ahead, r.vms["entry"].ahead = ahead, ahead
	submit("entry", ids(r.now+ahead, 1)[0]) // its write drops every segment
	r.boot("owner")
	for _, id := range all {
		c := submit("other", id)
		if got := c.answers[0]; got.Ran == attempt.No || r.runs[id] != 1 {
			t.Errorf("got %v and %d runs of %s, want no claim and 1 run", got, r.runs[id], id)
		}
	}
	checkSafety(t, r)
}

// TestUnreadable guards against a damaged record that is overwritten, or that
// nobody hears of.
func TestUnreadable(t *testing.T) {
	r := newRig(func(string) string { return faultNone })
	e := store.Entry{Key: order.HeadKey(0), Value: []byte{0x7a, 0x00}, Revision: 1}
	r.entries[e.Key], r.revision = e, 1
	c := r.submit("entry", ids(start, 1)[0])
	r.runUntil(start + clock.Minute)
	if got := c.answers[0]; got.Outcome != order.Refused || got.Ran != attempt.No {
		t.Errorf("got %v, want refused, ran no", got)
	}
	if got := r.entries[e.Key].Revision; got != e.Revision {
		t.Errorf("got revision %d, want the record unchanged", got)
	}
	want := timeline.Event{Kind: timeline.StoreFailed, Detail: "cannot decode " + e.Key}
	if !slices.Contains(r.storeEvents, want.Detail) {
		t.Errorf("got events %v, want %v", r.storeEvents, want)
	}
}
