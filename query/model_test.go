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

// rig drives a Model by hand and keeps its commands.
type rig struct {
	book    *upstream.Book
	model   *query.Model
	now     clock.Millis
	sent    []attempt.Request
	cancels []query.CancelCmd
	answers []query.Answer
	events  map[timeline.Kind]int
}

// newRig makes a service with groups of two replicas that hold the versions; none means not known.
func newRig(groups int, held ...uint64) *rig {
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
	book := upstream.New(upstream.WithUpstreams(list), upstream.WithSeed(1))
	for _, u := range list {
		book.Observe(0, u.ID, attempt.Reply{Status: attempt.VersionGone, HeldVersions: held})
	}
	return &rig{
		book: book, events: make(map[timeline.Kind]int),
		model: query.New(book, query.WithServices(svc), query.WithVM("vm", 3)),
	}
}

func (r *rig) do(msg query.Msg) {
	for _, cmd := range r.model.Update(r.now, msg) {
		switch cmd := cmd.(type) {
		case query.SendCmd:
			r.sent = append(r.sent, cmd.Request)
		case query.CancelCmd:
			r.cancels = append(r.cancels, cmd)
		case query.AnswerCmd:
			r.answers = append(r.answers, cmd.Answer)
		case query.EventCmd:
			r.events[cmd.Kind]++
		}
	}
}

func (r *rig) start(hedge, retry float64) {
	r.do(query.StartMsg{
		ID: "q", Service: "s", Deadline: r.now + 200, MinCoverage: 50,
		Policy: preset.RankPolicy{HedgeBudgetPercent: hedge, RetryBudgetPercent: retry},
	})
}

// tick moves the time to at and wakes the model whenever it asks.
func (r *rig) tick(at clock.Millis) {
	for {
		wake, ok := r.model.NextWake()
		if !ok || wake > at {
			break
		}
		r.now = max(r.now, wake)
		r.do(query.TickMsg{})
	}
	r.now = at
}

// ok answers the attempt i with the keys of its group; rows carry the version.
func (r *rig) ok(i int) attempt.Reply {
	req := r.sent[i]
	var g uint32
	_, _ = fmt.Sscan(req.Group, &g)
	keys := coverage.Range{From: g * keysPerGroup, To: (g + 1) * keysPerGroup}
	return attempt.Reply{
		ID: req.ID, Upstream: req.Upstream, Status: attempt.OK, Execution: attempt.Executed, Version: req.Version, Epoch: 1,
		Ranges: []coverage.Range{keys}, HeldVersions: []uint64{req.Version}, Rows: versionRows(req.Version, keys),
	}
}

