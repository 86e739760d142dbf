package order_test

import (
	"fmt"
	"slices"
	"testing"

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
	for _, b := range r.broken {
		t.Errorf("got %s", b)
	}
	for i, c := range r.calls {
		if len(c.answers) > 1 || len(c.answers) == 0 && !c.vm.dead {
			t.Errorf("call %d: got %d answers, want 1", i, len(c.answers))
		}
		for _, a := range c.answers {
			if a.Execution == attempt.NotExecuted && c.runs > 0 || a.Execution == attempt.Executed && r.runs[c.id] == 0 {
				t.Errorf("call %d: got %v, but it ran %d times", i, a, c.runs)
			}
		}
	}
}

// checkClaims reports a claim that vanished although its order ran or its holder did not release it.
func checkClaims(t interface{ Errorf(string, ...any) }, r *rig) {
	claims := r.claims()
	for _, id := range r.foreign {
		if claims[id] != order.ClaimHeld {
			t.Errorf("got state %d of another owner's claim, want it kept", claims[id])
		}
	}
	for id := range r.runs {
		if s := claims[order.HashOf(id)]; s != order.ClaimHeld && s != order.ClaimDone {
			t.Errorf("got state %d of order %s that ran, want its claim kept", s, id)
		}
	}
}

// TestRefusals guards against a refusal that claims too much or too little.
func TestRefusals(t *testing.T) {
	const day = 24 * clock.Hour
	tests := []struct {
		name   string
		id     string
		stop   bool
		want   order.Reason
		ran    attempt.Execution
		wanted order.Outcome
	}{
		{"no dash", "1700000000000", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"no random part", "1700000000000-", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"leading zero", "01700000000000-a", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"signed", "+1700000000000-a", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"space", "1700000000000-a b", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"too old", fmt.Sprintf("%d-a", start-day-1), false, order.ReasonTooOld, attempt.ExecutionUnknown, order.OutcomeRefused},
		{"oldest", fmt.Sprintf("%d-a", start-day+1000), false, "", attempt.Executed, order.OutcomeDone},
		{"too new", fmt.Sprintf("%d-a", start+5*clock.Minute+1), false, order.ReasonTooNew, attempt.ExecutionUnknown, order.OutcomeRefused},
		{"draining", fmt.Sprintf("%d-a", start), true, order.ReasonDraining, attempt.NotExecuted, order.OutcomeRefused},
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
			if got.Outcome != tt.wanted || got.Execution != tt.ran || got.Reason != tt.want {
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
	if got := c.answers[0].Outcome; got != order.OutcomeDone {
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
	gap := clock.Second
	submit := func(hours clock.Millis) []string {
		r.runUntil(start + hours*clock.Hour)
		all := ids(r.now, 12)
		for _, id := range all {
			r.submit("entry", id)
			r.runUntil(r.now + gap)
		}
		return all
	}
	submit(0)
	first := len(r.entries)
	if first < 3 {
		t.Fatalf("got %d records, want sealed segments", first)
	}
	kept := submit(12)
	gap = 20
	submit(25)
	r.runUntil(r.now + clock.Second)
	for i := 4; i < len(r.writes); i++ {
		if got := r.writes[i] - r.writes[i-4]; got < 300 {
			t.Errorf("got 5 writes and deletes within %d ms, want at least 300 ms", got)
		}
	}
	r.boot("owner")
	for _, id := range kept {
		c := r.submit("other", id)
		r.runUntil(r.now + clock.Second)
		if got := c.answers[0]; got.Outcome != order.OutcomeAlreadySubmitted || got.Execution != attempt.Executed {
			t.Errorf("got %v, want already_submitted, ran yes", got)
		}
	}
	if got, want := len(r.entries), 3*first-2; got >= want {
		t.Errorf("got %d records after 25 h, want fewer than %d", got, want)
	}
	checkSafety(t, r)
}

// TestFloor guards against a second run when the clocks of two owners differ
// by more than SegmentDropMargin: one drops a segment, the other still accepts its ids.
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
		if got := c.answers[0]; got.Execution == attempt.NotExecuted || r.runs[id] != 1 {
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
	if got := c.answers[0]; got.Outcome != order.OutcomeRefused || got.Execution != attempt.NotExecuted {
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

// TestDeadHolder guards against a claim that is written for a holder that is
// gone, which blocks its id although nothing was sent.
func TestDeadHolder(t *testing.T) {
	tests := []struct {
		name  string
		learn func(r *rig, id string)
		runs  int
	}{
		{"not told", func(*rig, string) {}, 0},
		{"left the view", func(r *rig, _ string) { r.deliver("owner", order.LiveVMsMsg{VMs: []string{"owner"}}) }, 1},
		{"new incarnation asks", func(r *rig, id string) {
			r.boot("entry")
			r.submit("entry", id)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(func(string) string { return faultNone })
			all := ids(start, 3)
			r.submit("entry", all[0])
			r.runUntil(start + 20)
			r.submit("entry", all[1]) // waits for the next write
			r.runUntil(start + 30)
			r.vms["entry"].dead = true
			tt.learn(r, all[2])
			r.runUntil(start + 3*clock.Second)
			r.submit("other", all[1])
			r.runUntil(start + clock.Minute)
			checkSafety(t, r)
			if got := r.runs[all[1]]; got != tt.runs {
				t.Errorf("got %d runs, want %d", got, tt.runs)
			}
		})
	}
}
