package query_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

// TestHedge guards against hedges to the same replica or under overload, and
// against attempts that keep running after another one has replied.
func TestHedge(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		t.Run(fmt.Sprintf("overloaded %v", overloaded), func(t *testing.T) {
			h := newHarness(2, 1)
			h.update(query.OverloadMsg{Service: "s", Overloaded: overloaded})
			h.start(10, 10)
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
			h.advanceTo(50)
			if overloaded {
				if got := len(h.sent); got != 2 {
					t.Fatalf("%d attempts under overload, want 2", got)
				}
				return
			}
			if h.sent[2].Upstream == h.sent[0].Upstream || h.sent[2].Group != h.sent[0].Group {
				t.Errorf("hedge to %s for %s, want the other replica", h.sent[2].Upstream, h.sent[0].Upstream)
			}
			h.update(query.ReplyMsg{Reply: h.okReply(2)})
			if got, want := len(h.cancels), len(h.sent)-2; got != want {
				t.Errorf("%d attempts cancelled, want %d", got, want)
			}
			for _, req := range h.sent {
				if got := h.balancer.Outstanding(upstream.ID(req.Upstream)); got != 0 {
					t.Errorf("%d attempts outstanding on %s after the answer, want 0", got, req.Upstream)
				}
			}
			if len(h.answers) != 1 || h.answers[0].Outcome != query.Complete {
				t.Errorf("answers %v, want one that is complete", h.answers)
			}
			// The Cancelled reply to a cancelled attempt is expected.
			late := h.okReply(0)
			late.Status = attempt.Cancelled
			h.update(query.ReplyMsg{Reply: late})
			if got := h.events[timeline.ReplyDropped]; got != 0 {
				t.Errorf("%d replies dropped, want 0", got)
			}
		})
	}
}

// TestBudgets guards against hedges and retries beyond the budget of the rank.
func TestBudgets(t *testing.T) {
	const queries, groups, burst = 200, 10, 5
	tests := []struct {
		name      string
		status    attempt.Status // OK means no reply, which causes hedges
		execution attempt.Execution
		percent   float64
		perToken  int // extra attempts per token
		extra     func(query.Totals) int
	}{
		{"hedges", attempt.OK, attempt.ExecutionUnknown, 5, 1, func(n query.Totals) int { return n.Hedges }},
		{"retries", attempt.Failed, attempt.ExecutionUnknown, 5, 1, func(n query.Totals) int { return n.Retries }},
		{"retries of attempts not executed", attempt.Shed, attempt.NotExecuted, 0.25, 10, func(n query.Totals) int { return n.Retries }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(groups, 1)
			query.WithBurst(burst, burst)(h.model)
			for n := range queries {
				first := len(h.sent)
				h.start(tt.percent, tt.percent)
				// One group of each query fails or does not reply, which is twice the budget.
				faulty := first + n%groups
				for i := first; i < first+groups; i++ {
					if i != faulty {
						h.update(query.ReplyMsg{Reply: h.okReply(i)})
					} else if tt.status != attempt.OK {
						failed := h.notExecutedReply(i, tt.status)
						failed.Execution = tt.execution
						h.update(query.ReplyMsg{Reply: failed})
					}
				}
				h.advanceTo(h.now + 200)
			}
			totals := h.model.Totals(rank.Urgent)
			limit := int(queries*groups*tt.percent/100+burst) * tt.perToken
			if got := tt.extra(totals); got > limit || got < limit/2 {
				t.Errorf("%d extra attempts, want at most %d and at least half of it", got, limit)
			}
			if totals.AttemptsNeeded != queries*groups || totals.Sent != totals.AttemptsNeeded+totals.Hedges+totals.Retries {
				t.Errorf("totals %+v are inconsistent", totals)
			}
			if h.events[timeline.BudgetExhausted] == 0 {
				t.Error("no budget_exhausted event")
			}
			if got := len(h.answers); got != queries {
				t.Errorf("%d answers, want %d", got, queries)
			}
		})
	}
}

// TestLeaving guards against new attempts at an upstream that is leaving.
func TestLeaving(t *testing.T) {
	h := newHarness(2, 1)
	h.balancer.MarkLeaving(0, "s/0/0")
	for range 20 {
		h.start(100, 100)
		h.advanceTo(h.now + 200)
	}
	for _, req := range h.sent {
		if req.Upstream == "s/0/0" {
			t.Fatal("an attempt was sent to the leaving upstream")
		}
		if req.Deadline > h.now {
			t.Fatalf("attempt deadline %d exceeds the query's", req.Deadline)
		}
	}
}

