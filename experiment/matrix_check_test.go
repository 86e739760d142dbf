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

type commands = func(id string, cmd vm.Cmd) []vm.Cmd

// eachQuery changes the answers to queries.
func eachQuery(change func(*vm.QueryAnswer)) commands {
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		if a, ok := cmd.(vm.AnswerQueryCmd); ok {
			a.Answer.Rows = slices.Clone(a.Answer.Rows)
			change(&a.Answer)
			return []vm.Cmd{a}
		}
		return []vm.Cmd{cmd}
	}
}

// eachOrder changes the answers to orders.
func eachOrder(change func(*vm.OrderAnswer)) commands {
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

func claimWhole(a *vm.QueryAnswer) {
	if a.Outcome == vm.Partial {
		a.Outcome, a.Covered, a.Missing = vm.Complete, a.Expected, nil
	}
}

func claimLess(a *vm.QueryAnswer) {
	if a.Outcome == vm.Complete {
		a.Missing = []coverage.Range{{From: 0, To: 10}}
	}
}

// otherSnapshot claims a snapshot at which no upstream served the request.
func otherSnapshot(a *vm.QueryAnswer) {
	if a.Outcome != vm.Complete {
		return
	}
	a.Snapshot = 7
	for i := range a.Rows {
		a.Rows[i].Value = "v7" + a.Rows[i].Value[2:]
	}
}

func doubleRow(a *vm.QueryAnswer) {
	if len(a.Rows) > 0 {
		a.Rows = append(a.Rows, a.Rows[0])
	}
}

func loseRow(a *vm.QueryAnswer) {
	if len(a.Rows) > 0 {
		a.Rows = a.Rows[1:]
	}
}

// exchange gives each of two answers to the caller of the other.
func exchange(rows bool) commands {
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

func queryUnknownToNo(a *vm.QueryAnswer) {
	if a.Outcome == vm.Failed {
		a.Execution = attempt.NotExecuted
	}
}

func orderUnknownToNo(a *vm.OrderAnswer) {
	if a.Outcome == order.OutcomeUnknown {
		a.Outcome, a.Execution = order.OutcomeRefused, attempt.NotExecuted
	}
}

func otherBody(a *vm.OrderAnswer) {
	if a.Outcome == order.OutcomeDone {
		a.Body = []byte("done another order")
	}
}

// ignoreLeaving sends a copy of the work of its other replica to a leaving upstream.
func ignoreLeaving() commands {
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

// dropOne loses the tenth answer.
func dropOne() commands {
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

// delayOne holds one urgent answer back until many more commands have followed.
func delayOne() commands {
	var held vm.Cmd
	n := 0
	return func(_ string, cmd vm.Cmd) []vm.Cmd {
		n++
		if a, ok := cmd.(vm.AnswerQueryCmd); ok && held == nil && n > 1000 {
			held, n = a, 0
			return nil
		}
		if held != nil && n == 20_000 {
			return []vm.Cmd{cmd, held}
		}
		return []vm.Cmd{cmd}
	}
}

// cutAtStop loses what a stopping VM still has to answer, or makes it unknown.
func cutAtStop(drop bool) commands {
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

type presetView = func(id, name string, revision uint64) (string, uint64)

// revert puts revision 1 back in force on one VM after it has had revision 2 for a while.
func revert() presetView {
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

func stuck(id, name string, revision uint64) (string, uint64) {
	if id == "vm-2" && revision > 1 {
		return "ordinary", 1
	}
	return name, revision
}

func another(id, name string, revision uint64) (string, uint64) {
	if id == "vm-2" && revision > 1 {
		return "maintenance", revision
	}
	return name, revision
}

// Guards against a checker that cannot fail: each double breaks one invariant.
func TestMatrixCheckersCatch(t *testing.T) {
	const quiet, cut, stop = "upstream-cold/query-sent", "reply-cut/query-sent", "vm-stopped/query-sent"
	tests := map[string]struct {
		cell   string
		double experiment.CellOptions
		want   string
	}{
		"order dispatched twice":       {quiet, experiment.CellOptions{MapCmd: duplicateDispatch}, experiment.InvariantAtMostOnce},
		"row of another version":       {quiet, experiment.CellOptions{MapCmd: eachQuery(changeRowVersion)}, experiment.InvariantOneSnapshot},
		"full coverage claimed":        {cut, experiment.CellOptions{MapCmd: eachQuery(claimWhole)}, experiment.InvariantTrueCoverage},
		"coverage does not add up":     {quiet, experiment.CellOptions{MapCmd: eachQuery(claimLess)}, experiment.InvariantTrueCoverage},
		"keys that nobody served":      {quiet, experiment.CellOptions{MapCmd: eachQuery(otherSnapshot)}, experiment.InvariantTrueCoverage},
		"row lost":                     {quiet, experiment.CellOptions{MapCmd: eachQuery(loseRow)}, experiment.InvariantTrueCoverage},
		"row doubled":                  {quiet, experiment.CellOptions{MapCmd: eachQuery(doubleRow)}, experiment.InvariantOwnAnswer},
		"answers exchanged":            {quiet, experiment.CellOptions{MapCmd: exchange(false)}, experiment.InvariantOwnAnswer},
		"rows exchanged":               {quiet, experiment.CellOptions{MapCmd: exchange(true)}, experiment.InvariantOwnAnswer},
		"body of another order":        {quiet, experiment.CellOptions{MapCmd: eachOrder(otherBody)}, experiment.InvariantOwnAnswer},
		"unknown order called not run": {cut, experiment.CellOptions{MapCmd: eachOrder(orderUnknownToNo)}, experiment.InvariantNotRun},
		"failed query called not run":  {cut, experiment.CellOptions{MapCmd: eachQuery(queryUnknownToNo)}, experiment.InvariantNotRun},
		"revision lowered":             {quiet, experiment.CellOptions{MapPreset: revert()}, experiment.InvariantNoRevert},
		"revision not in force":        {quiet, experiment.CellOptions{MapPreset: stuck}, experiment.InvariantPresetInForce},
		"two presets at one revision":  {quiet, experiment.CellOptions{MapPreset: another}, experiment.InvariantOnePreset},
		"work for a leaving upstream":  {"upstream-leaving/query-sent", experiment.CellOptions{MapCmd: ignoreLeaving()}, experiment.InvariantLeaving},
		"answer dropped":               {quiet, experiment.CellOptions{MapCmd: dropOne()}, experiment.InvariantAnswered},
		"answer late":                  {quiet, experiment.CellOptions{MapCmd: delayOne()}, experiment.InvariantAnswered},
		"requests dropped at a stop":   {stop, experiment.CellOptions{MapCmd: cutAtStop(true)}, experiment.InvariantPlannedStop},
		"requests cut at a stop":       {stop, experiment.CellOptions{MapCmd: cutAtStop(false)}, experiment.InvariantPlannedStop},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := experiment.RunCell(1, tt.cell, tt.double)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(got.ViolatedInvariants(), tt.want) {
				t.Errorf("got %v %s, want %s", got.ViolatedInvariants(), got.Problem, tt.want)
			}
		})
	}
}
