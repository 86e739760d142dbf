package query_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const keysPerGroup = 10

// harness drives a Model and records its commands.
type harness struct {
	balancer *upstream.Balancer
	model    *query.Model
	now      clock.Millis
	sent     []attempt.Request
	cancels  []query.CancelCmd
	answers  []query.Answer
	events   map[timeline.Kind]int
}

// newHarness returns a Model of a service whose groups have two replicas each.
// The replicas hold the given versions; without any it is unknown what they hold.
func newHarness(groups int, held ...uint64) *harness {
	svc := upstream.Service{Name: "s", Keys: uint32(groups * keysPerGroup)}
	var list []upstream.Upstream
	for g := range groups {
		group := upstream.Group{Name: fmt.Sprint(g)}
		for r := range 2 {
			id := upstream.ID(fmt.Sprintf("s/%d/%d", g, r))
			group.Replicas = append(group.Replicas, upstream.Upstream{ID: id, Service: "s", Group: group.Name})
		}
		list = append(list, group.Replicas...)
		svc.Groups = append(svc.Groups, group)
	}
	balancer := upstream.New(upstream.WithUpstreams(list), upstream.WithSeed(1))
	for _, u := range list {
		balancer.RecordReply(0, u.ID, attempt.Reply{Status: attempt.VersionGone, HeldVersions: held})
	}
	return &harness{
		balancer: balancer, events: make(map[timeline.Kind]int),
		model: query.New(balancer, query.WithServices(svc), query.WithVM("vm", 3)),
	}
}

func (h *harness) update(msg query.Msg) {
	for _, cmd := range h.model.Update(h.now, msg) {
		switch cmd := cmd.(type) {
		case query.SendCmd:
			h.sent = append(h.sent, cmd.Request)
		case query.CancelCmd:
			h.cancels = append(h.cancels, cmd)
		case query.AnswerCmd:
			h.answers = append(h.answers, cmd.Answer)
		case query.EventCmd:
			h.events[cmd.Kind]++
		}
	}
}

func (h *harness) start(hedgePercent, retryPercent float64) {
	h.update(query.StartMsg{
		ID: "q", Service: "s", Deadline: h.now + 200, MinCoverage: 50,
		Policy: preset.RankPolicy{HedgeBudgetPercent: hedgePercent, RetryBudgetPercent: retryPercent},
	})
}

// advanceTo sets the time to at and sends a TickMsg at each time returned by NextWake.
func (h *harness) advanceTo(at clock.Millis) {
	for {
		wake, ok := h.model.NextWake()
		if !ok || wake > at {
			break
		}
		h.now = max(h.now, wake)
		h.update(query.TickMsg{})
	}
	h.now = at
}

// okReply returns a reply to attempt i with all keys of its group. The value of
// each row is the version.
func (h *harness) okReply(i int) attempt.Reply {
	req := h.sent[i]
	var g uint32
	_, _ = fmt.Sscan(req.Group, &g)
	keys := coverage.Range{From: g * keysPerGroup, To: (g + 1) * keysPerGroup}
	return attempt.Reply{
		ID: req.ID, Upstream: req.Upstream, Status: attempt.OK, Execution: attempt.Executed, Version: req.Version, Epoch: 1,
		Ranges: []coverage.Range{keys}, HeldVersions: []uint64{req.Version}, Rows: versionRows(req.Version, keys),
	}
}

func (h *harness) notExecutedReply(i int, status attempt.Status, held ...uint64) attempt.Reply {
	return attempt.Reply{ID: h.sent[i].ID, Upstream: h.sent[i].Upstream, Status: status, Execution: attempt.NotExecuted, HeldVersions: held}
}

func versionRows(version uint64, ranges ...coverage.Range) []coverage.Row {
	var rows []coverage.Row
	for _, keys := range ranges {
		for k := keys.From; k < keys.To; k++ {
			rows = append(rows, coverage.Row{Key: k, Value: fmt.Sprint(version)})
		}
	}
	return rows
}