// TestStartAndDisconnect guards against answers to disconnected callers, and
// against wrong handling of duplicate IDs, unknown services and past deadlines.
func TestStartAndDisconnect(t *testing.T) {
	h := newHarness(2, 1)
	h.start(10, 10)
	h.start(10, 10)
	if got := len(h.sent); got != 2 {
		t.Errorf("%d attempts after a duplicate ID, want 2", got)
	}
	h.update(query.CallerDisconnectedMsg{ID: "q"})
	h.update(query.ReplyMsg{Reply: h.okReply(0)})
	h.advanceTo(500)
	if len(h.answers) != 0 || len(h.cancels) != 2 || h.model.OpenQueries() != 0 {
		t.Errorf("%d answers, %d attempts cancelled, %d open queries, want 0, 2, 0", len(h.answers), len(h.cancels), h.model.OpenQueries())
	}
	h.update(query.StartMsg{ID: "u", Service: "other", Deadline: h.now + 100})
	h.update(query.StartMsg{ID: "d", Service: "s", Deadline: h.now - 1})
	for _, a := range h.answers {
		if a.Outcome != query.Failed || a.Execution != attempt.NotExecuted || a.Reason == "" {
			t.Errorf("answer %+v, want failed and not executed, with a reason", a)
		}
	}
	if got := len(h.answers); got != 2 {
		t.Errorf("%d answers, want 2", got)
	}
}

// TestRandomReplies guards against lost or duplicate answers, mixed versions and
// wrong coverage, with random replies, delays and losses.
func TestRandomReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(3, rapid.SampledFrom([][]uint64{nil, {1}, {1, 2}}).Draw(t, "held")...)
		started := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				h.update(query.StartMsg{
					ID: fmt.Sprint(started), Service: "s", Deadline: h.now + clock.Millis(rapid.IntRange(0, 200).Draw(t, "time")),
					Policy: preset.RankPolicy{HedgeBudgetPercent: 5, RetryBudgetPercent: 5},
				})
				started++
			case 2:
				h.advanceTo(h.now + clock.Millis(rapid.IntRange(1, 60).Draw(t, "wait")))
			default:
				if len(h.sent) > 0 {
					i := len(h.sent) - 1 - rapid.IntRange(0, min(len(h.sent)-1, 12)).Draw(t, "back")
					h.update(query.ReplyMsg{Reply: randomReply(t, h, i)})
				}
			}
		}
		h.advanceTo(h.now + 1000)
		ids := make(map[string]bool)
		for _, a := range h.answers {
			if ids[a.ID] {
				t.Fatalf("query %s answered twice", a.ID)
			}
			ids[a.ID] = true
			if err := checkAnswer(a); err != nil {
				t.Fatalf("query %s: %v", a.ID, err)
			}
		}
		if got := len(h.answers); got != started || h.model.OpenQueries() != 0 {
			t.Fatalf("%d answers and %d open, want %d and 0", got, h.model.OpenQueries(), started)
		}
		for _, req := range h.sent {
			if got := h.balancer.Outstanding(upstream.ID(req.Upstream)); got != 0 {
				t.Fatalf("%d attempts outstanding on %s, want 0", got, req.Upstream)
			}
		}
		if wake, ok := h.model.NextWake(); ok {
			t.Fatalf("a timer at %d is left", wake)
		}
	})
}

// randomReply draws a reply to attempt i: correct, with other ranges, refused,
// failed, of another version or with the ID of another attempt.
func randomReply(t *rapid.T, h *harness, i int) attempt.Reply {
	reply := h.okReply(i)
	reply.QueueMs = clock.Millis(rapid.IntRange(0, 5).Draw(t, "queue"))
	switch rapid.IntRange(0, 7).Draw(t, "reply") {
	case 0:
		return h.notExecutedReply(i, attempt.VersionGone, rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "versions")...)
	case 1:
		return h.notExecutedReply(i, rapid.SampledFrom([]attempt.Status{attempt.Shed, attempt.ConnRefused, attempt.Leaving, attempt.NotSent}).Draw(t, "status"))
	case 2:
		return attempt.Reply{ID: reply.ID, Upstream: reply.Upstream, Status: rapid.SampledFrom([]attempt.Status{
			attempt.Failed, attempt.TimedOut, attempt.Mismatched, attempt.Cancelled,
		}).Draw(t, "status")}
	case 3:
		reply.Version++
		reply.Rows = versionRows(reply.Version, reply.Ranges...)
	case 4:
		reply.ID = h.sent[rapid.IntRange(0, len(h.sent)-1).Draw(t, "crossed")].ID
	case 5:
		keys := coverage.Range{From: rapid.Uint32Range(0, 30).Draw(t, "from"), To: rapid.Uint32Range(0, 40).Draw(t, "to")}
		reply.Epoch = rapid.Uint64Range(1, 4).Draw(t, "epoch")
		reply.Ranges, reply.Rows = []coverage.Range{keys}, versionRows(reply.Version, keys)
	}
	return reply
}

// TestQueuedReplies guards against an answer without replies that were queued behind
// others while the event loop was late: they are handled before the deadline's timer.
func TestQueuedReplies(t *testing.T) {
	h := newHarness(3, 1)
	h.start(0, 0)
	h.now = 230 // the deadline is at 200
	for i := range h.sent {
		h.update(query.ReplyMsg{Reply: h.okReply(i)})
	}
	h.update(query.TickMsg{})
	if len(h.answers) != 1 || h.answers[0].Outcome != query.Complete {
		t.Errorf("got %+v, want a complete answer", h.answers)
	}
}
