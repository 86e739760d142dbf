package relay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// TestStopAdmission guards against a stopping VM that takes a request which its upstream may
// still work on when the VM ends, and against one that refuses what fits in.
func TestStopAdmission(t *testing.T) {
	const callersUntil, deadline = 5000, 7300 // of a VM that stops at 2000
	tests := []struct {
		name       string
		idempotent bool
		at, stated clock.Millis
		want       string
	}{
		{"order, early", false, 2500, 4000, "send"},
		{"order, no more callers, fits in", false, 5100, 2200, "send"},
		{"order, no more callers, may not fit in", false, 5100, 3000, "answer refused"},
		{"query, no more callers, probably fits in", true, 6800, 3000, "send"},
		{"query, at the end", true, 7000, 3000, "answer refused"},
		{"order, after the end", false, 7400, 300, "answer refused"},
		{"query, after the end", true, 7400, 300, "answer refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, tt.idempotent, 1) // replies take 200 ms, as far as the model knows
			m.Update(2000, relay.StopMsg{Deadline: deadline, CallersUntil: callersUntil})
			cmds := m.Update(tt.at, arrivalWithin(1, tt.stated))
			if got := commandNames(cmds); len(got) != 1 || got[0][:4] != tt.want[:4] {
				t.Fatalf("got %v, want %s", got, tt.want)
			}
			for _, c := range cmds {
				if s, ok := c.(relay.SendCmd); ok && tt.at+s.RemainingMs > deadline {
					t.Errorf("got %d ms for the upstream at %d, want it to end by %d", s.RemainingMs, tt.at, deadline)
				}
				if a, ok := c.(relay.AnswerCmd); ok && (a.Answer.RetryAfterMs <= 0 || a.Answer.RetryAfterMs > 50) {
					t.Errorf("got a retry delay of %d ms, want a short one: other VMs can take the request", a.Answer.RetryAfterMs)
				}
			}
		})
	}
}

// TestStopOrder guards against a stop whose answers come in an order that differs from run to
// run.
func TestStopOrder(t *testing.T) {
	run := func() string {
		m := newSingleServiceModel(t, false, 3)
		for id := range uint64(30) {
			m.Update(2000, arrivalWithin(id+1, 4000))
		}
		m.Update(2000, relay.StopMsg{Deadline: 2100, CallersUntil: 2050})
		return fmt.Sprintf("%+v", m.Update(2100, relay.TickMsg{}))
	}
	if got, want := run(), run(); got != want {
		t.Errorf("got\n%s\nwant as in the other run\n%s", got, want)
	}
}