// checkAnswer returns an error for an inconsistent answer, given that the
// upstreams hold one row per key.
func checkAnswer(a query.Answer) error {
	missing := make(map[uint32]bool)
	for _, gap := range a.Missing {
		for k := gap.From; k < gap.To; k++ {
			missing[k] = true
		}
	}
	if got, want := len(missing), int(a.Expected-a.Covered); got != want {
		return fmt.Errorf("%d keys missing, want %d", got, want)
	}
	seen := make(map[uint32]bool)
	for _, row := range a.Rows {
		if seen[row.Key] || missing[row.Key] || row.Value != fmt.Sprint(a.Snapshot) {
			return fmt.Errorf("row %v at snapshot %d: duplicate, reported missing or of another version", row, a.Snapshot)
		}
		seen[row.Key] = true
	}
	if got, want := len(seen), int(a.Covered); got != want {
		return fmt.Errorf("rows for %d keys, want %d", got, want)
	}
	if (a.Outcome == query.Complete) != (a.Covered == a.Expected) {
		return fmt.Errorf("outcome %s with %d of %d keys", a.Outcome, a.Covered, a.Expected)
	}
	return nil
}

// TestFaults guards against a wrong outcome, a wrong execution state and lost or
// duplicate answers, with one fault per case.
func TestFaults(t *testing.T) {
	tests := []struct {
		name      string
		held      []uint64
		run       func(h *harness)
		outcome   query.Outcome
		covered   uint32
		execution attempt.Execution
		sent      int
		drop      query.DropReason
		drops     int
		event     timeline.Kind
	}{
		{name: "no fault", held: []uint64{1}, run: func(h *harness) {
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 2},
		{name: "duplicate reply", held: []uint64{1}, run: func(h *harness) {
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 2, drop: query.DropFinishedAttempt, drops: 1, event: timeline.ReplyDropped},
		{name: "late reply", held: []uint64{1}, run: func(h *harness) {
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.update(query.OverloadMsg{Service: "s", Overloaded: true})
			h.advanceTo(200)
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
		}, outcome: query.Partial, covered: 10, execution: attempt.Executed, sent: 2, drop: query.DropFinishedAttempt, drops: 1, event: timeline.GroupMissing},
		{name: "reply from another upstream", held: []uint64{1}, run: func(h *harness) {
			misrouted := h.okReply(1)
			misrouted.ID = h.sent[0].ID
			h.update(query.ReplyMsg{Reply: misrouted})
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 2, drop: query.DropWrongUpstream, drops: 1},
		{name: "another VM's attempt", held: []uint64{1}, run: func(h *harness) {
			other := h.okReply(0)
			other.ID.Incarnation++
			h.update(query.ReplyMsg{Reply: other})
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 2, drop: query.DropUnknownAttempt, drops: 1},
		{name: "wrong version", held: []uint64{1}, run: func(h *harness) {
			wrong := h.okReply(0)
			wrong.Version, wrong.Rows = 2, versionRows(2, wrong.Ranges...)
			h.update(query.ReplyMsg{Reply: wrong})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
			h.update(query.ReplyMsg{Reply: h.okReply(2)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 3, drop: query.DropWrongVersion, drops: 1, event: timeline.Retried},
		{name: "truncated reply", held: []uint64{1}, run: func(h *harness) {
			h.update(query.ReplyMsg{Reply: attempt.Reply{ID: h.sent[0].ID, Upstream: h.sent[0].Upstream, Status: attempt.Mismatched}})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
			h.update(query.ReplyMsg{Reply: h.okReply(2)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 3, event: timeline.Retried},
		{name: "every connection refused", held: []uint64{1}, run: func(h *harness) {
			for i := 0; len(h.answers) == 0; h.advanceTo(h.now + 1) {
				for ; i < len(h.sent); i++ {
					h.update(query.ReplyMsg{Reply: h.notExecutedReply(i, attempt.ConnRefused)})
				}
			}
		}, outcome: query.Failed, execution: attempt.NotExecuted, sent: 12},
		{name: "no reply at all", held: []uint64{1}, run: func(h *harness) {
			h.update(query.OverloadMsg{Service: "s", Overloaded: true})
			h.advanceTo(200)
		}, outcome: query.Failed, execution: attempt.ExecutionUnknown, sent: 2},
		{name: "version gone everywhere", held: []uint64{1}, run: func(h *harness) {
			for i := range 4 {
				h.update(query.ReplyMsg{Reply: h.notExecutedReply(i, attempt.VersionGone, 2)})
				if len(h.sent) > 4 {
					break
				}
			}
			for i := 2; i < len(h.sent); i++ {
				h.update(query.ReplyMsg{Reply: h.okReply(i)})
			}
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 6, event: timeline.VersionRestart},
		{name: "held versions unknown", run: func(h *harness) {
			h.update(query.ReplyMsg{Reply: h.notExecutedReply(0, attempt.VersionGone, 4, 5)})
			h.update(query.ReplyMsg{Reply: h.notExecutedReply(1, attempt.VersionGone, 3, 4)})
			h.update(query.ReplyMsg{Reply: h.okReply(2)})
			h.update(query.ReplyMsg{Reply: h.okReply(3)})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 4, event: timeline.VersionRestart},
		{name: "reply without a version", run: func(h *harness) {
			h.update(query.ReplyMsg{Reply: h.okReply(0)})
			h.advanceTo(200)
		}, outcome: query.Failed, execution: attempt.ExecutionUnknown, sent: 3, drop: query.DropWrongVersion, drops: 1},
		{name: "missing keys under an older epoch", held: []uint64{1}, run: func(h *harness) {
			moved := h.okReply(0)
			moved.Epoch, moved.Ranges = 2, []coverage.Range{{To: 8}}
			moved.Rows = versionRows(1, moved.Ranges...)
			h.update(query.ReplyMsg{Reply: moved})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
			h.advanceTo(h.now + 5)
			retried := h.okReply(2)
			retried.Epoch, retried.Ranges = 2, []coverage.Range{{From: 8, To: 20}}
			retried.Rows = versionRows(1, retried.Ranges...)
			h.update(query.ReplyMsg{Reply: retried})
		}, outcome: query.Complete, covered: 20, execution: attempt.Executed, sent: 3},
		{name: "missing keys under the same epoch", held: []uint64{1}, run: func(h *harness) {
			incomplete := h.okReply(0)
			incomplete.Ranges, incomplete.Rows = []coverage.Range{{To: 8}}, versionRows(1, coverage.Range{To: 8})
			h.update(query.ReplyMsg{Reply: incomplete})
			h.update(query.ReplyMsg{Reply: h.okReply(1)})
		}, outcome: query.Partial, covered: 18, execution: attempt.Executed, sent: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(2, tt.held...)
			h.start(10, 10)
			tt.run(h)
			h.advanceTo(1000)
			if len(h.answers) != 1 {
				t.Fatalf("%d answers, want 1", len(h.answers))
			}
			a := h.answers[0]
			if err := checkAnswer(a); err != nil {
				t.Error(err)
			}
			if a.Outcome != tt.outcome || a.Covered != tt.covered || a.Execution != tt.execution {
				t.Errorf("got %s, %d keys, execution %s, want %s, %d, %s", a.Outcome, a.Covered, a.Execution, tt.outcome, tt.covered, tt.execution)
			}
			if a.Attempts != tt.sent || a.AttemptsNeeded != 2 {
				t.Errorf("%d attempts and %d needed, want %d and 2", a.Attempts, a.AttemptsNeeded, tt.sent)
			}
			if got := h.model.Dropped(tt.drop); got != tt.drops {
				t.Errorf("%d replies dropped, want %d", got, tt.drops)
			}
			if tt.event != "" && h.events[tt.event] == 0 {
				t.Errorf("no %s event, want at least 1", tt.event)
			}
			if a.TookMs > 200 {
				t.Errorf("answered after %d ms, want at most 200", a.TookMs)
			}
		})
	}
}
