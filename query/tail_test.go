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

// TestHedge guards against hedges to the same replica, under overload, and losers left running.
func TestHedge(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		t.Run(fmt.Sprintf("overloaded %v", overloaded), func(t *testing.T) {
			r := newRig(2, 1)
			r.do(query.OverloadMsg{Service: "s", Overloaded: overloaded})
			r.start(10, 10)
			r.do(query.ReplyMsg{Reply: r.ok(1)})
			r.tick(50)
			if overloaded {
				if got := len(r.sent); got != 2 {
					t.Fatalf("%d attempts under overload, want 2", got)
				}
				return
			}
			if r.sent[2].Upstream == r.sent[0].Upstream || r.sent[2].Group != r.sent[0].Group {
				t.Errorf("hedge to %s for %s, want the other replica", r.sent[2].Upstream, r.sent[0].Upstream)
			}
			r.do(query.ReplyMsg{Reply: r.ok(2)})
			if got, want := len(r.cancels), len(r.sent)-2; got != want {
				t.Errorf("%d cancelled, want %d", got, want)
			}
			for _, req := range r.sent {
				if got := r.book.Outstanding(upstream.ID(req.Upstream)); got != 0 {
					t.Errorf("%d outstanding on %s after the answer, want 0", got, req.Upstream)
				}
			}
			if len(r.answers) != 1 || r.answers[0].Outcome != query.Complete {
				t.Errorf("answers %v, want one that is complete", r.answers)
			}
			// A cancelled attempt that its carrier returns is no fault.
			late := r.ok(0)
			late.Status = attempt.Cancelled
			r.do(query.ReplyMsg{Reply: late})
			if got := r.events[timeline.ReplyDropped]; got != 0 {
				t.Errorf("%d replies dropped, want 0", got)
			}
		})
	}
}

// TestBudgets guards against extra attempts beyond the budget of the rank.
func TestBudgets(t *testing.T) {
	const queries, groups, burst = 200, 10, 5
	tests := []struct {
		name    string
		status  attempt.Status // OK stands for no reply, which leads to hedges
		ran     attempt.Execution
		percent float64
		perCost int // extra attempts for one token
		extra   func(query.Totals) int
	}{
		{"hedges", attempt.OK, attempt.ExecutionUnknown, 5, 1, func(n query.Totals) int { return n.Hedges }},
		{"retries", attempt.Failed, attempt.ExecutionUnknown, 5, 1, func(n query.Totals) int { return n.Retries }},
		{"retries after refusals", attempt.Shed, attempt.NotExecuted, 0.25, 10, func(n query.Totals) int { return n.Retries }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(groups, 1)
			query.WithBurst(burst, burst)(r.model)
			for n := range queries {
				first := len(r.sent)
				r.start(tt.percent, tt.percent)
				// One group fails or stays silent in each query, twice the budget.
				silent := first + n%groups
				for i := first; i < first+groups; i++ {
					if i != silent {
						r.do(query.ReplyMsg{Reply: r.ok(i)})
					} else if tt.status != attempt.OK {
						failed := r.refusal(i, tt.status)
						failed.Execution = tt.ran
						r.do(query.ReplyMsg{Reply: failed})
					}
				}
				r.tick(r.now + 200)
			}
			n := r.model.Totals(rank.Urgent)
			limit := int(queries*groups*tt.percent/100+burst) * tt.perCost
			if got := tt.extra(n); got > limit || got < limit/2 {
				t.Errorf("%d extra attempts, want at most %d and the budget used", got, limit)
			}
			if n.Needed != queries*groups || n.Sent != n.Needed+n.Hedges+n.Retries {
				t.Errorf("totals %+v do not add up", n)
			}
			if r.events[timeline.BudgetExhausted] == 0 {
				t.Error("no event about the exhausted budget")
			}
			if got := len(r.answers); got != queries {
				t.Errorf("%d answers, want %d", got, queries)
			}
		})
	}
}

// TestLeaving guards against new work for an upstream that is leaving.
func TestLeaving(t *testing.T) {
	r := newRig(2, 1)
	r.book.MarkLeaving(0, "s/0/0")
	for range 20 {
		r.start(100, 100)
		r.tick(r.now + 200)
	}
	for _, req := range r.sent {
		if req.Upstream == "s/0/0" {
			t.Fatal("an attempt was sent to the leaving upstream")
		}
		if req.Deadline > r.now {
			t.Fatalf("attempt deadline %d exceeds the query's", req.Deadline)
		}
	}
}

