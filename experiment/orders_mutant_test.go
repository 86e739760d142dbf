package experiment

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
)

// faultyMachine wraps a correct machine. fault may change, add or drop its
// commands.
type faultyMachine struct {
	orderMachine
	submissions   map[string]order.SubmitMsg // by id
	extraAttempts uint64
	fault         func(m *faultyMachine, now clock.Millis, msg order.Msg, cmds []order.Cmd) []order.Cmd
}

func (m *faultyMachine) Update(now clock.Millis, msg order.Msg) []order.Cmd {
	if msg, ok := msg.(order.SubmitMsg); ok {
		m.submissions[msg.ID] = msg
	}
	return m.fault(m, now, msg, m.orderMachine.Update(now, msg))
}

// attempt builds a SendCmd that the correct machine did not return.
func (m *faultyMachine) attempt(s order.SubmitMsg, token order.Token) order.SendCmd {
	m.extraAttempts++
	return order.SendCmd{Token: token, Request: attempt.Request{
		ID: attempt.ID{VM: "double", Seq: m.extraAttempts}, Upstream: string(orderUpstream(s.Group, 0)),
		Kind: attempt.Order, OrderID: s.ID, Body: s.Body, Deadline: s.Deadline,
	}}
}

// replaceAnswers replaces the answers for which change returns true.
func replaceAnswers(cmds []order.Cmd, change func(*order.Answer) bool) []order.Cmd {
	for i, cmd := range cmds {
		if a, ok := cmd.(order.AnswerCmd); ok && change(&a.Answer) {
			cmds[i] = a
		}
	}
	return cmds
}

// sendOnSubmit sends an attempt before the claim is confirmed.
func sendOnSubmit(m *faultyMachine, _ clock.Millis, msg order.Msg, cmds []order.Cmd) []order.Cmd {
	if s, ok := msg.(order.SubmitMsg); ok {
		cmds = append(cmds, m.attempt(s, order.Token{}))
	}
	return cmds
}

// confirmAtOnce makes an owner confirm a claim before the reply to its write.
func confirmAtOnce(_ *faultyMachine, _ clock.Millis, msg order.Msg, cmds []order.Cmd) []order.Cmd {
	if c, ok := msg.(order.ClaimRequestMsg); ok && c.Op == order.OpClaim {
		cmds = append(cmds, order.PeerCmd{To: c.From, Msg: order.ClaimResponseMsg{Token: c.Token, Result: order.ResultClaimed}})
	}
	return cmds
}

// retryUnknown sends another attempt after a reply that leaves the execution unknown.
func retryUnknown(m *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	for _, cmd := range cmds {
		if a, ok := cmd.(order.AnswerCmd); ok && a.Answer.Outcome == order.OutcomeUnknown {
			cmds = append(cmds, m.attempt(m.submissions[a.Answer.ID], order.Token{}))
		}
	}
	return cmds
}

// unknownAsNotExecuted answers an order with unknown execution as not executed.
func unknownAsNotExecuted(_ *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	return replaceAnswers(cmds, func(a *order.Answer) bool {
		if a.Outcome != order.OutcomeUnknown {
			return false
		}
		a.Outcome, a.Execution = order.OutcomeRefused, attempt.NotExecuted
		return true
	})
}

// sendAfterDeadline sends an attempt after the order was refused at its deadline.
func sendAfterDeadline(m *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	for _, cmd := range cmds {
		if a, ok := cmd.(order.AnswerCmd); ok && a.Answer.Reason == order.ReasonDeadline {
			cmds = append(cmds, m.attempt(m.submissions[a.Answer.ID], order.Token{}))
		}
	}
	return cmds
}

// unknownAsDone answers an order with unknown execution as done.
func unknownAsDone(_ *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	return replaceAnswers(cmds, func(a *order.Answer) bool {
		if a.Outcome != order.OutcomeUnknown {
			return false
		}
		a.Outcome, a.Execution = order.OutcomeDone, attempt.Executed
		return true
	})
}

// refusedAsRepeat answers a refused order as already submitted, although no claim exists.
func refusedAsRepeat(_ *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	return replaceAnswers(cmds, func(a *order.Answer) bool {
		if a.Outcome != order.OutcomeRefused {
			return false
		}
		a.Outcome, a.Execution = order.OutcomeAlreadySubmitted, attempt.ExecutionUnknown
		return true
	})
}

// answerTwice answers each submission twice.
func answerTwice(_ *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	for _, cmd := range cmds {
		if _, ok := cmd.(order.AnswerCmd); ok {
			cmds = append(cmds, cmd)
		}
	}
	return cmds
}

// dropRelease never sends the release of a claim to its owner.
func dropRelease(_ *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd {
	var out []order.Cmd
	for _, cmd := range cmds {
		if p, ok := cmd.(order.PeerCmd); ok {
			if c, ok := p.Msg.(order.ClaimRequestMsg); ok && c.Op == order.OpRelease {
				continue
			}
		}
		out = append(out, cmd)
	}
	return out
}

// TestCheckerCatchesFaults guards against a checker that misses violations: each
// faulty machine violates some invariants, and the checker must count them.
func TestCheckerCatchesFaults(t *testing.T) {
	t.Parallel()
	const lost orderRule = "lost"
	tests := []struct {
		name  string
		fault func(*faultyMachine, clock.Millis, order.Msg, []order.Cmd) []order.Cmd
		want  []orderRule
	}{
		{"none", func(_ *faultyMachine, _ clock.Millis, _ order.Msg, cmds []order.Cmd) []order.Cmd { return cmds }, nil},
		{"send on submit", sendOnSubmit, []orderRule{ruleExecutedTwice, ruleSentWithoutClaim, ruleResentWithoutProof}},
		{"confirm before the write is known", confirmAtOnce, []orderRule{ruleExecutedTwice, ruleSentWithoutClaim}},
		{"retry after an unknown reply", retryUnknown, []orderRule{ruleExecutedTwice, ruleResentWithoutProof}},
		{"unknown answered as not executed", unknownAsNotExecuted, []orderRule{ruleFalseNotExecuted}},
		{"send after the deadline", sendAfterDeadline, []orderRule{ruleSentAfterNotExecuted, ruleFalseNotExecuted}},
		{"unknown answered as executed", unknownAsDone, []orderRule{ruleFalseExecuted}},
		{"refusal answered as a repeat", refusedAsRepeat, []orderRule{ruleRepeatWithoutClaim}},
		{"answered twice", answerTwice, []orderRule{ruleAnswerCount}},
		{"claims never released", dropRelease, []orderRule{lost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := ordersConfig{seed: 3, orders: 5000, ordersPerSecond: ordersPerSecond, faults: true, options: sealOptions(5000)}
			cfg.wrapMachine = func(m orderMachine) orderMachine {
				return &faultyMachine{orderMachine: m, submissions: make(map[string]order.SubmitMsg), fault: tt.fault}
			}
			res := runOrders(cfg)
			if res.lostUnexplained > 0 {
				res.violations[lost] = res.lostUnexplained
			}
			for _, rule := range tt.want {
				if res.violations[rule] == 0 {
					t.Errorf("%q: got 0 violations, want some; all: %v", rule, res.violations)
				}
			}
			if len(tt.want) == 0 && len(res.violations) > 0 {
				t.Errorf("got %v, want no violation", res.violations)
			}
		})
	}
}
