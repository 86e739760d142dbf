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

// ids returns n order ids with the given issue time that hash to partition 0.
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

// checkSafety fails if an order ran twice, or if an answer is missing, duplicated or wrong.
func checkSafety(t interface{ Errorf(string, ...any) }, h *harness) {
	for id, runs := range h.runs {
		if runs > 1 {
			t.Errorf("order %s ran %d times, want at most 1", id, runs)
		}
	}
	for _, violation := range h.violations {
		t.Errorf("invariant violated: %s", violation)
	}
	for i, c := range h.calls {
		if len(c.answers) > 1 || len(c.answers) == 0 && !c.vm.killed {
			t.Errorf("call %d: got %d answers, want 1", i, len(c.answers))
		}
		for _, a := range c.answers {
			if a.Execution == attempt.NotExecuted && c.runs > 0 || a.Execution == attempt.Executed && h.runs[c.id] == 0 {
				t.Errorf("call %d: got %v, but the call executed it %d times", i, a, c.runs)
			}
		}
	}
}

// checkClaims fails if a claim is missing although its order ran or its holder did not release it.
func checkClaims(t interface{ Errorf(string, ...any) }, h *harness) {
	claims := h.claims()
	for _, id := range h.foreignClaims {
		if claims[id] != order.ClaimHeld {
			t.Errorf("got state %d of another owner's claim, want it kept", claims[id])
		}
	}
	for id := range h.runs {
		if s := claims[order.HashOf(id)]; s != order.ClaimHeld && s != order.ClaimDone {
			t.Errorf("got state %d of order %s that ran, want its claim kept", s, id)
		}
	}
}

// TestRefusals guards against a refusal with a wrong reason or execution state.
func TestRefusals(t *testing.T) {
	const day = 24 * clock.Hour
	tests := []struct {
		name          string
		id            string
		draining      bool
		wantReason    order.Reason
		wantExecution attempt.Execution
		wantOutcome   order.Outcome
	}{
		{"no dash", "1700000000000", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"no random part", "1700000000000-", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"leading zero", "01700000000000-a", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"signed", "+1700000000000-a", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"space in random part", "1700000000000-a b", false, order.ReasonBadID, attempt.NotExecuted, order.OutcomeRefused},
		{"too old", fmt.Sprintf("%d-a", start-day-1), false, order.ReasonTooOld, attempt.ExecutionUnknown, order.OutcomeRefused},
		{"almost too old", fmt.Sprintf("%d-a", start-day+1000), false, "", attempt.Executed, order.OutcomeDone},
		{"too new", fmt.Sprintf("%d-a", start+5*clock.Minute+1), false, order.ReasonTooNew, attempt.ExecutionUnknown, order.OutcomeRefused},
		{"draining", fmt.Sprintf("%d-a", start), true, order.ReasonDraining, attempt.NotExecuted, order.OutcomeRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(func(string) string { return faultNone })
			if tt.draining {
				h.deliver("entry", order.StopMsg{})
			}
			c := h.submit("entry", tt.id)
			h.runUntil(start + clock.Minute)
			got := c.answers[0]
			if got.Outcome != tt.wantOutcome || got.Execution != tt.wantExecution || got.Reason != tt.wantReason {
				t.Errorf("got %v, want %v %v %v", got, tt.wantOutcome, tt.wantExecution, tt.wantReason)
			}
		})
	}
}

// TestDrain guards against a drain that aborts an open order.
func TestDrain(t *testing.T) {
	h := newHarness(func(string) string { return faultNone })
	c := h.submit("entry", ids(start, 1)[0])
	h.deliver("entry", order.StopMsg{})
	if h.vms["entry"].model.Drained() {
		t.Error("got drained with an open order, want Drained to be false")
	}
	h.runUntil(start + clock.Second)
	if got := c.answers[0].Outcome; got != order.OutcomeDone {
		t.Errorf("got %v, want done", got)
	}
	if !h.vms["entry"].model.Drained() {
		t.Error("got not drained after all orders ended, want Drained to be true")
	}
}