func (r *rig) refusal(i int, st attempt.Status, held ...uint64) attempt.Reply {
	return attempt.Reply{ID: r.sent[i].ID, Upstream: r.sent[i].Upstream, Status: st, Execution: attempt.NotExecuted, HeldVersions: held}
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

// checkAnswer returns what is wrong with an answer whose upstreams hold one row per key.
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
			return fmt.Errorf("row %v at snapshot %d: doubled, reported missing or mixed", row, a.Snapshot)
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

// TestFaults guards one fault per case: a wrong outcome, a wrong ran, a lost or doubled answer.
func TestFaults(t *testing.T) {
	tests := []struct {
		name    string
		held    []uint64
		run     func(r *rig)
		outcome query.Outcome
		covered uint32
		ran     attempt.Execution
		sent    int
		drop    query.DropReason
		drops   int
		event   timeline.Kind
	}{
		{name: "all answer", held: []uint64{1}, run: func(r *rig) {
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 2},
		{name: "doubled reply", held: []uint64{1}, run: func(r *rig) {
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 2, drop: query.DropFinishedAttempt, drops: 1, event: timeline.ReplyDropped},
		{name: "late reply", held: []uint64{1}, run: func(r *rig) {
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.do(query.OverloadMsg{Service: "s", Overloaded: true})
			r.tick(200)
			r.do(query.ReplyMsg{Reply: r.ok(1)})
		}, outcome: query.Partial, covered: 10, ran: attempt.Executed, sent: 2, drop: query.DropFinishedAttempt, drops: 1, event: timeline.GroupMissing},
		{name: "crossed upstream", held: []uint64{1}, run: func(r *rig) {
			crossed := r.ok(1)
			crossed.ID = r.sent[0].ID
			r.do(query.ReplyMsg{Reply: crossed})
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 2, drop: query.DropWrongUpstream, drops: 1},
		{name: "another VM's attempt", held: []uint64{1}, run: func(r *rig) {
			foreign := r.ok(0)
			foreign.ID.Incarnation++
			r.do(query.ReplyMsg{Reply: foreign})
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 2, drop: query.DropUnknownAttempt, drops: 1},
		{name: "wrong version", held: []uint64{1}, run: func(r *rig) {
			wrong := r.ok(0)
			wrong.Version, wrong.Rows = 2, versionRows(2, wrong.Ranges...)
			r.do(query.ReplyMsg{Reply: wrong})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
			r.do(query.ReplyMsg{Reply: r.ok(2)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 3, drop: query.DropWrongVersion, drops: 1, event: timeline.Retried},
		{name: "cut reply", held: []uint64{1}, run: func(r *rig) {
			r.do(query.ReplyMsg{Reply: attempt.Reply{ID: r.sent[0].ID, Upstream: r.sent[0].Upstream, Status: attempt.Mismatched}})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
			r.do(query.ReplyMsg{Reply: r.ok(2)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 3, event: timeline.Retried},
		{name: "every attempt refused", held: []uint64{1}, run: func(r *rig) {
			for i := 0; len(r.answers) == 0; r.tick(r.now + 1) {
				for ; i < len(r.sent); i++ {
					r.do(query.ReplyMsg{Reply: r.refusal(i, attempt.ConnRefused)})
				}
			}
		}, outcome: query.Failed, ran: attempt.NotExecuted, sent: 12},
		{name: "no answer at all", held: []uint64{1}, run: func(r *rig) {
			r.do(query.OverloadMsg{Service: "s", Overloaded: true})
			r.tick(200)
		}, outcome: query.Failed, ran: attempt.ExecutionUnknown, sent: 2},
		{name: "version gone everywhere", held: []uint64{1}, run: func(r *rig) {
			for i := range 4 {
				r.do(query.ReplyMsg{Reply: r.refusal(i, attempt.VersionGone, 2)})
				if len(r.sent) > 4 {
					break
				}
			}
			for i := 2; i < len(r.sent); i++ {
				r.do(query.ReplyMsg{Reply: r.ok(i)})
			}
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 6, event: timeline.VersionRestart},
		{name: "nothing known", run: func(r *rig) {
			r.do(query.ReplyMsg{Reply: r.refusal(0, attempt.VersionGone, 4, 5)})
			r.do(query.ReplyMsg{Reply: r.refusal(1, attempt.VersionGone, 3, 4)})
			r.do(query.ReplyMsg{Reply: r.ok(2)})
			r.do(query.ReplyMsg{Reply: r.ok(3)})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 4, event: timeline.VersionRestart},
		{name: "reply without a version", run: func(r *rig) {
			r.do(query.ReplyMsg{Reply: r.ok(0)})
			r.tick(200)
		}, outcome: query.Failed, ran: attempt.ExecutionUnknown, sent: 3, drop: query.DropWrongVersion, drops: 1},
		{name: "epoch gap", held: []uint64{1}, run: func(r *rig) {
			moved := r.ok(0)
			moved.Epoch, moved.Ranges = 2, []coverage.Range{{To: 8}}
			moved.Rows = versionRows(1, moved.Ranges...)
			r.do(query.ReplyMsg{Reply: moved})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
			r.tick(r.now + 5)
			again := r.ok(2)
			again.Epoch, again.Ranges = 2, []coverage.Range{{From: 8, To: 20}}
			again.Rows = versionRows(1, again.Ranges...)
			r.do(query.ReplyMsg{Reply: again})
		}, outcome: query.Complete, covered: 20, ran: attempt.Executed, sent: 3},
		{name: "gap at one epoch", held: []uint64{1}, run: func(r *rig) {
			short := r.ok(0)
			short.Ranges, short.Rows = []coverage.Range{{To: 8}}, versionRows(1, coverage.Range{To: 8})
			r.do(query.ReplyMsg{Reply: short})
			r.do(query.ReplyMsg{Reply: r.ok(1)})
		}, outcome: query.Partial, covered: 18, ran: attempt.Executed, sent: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(2, tt.held...)
			r.start(10, 10)
			tt.run(r)
			r.tick(1000)
			if len(r.answers) != 1 {
				t.Fatalf("%d answers, want 1", len(r.answers))
			}
			a := r.answers[0]
			if err := checkAnswer(a); err != nil {
				t.Error(err)
			}
			if a.Outcome != tt.outcome || a.Covered != tt.covered || a.Execution != tt.ran {
				t.Errorf("got %s, %d keys, ran %s, want %s, %d, %s", a.Outcome, a.Covered, a.Execution, tt.outcome, tt.covered, tt.ran)
			}
			if a.Attempts != tt.sent || a.Needed != 2 {
				t.Errorf("%d attempts of %d needed, want %d of 2", a.Attempts, a.Needed, tt.sent)
			}
			if got := r.model.Dropped(tt.drop); got != tt.drops {
				t.Errorf("%d replies dropped, want %d", got, tt.drops)
			}
			if tt.event != "" && r.events[tt.event] == 0 {
				t.Errorf("no event %s", tt.event)
			}
			if a.TookMs > 200 {
				t.Errorf("answered after %d ms, want at most 200", a.TookMs)
			}
		})
	}
}
