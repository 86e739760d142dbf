package experiment_test

import (
	"slices"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

type cmdMapper = func(id string, cmd vm.Cmd) []vm.Cmd

// eachQuery applies change to every answer to a query.
func eachQuery(change func(*vm.QueryAnswer)) cmdMapper {
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		if a, ok := cmd.(vm.AnswerQueryCmd); ok {
			a.Answer.Rows = slices.Clone(a.Answer.Rows)
			change(&a.Answer)
			return []vm.Cmd{a}
		}
		return []vm.Cmd{cmd}
	}
}

// eachOrder applies change to every answer to an order.
func eachOrder(change func(*vm.OrderAnswer)) cmdMapper {
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		if a, ok := cmd.(vm.AnswerOrderCmd); ok {
			change(&a.Answer)
			return []vm.Cmd{a}
		}
		return []vm.Cmd{cmd}
	}
}

func duplicateDispatch(_ string, cmd vm.Cmd) []vm.Cmd {
	if d, ok := cmd.(vm.DispatchCmd); ok && d.Request.Kind == attempt.Order {
		return []vm.Cmd{cmd, cmd}
	}
	return []vm.Cmd{cmd}
}

func changeRowVersion(a *vm.QueryAnswer) {
	if len(a.Rows) > 0 {
		a.Rows[0].Value = "v99" + a.Rows[0].Value[2:]
	}
}

func claimComplete(a *vm.QueryAnswer) {
	if a.Outcome == vm.Partial {
		a.Outcome, a.Covered, a.Missing = vm.Complete, a.Expected, nil
	}
}

func claimMissing(a *vm.QueryAnswer) {
	if a.Outcome == vm.Complete {
		a.Missing = []coverage.Range{{From: 0, To: 10}}
	}
}

// otherSnapshot reports a snapshot at which no upstream served the request.
func otherSnapshot(a *vm.QueryAnswer) {
	if a.Outcome != vm.Complete {
		return
	}
	a.Snapshot = 7
	for i := range a.Rows {
		a.Rows[i].Value = "v7" + a.Rows[i].Value[2:]
	}
}

func duplicateRow(a *vm.QueryAnswer) {
	if len(a.Rows) > 0 {
		a.Rows = append(a.Rows, a.Rows[0])
	}
}

func dropRow(a *vm.QueryAnswer) {
	if len(a.Rows) > 0 {
		a.Rows = a.Rows[1:]
	}
}

// exchangeAnswers swaps the rows of two complete answers, or the whole answers.
func exchangeAnswers(rows bool) cmdMapper {
	var first *vm.AnswerQueryCmd
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		a, ok := cmd.(vm.AnswerQueryCmd)
		if !ok || a.Answer.Outcome != vm.Complete {
			return []vm.Cmd{cmd}
		}
		if first == nil {
			first = &a
			return nil
		}
		other := *first
		first = nil
		if rows {
			a.Answer.Rows, other.Answer.Rows = other.Answer.Rows, a.Answer.Rows
		} else {
			a.Answer, other.Answer = other.Answer, a.Answer
		}
		return []vm.Cmd{a, other}
	}
}

func queryUnknownToNotExecuted(a *vm.QueryAnswer) {
	if a.Outcome == vm.Failed {
		a.Execution = attempt.NotExecuted
	}
}

func orderUnknownToNotExecuted(a *vm.OrderAnswer) {
	if a.Outcome == order.OutcomeUnknown {
		a.Outcome, a.Execution = order.OutcomeRefused, attempt.NotExecuted
	}
}

func otherBody(a *vm.OrderAnswer) {
	if a.Outcome == order.OutcomeDone {
		a.Body = []byte("done another order")
	}
}

// ignoreLeaving sends a copy of the other replica's work to a leaving upstream.
func ignoreLeaving() cmdMapper {
	leaving := ""
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		switch m := cmd.(type) {
		case vm.EventCmd:
			if m.Event.Kind == timeline.UpstreamLeaving {
				leaving = m.Event.Upstream
			}
		case vm.DispatchCmd:
			if leaving != "" && m.Request.Upstream[:len(m.Request.Upstream)-1] == leaving[:len(leaving)-1] {
				m.Request.Upstream = leaving
				m.Request.ID.Seq += 1 << 40
				return []vm.Cmd{cmd, m}
			}
		}
		return []vm.Cmd{cmd}
	}
}

// dropOne drops the tenth answer to a query.
func dropOne() cmdMapper {
	n := 0
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		if _, ok := cmd.(vm.AnswerQueryCmd); ok {
			n++
			if n == 10 {
				return nil
			}
		}
		return []vm.Cmd{cmd}
	}
}

// delayOne delays one answer to a query until many more commands have followed.
func delayOne() cmdMapper {
	var delayed vm.Cmd
	n := 0
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		n++
		if a, ok := cmd.(vm.AnswerQueryCmd); ok && delayed == nil && n > 1000 {
			delayed, n = a, 0
			return nil
		}
		if delayed != nil && n == 20_000 {
			return []vm.Cmd{cmd, delayed}
		}
		return []vm.Cmd{cmd}
	}
}

