package query_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/timeline"
)

// TestTokenWait guards against retries that poll an exhausted budget every few
// milliseconds and so take the whole processor under overload.
func TestTokenWait(t *testing.T) {
	h := newHarness(1, 1)
	query.WithBurst(0, 0)(h.model)
	const timeMs = 10_000
	h.update(query.StartMsg{ID: "q", Service: "s", Deadline: timeMs})
	h.update(query.ReplyMsg{Reply: attempt.Reply{ID: h.sent[0].ID, Upstream: h.sent[0].Upstream, Status: attempt.Failed}})
	wakes := 0
	for h.model.OpenQueries() > 0 {
		at, ok := h.model.NextWake()
		if !ok {
			t.Fatal("NextWake returned none for an open query")
		}
		h.advanceTo(at)
		wakes++
	}
	// The waits double from 3 ms to 1.5 s, so there are about 16 of them in ten seconds.
	if want := 20; wakes > want {
		t.Errorf("%d wakes, want at most %d", wakes, want)
	}
	if len(h.sent) != 1 || len(h.answers) != 1 {
		t.Errorf("%d attempts and %d answers, want 1 and 1", len(h.sent), len(h.answers))
	}
}

// TestNoRetry guards against retries that cannot succeed: after a carrier
// dropped an attempt because too little time remained, and to an upstream that
// shed an attempt, before its RetryAfter has passed.
func TestNoRetry(t *testing.T) {
	tests := []struct {
		name       string
		at         clock.Millis // time of the first reply; the deadline is 200
		status     attempt.Status
		retryAfter clock.Millis
		want       []clock.Millis // times at which attempts are sent; all get the same reply
	}{
		{"too little time remains", 185, attempt.NotSent, 0, []clock.Millis{0}},
		{"no connection, enough time remains", 10, attempt.NotSent, 0, []clock.Millis{0, 10, 18, 34, 66, 130}},
		{"shed without RetryAfter", 10, attempt.Shed, 0, []clock.Millis{0, 10, 18, 34, 66, 130}},
		{"shed with RetryAfter 100 ms", 10, attempt.Shed, 100, []clock.Millis{0, 10, 110}},
		{"shed with RetryAfter beyond the deadline", 10, attempt.Shed, 1000, []clock.Millis{0, 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(1, 1)
			query.WithBurst(100, 100)(h.model)
			h.update(query.OverloadMsg{Service: "s", Overloaded: true}) // no hedges
			h.start(100, 100)
			h.advanceTo(tt.at)
			var got []clock.Millis
			for len(got) < len(h.sent) {
				if len(got) == 0 {
					got = append(got, 0)
				} else {
					got = append(got, h.now)
				}
				refused := h.notExecutedReply(len(got)-1, tt.status)
				refused.RetryAfter = tt.retryAfter
				h.update(query.ReplyMsg{Reply: refused})
				for wake, ok := h.model.NextWake(); ok && len(got) == len(h.sent); wake, ok = h.model.NextWake() {
					h.advanceTo(wake)
				}
			}
			if len(got) != len(tt.want) {
				t.Fatalf("attempts sent at %v, want %v", got, tt.want)
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("attempts sent at %v, want %v", got, tt.want)
				}
			}
		})
	}
}

// TestNoHedgesWithoutBudget guards against a rank that spends the initial
// tokens although its preset has a hedge budget of 0.
func TestNoHedgesWithoutBudget(t *testing.T) {
	for _, tc := range []struct {
		percent float64
		want    int
	}{{percent: 0, want: 0}, {percent: 5, want: 1}} {
		h := newHarness(1, 1)
		h.start(tc.percent, 5)
		h.advanceTo(100)
		if got := h.events[timeline.Hedged]; min(got, 1) != tc.want {
			t.Errorf("hedges with a budget of %g%% = %d, want %d", tc.percent, got, tc.want)
		}
	}
}

// TestRetryAtOnlyUpstream guards against a group that is left out with time to spare
// after one failed attempt, because its other upstream is leaving.
func TestRetryAtOnlyUpstream(t *testing.T) {
	for _, status := range []attempt.Status{attempt.Failed, attempt.TimedOut, attempt.ConnRefused} {
		h := newHarness(1, 1)
		query.WithBurst(100, 100)(h.model)
		h.update(query.OverloadMsg{Service: "s", Overloaded: true}) // no hedges
		h.balancer.MarkLeaving(h.now, "s/0/1")
		h.start(100, 100)
		h.advanceTo(10)
		h.update(query.ReplyMsg{Reply: attempt.Reply{ID: h.sent[0].ID, Upstream: h.sent[0].Upstream, Status: status}})
		h.advanceTo(30)
		if len(h.sent) != 2 || h.sent[1].Upstream != h.sent[0].Upstream {
			t.Errorf("%s: attempts %+v, want 2, both to the upstream that is not leaving", status, h.sent)
			continue
		}
		h.update(query.ReplyMsg{Reply: h.okReply(1)})
		if len(h.answers) != 1 || h.answers[0].Outcome != query.Complete {
			t.Errorf("%s: got answers %+v, want a complete one", status, h.answers)
		}
	}
}