// TestStartAndGone guards against answers for callers that left, repeated ids and impossible starts.
func TestStartAndGone(t *testing.T) {
	r := newRig(2, 1)
	r.start(10, 10)
	r.start(10, 10)
	if got := len(r.sent); got != 2 {
		t.Errorf("%d attempts after a repeated id, want 2", got)
	}
	r.do(query.CallerDisconnectedMsg{ID: "q"})
	r.do(query.ReplyMsg{Reply: r.ok(0)})
	r.tick(500)
	if len(r.answers) != 0 || len(r.cancels) != 2 || r.model.OpenQueries() != 0 {
		t.Errorf("%d answers, %d cancelled, %d open, want 0, 2, 0", len(r.answers), len(r.cancels), r.model.OpenQueries())
	}
	r.do(query.StartMsg{ID: "u", Service: "other", Deadline: r.now + 100})
	r.do(query.StartMsg{ID: "d", Service: "s", Deadline: r.now - 1})
	for _, a := range r.answers {
		if a.Outcome != query.Failed || a.Execution != attempt.NotExecuted || a.Reason == "" {
			t.Errorf("answer %+v, want failed, not run, with a reason", a)
		}
	}
	if got := len(r.answers); got != 2 {
		t.Errorf("%d answers, want 2", got)
	}
}

// TestRandomReplies guards against lost, doubled or mixed answers and coverage that is
// not true, whatever the upstreams and the network do.
func TestRandomReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(3, rapid.SampledFrom([][]uint64{nil, {1}, {1, 2}}).Draw(t, "held")...)
		started := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				r.do(query.StartMsg{
					ID: fmt.Sprint(started), Service: "s", Deadline: r.now + clock.Millis(rapid.IntRange(0, 200).Draw(t, "time")),
					Policy: preset.RankPolicy{HedgeBudgetPercent: 5, RetryBudgetPercent: 5},
				})
				started++
			case 2:
				r.tick(r.now + clock.Millis(rapid.IntRange(1, 60).Draw(t, "wait")))
			default:
				if len(r.sent) > 0 {
					i := len(r.sent) - 1 - rapid.IntRange(0, min(len(r.sent)-1, 12)).Draw(t, "back")
					r.do(query.ReplyMsg{Reply: randomReply(t, r, i)})
				}
			}
		}
		r.tick(r.now + 1000)
		ids := make(map[string]bool)
		for _, a := range r.answers {
			if ids[a.ID] {
				t.Fatalf("query %s answered twice", a.ID)
			}
			ids[a.ID] = true
			if err := checkAnswer(a); err != nil {
				t.Fatalf("query %s: %v", a.ID, err)
			}
		}
		if got := len(r.answers); got != started || r.model.OpenQueries() != 0 {
			t.Fatalf("%d answers and %d open, want %d and 0", got, r.model.OpenQueries(), started)
		}
		for _, req := range r.sent {
			if got := r.book.Outstanding(upstream.ID(req.Upstream)); got != 0 {
				t.Fatalf("%d outstanding on %s, want 0", got, req.Upstream)
			}
		}
		if wake, ok := r.model.NextWake(); ok {
			t.Fatalf("a wake at %d is left", wake)
		}
	})
}

// randomReply draws a reply to the attempt i: right, moved, refused, of another version or crossed.
func randomReply(t *rapid.T, r *rig, i int) attempt.Reply {
	reply := r.ok(i)
	reply.QueueMs = clock.Millis(rapid.IntRange(0, 5).Draw(t, "queue"))
	switch rapid.IntRange(0, 7).Draw(t, "reply") {
	case 0:
		return r.refusal(i, attempt.VersionGone, rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "versions")...)
	case 1:
		return r.refusal(i, rapid.SampledFrom([]attempt.Status{attempt.Shed, attempt.ConnRefused, attempt.Leaving, attempt.NotSent}).Draw(t, "status"))
	case 2:
		return attempt.Reply{ID: reply.ID, Upstream: reply.Upstream, Status: rapid.SampledFrom([]attempt.Status{
			attempt.Failed, attempt.TimedOut, attempt.Mismatched, attempt.Cancelled,
		}).Draw(t, "status")}
	case 3:
		reply.Version++
		reply.Rows = versionRows(reply.Version, reply.Ranges...)
	case 4:
		reply.ID = r.sent[rapid.IntRange(0, len(r.sent)-1).Draw(t, "crossed")].ID
	case 5:
		keys := coverage.Range{From: rapid.Uint32Range(0, 30).Draw(t, "from"), To: rapid.Uint32Range(0, 40).Draw(t, "to")}
		reply.Epoch = rapid.Uint64Range(1, 4).Draw(t, "epoch")
		reply.Ranges, reply.Rows = []coverage.Range{keys}, versionRows(reply.Version, keys)
	}
	return reply
}