// failAtStop drops the remaining answers of a stopping VM, or reports their execution as unknown.
func failAtStop(drop bool) cmdMapper {
	stopping := ""
	return func(id string, cmd vm.Cmd) []vm.Cmd {
		if e, ok := cmd.(vm.EventCmd); ok && e.Event.Kind == timeline.DrainStarted {
			stopping = id
		}
		if id != stopping {
			return []vm.Cmd{cmd}
		}
		switch a := cmd.(type) {
		case vm.AnswerQueryCmd:
			if drop {
				return nil
			}
			a.Answer.Outcome = vm.Failed
			return []vm.Cmd{a}
		case vm.AnswerOrderCmd:
			if drop {
				return nil
			}
			a.Answer.Outcome = order.OutcomeUnknown
			return []vm.Cmd{a}
		}
		return []vm.Cmd{cmd}
	}
}

type presetMapper = func(id, name string, revision uint64) (string, uint64)

// revert puts revision 1 back in force on one VM for a while after revision 2.
func revert() presetMapper {
	seen := 0
	return func(id, name string, revision uint64) (string, uint64) {
		if id != "vm-2" || revision < 2 {
			return name, revision
		}
		if seen++; seen < 100 || seen > 200 {
			return name, revision
		}
		return "ordinary", 1
	}
}

func staleRevision(id, name string, revision uint64) (string, uint64) {
	if id == "vm-2" && revision > 1 {
		return "ordinary", 1
	}
	return name, revision
}

func otherPreset(id, name string, revision uint64) (string, uint64) {
	if id == "vm-2" && revision > 1 {
		return "maintenance", revision
	}
	return name, revision
}

// TestMatrixCheckersCatch guards against checks that never fail: each case violates one invariant.
func TestMatrixCheckersCatch(t *testing.T) {
	const quiet, cut, stop = "upstream-cold/query-sent", "reply-cut/query-sent", "vm-stopped/query-sent"
	tests := map[string]struct {
		cell    string
		options experiment.CellOptions
		want    string
	}{
		"order dispatched twice":        {quiet, experiment.CellOptions{MapCmd: duplicateDispatch}, experiment.InvariantAtMostOnce},
		"row of another version":        {quiet, experiment.CellOptions{MapCmd: eachQuery(changeRowVersion)}, experiment.InvariantOneSnapshot},
		"full coverage reported":        {cut, experiment.CellOptions{MapCmd: eachQuery(claimComplete)}, experiment.InvariantTrueCoverage},
		"coverage does not add up":      {quiet, experiment.CellOptions{MapCmd: eachQuery(claimMissing)}, experiment.InvariantTrueCoverage},
		"keys that no upstream served":  {quiet, experiment.CellOptions{MapCmd: eachQuery(otherSnapshot)}, experiment.InvariantTrueCoverage},
		"row dropped":                   {quiet, experiment.CellOptions{MapCmd: eachQuery(dropRow)}, experiment.InvariantTrueCoverage},
		"row duplicated":                {quiet, experiment.CellOptions{MapCmd: eachQuery(duplicateRow)}, experiment.InvariantOwnAnswer},
		"answers exchanged":             {quiet, experiment.CellOptions{MapCmd: exchangeAnswers(false)}, experiment.InvariantOwnAnswer},
		"rows exchanged":                {quiet, experiment.CellOptions{MapCmd: exchangeAnswers(true)}, experiment.InvariantOwnAnswer},
		"body of another order":         {quiet, experiment.CellOptions{MapCmd: eachOrder(otherBody)}, experiment.InvariantOwnAnswer},
		"unknown order as not executed": {cut, experiment.CellOptions{MapCmd: eachOrder(orderUnknownToNotExecuted)}, experiment.InvariantNotRun},
		"failed query as not executed":  {cut, experiment.CellOptions{MapCmd: eachQuery(queryUnknownToNotExecuted)}, experiment.InvariantNotRun},
		"revision lowered":              {quiet, experiment.CellOptions{MapPreset: revert()}, experiment.InvariantNoRevert},
		"revision not in force":         {quiet, experiment.CellOptions{MapPreset: staleRevision}, experiment.InvariantPresetInForce},
		"two presets at one revision":   {quiet, experiment.CellOptions{MapPreset: otherPreset}, experiment.InvariantOnePreset},
		"work for a leaving upstream":   {"upstream-leaving/query-sent", experiment.CellOptions{MapCmd: ignoreLeaving()}, experiment.InvariantLeaving},
		"answer dropped":                {quiet, experiment.CellOptions{MapCmd: dropOne()}, experiment.InvariantAnswered},
		"answer late":                   {quiet, experiment.CellOptions{MapCmd: delayOne()}, experiment.InvariantAnswered},
		"requests dropped at a stop":    {stop, experiment.CellOptions{MapCmd: failAtStop(true)}, experiment.InvariantPlannedStop},
		"requests failed at a stop":     {stop, experiment.CellOptions{MapCmd: failAtStop(false)}, experiment.InvariantPlannedStop},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := experiment.RunCell(1, tt.cell, tt.options)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(got.ViolatedInvariants(), tt.want) {
				t.Errorf("got %v %s, want %s", got.ViolatedInvariants(), got.Problem, tt.want)
			}
		})
	}
}