// TestSegmentsAreDropped guards against segments that are never deleted, against a
// claim that is dropped while its id is still accepted, and against too many writes.
func TestSegmentsAreDropped(t *testing.T) {
	h := newHarness(func(string) string { return faultNone })
	gap := clock.Second
	submit := func(hours clock.Millis) []string {
		h.runUntil(start + hours*clock.Hour)
		orderIDs := ids(h.now, 12)
		for _, id := range orderIDs {
			h.submit("entry", id)
			h.runUntil(h.now + gap)
		}
		return orderIDs
	}
	submit(0)
	sealedRecords := len(h.entries)
	if sealedRecords < 3 {
		t.Fatalf("got %d records, want sealed segments", sealedRecords)
	}
	kept := submit(12)
	gap = 20
	submit(25)
	h.runUntil(h.now + clock.Second)
	for i := 4; i < len(h.writes); i++ {
		if got := h.writes[i] - h.writes[i-4]; got < 300 {
			t.Errorf("got 5 writes and deletes within %d ms, want at least 300 ms", got)
		}
	}
	h.restart("owner")
	for _, id := range kept {
		c := h.submit("other", id)
		h.runUntil(h.now + clock.Second)
		if got := c.answers[0]; got.Outcome != order.OutcomeAlreadySubmitted || got.Execution != attempt.Executed {
			t.Errorf("got %v, want already_submitted, executed", got)
		}
	}
	if got, want := len(h.entries), 3*sealedRecords-2; got >= want {
		t.Errorf("got %d records after 25 h, want fewer than %d", got, want)
	}
	checkSafety(t, h)
}

// TestLowWatermark guards against a second execution when the clocks of two owners
// differ by more than SegmentDropMargin: one drops a segment while the other still
// accepts its ids.
func TestLowWatermark(t *testing.T) {
	h := newHarness(func(string) string { return faultNone })
	orderIDs := ids(start, 12)
	submit := func(vm, id string) *testCall {
		c := h.submit(vm, id)
		h.runUntil(h.now + clock.Second)
		return c
	}
	for _, id := range orderIDs {
		submit("entry", id)
	}
	const ahead = 25 * clock.Hour
	h.vms["owner"].clockAhead, h.vms["entry"].clockAhead = ahead, ahead
	submit("entry", ids(h.now+ahead, 1)[0]) // this write drops every segment
	h.restart("owner")
	for _, id := range orderIDs {
		c := submit("other", id)
		if got := c.answers[0]; got.Execution == attempt.NotExecuted || h.runs[id] != 1 {
			t.Errorf("got %v and %d runs of order %s, want an execution state other than not executed, and 1 run", got, h.runs[id], id)
		}
	}
	checkSafety(t, h)
}

// TestCorruptHead guards against a damaged record that is overwritten or not reported.
func TestCorruptHead(t *testing.T) {
	h := newHarness(func(string) string { return faultNone })
	e := store.Entry{Key: order.HeadKey(0), Value: []byte{0x7a, 0x00}, Revision: 1}
	h.entries[e.Key], h.revision = e, 1
	c := h.submit("entry", ids(start, 1)[0])
	h.runUntil(start + clock.Minute)
	if got := c.answers[0]; got.Outcome != order.OutcomeRefused || got.Execution != attempt.NotExecuted {
		t.Errorf("got %v, want refused, not executed", got)
	}
	if got := h.entries[e.Key].Revision; got != e.Revision {
		t.Errorf("got revision %d, want the record unchanged", got)
	}
	want := timeline.Event{Kind: timeline.StoreFailed, Detail: "cannot decode " + e.Key}
	if !slices.Contains(h.storeEvents, want.Detail) {
		t.Errorf("got events %v, want %v", h.storeEvents, want)
	}
}

// TestClaimOfStoppedVM guards against a claim that is written for a VM that has
// stopped or restarted. Such a claim blocks its id although nothing was sent.
func TestClaimOfStoppedVM(t *testing.T) {
	tests := []struct {
		name        string
		notifyOwner func(h *harness, id string)
		wantRuns    int
	}{
		{"owner not informed", func(*harness, string) {}, 0},
		{"VM left the list", func(h *harness, _ string) { h.deliver("owner", order.LiveVMsMsg{VMs: []string{"owner"}}) }, 1},
		{"new incarnation submits", func(h *harness, id string) {
			h.restart("entry")
			h.submit("entry", id)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(func(string) string { return faultNone })
			orderIDs := ids(start, 3)
			h.submit("entry", orderIDs[0])
			h.runUntil(start + 20)
			h.submit("entry", orderIDs[1]) // waits for the next write
			h.runUntil(start + 30)
			h.vms["entry"].killed = true
			tt.notifyOwner(h, orderIDs[2])
			h.runUntil(start + 3*clock.Second)
			h.submit("other", orderIDs[1])
			h.runUntil(start + clock.Minute)
			checkSafety(t, h)
			if got := h.runs[orderIDs[1]]; got != tt.wantRuns {
				t.Errorf("got %d runs, want %d", got, tt.wantRuns)
			}
		})
	}
}
