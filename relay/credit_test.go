package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/relay"
)

// newLimitedModel returns a Model whose customer nyla, key k1, has a limit.
func newLimitedModel(t *testing.T) *relay.Model {
	m := newShardedModel(t, "va", "a")
	m.Update(1000, shardedTable(8, false,
		customer.Customer{Name: "nyla", Keys: []string{"k1"}, RatePerS: 5, Burst: 7}, customer.Customer{Name: "fuge", Keys: []string{"k2"}}))
	return m
}

// creditCmds returns the commands about credit, and the other ones as customersOf does.
func creditCmds(cmds []relay.Cmd) string {
	var out []string
	for _, c := range cmds {
		switch c := c.(type) {
		case relay.CreditCmd:
			out = append(out, fmt.Sprintf("credit %d %s %g+%g v%d", c.Request, c.Limit.Customer, c.Limit.Rate, c.Limit.Burst, c.Limit.Version))
		case relay.CancelCreditCmd:
			out = append(out, fmt.Sprintf("cancel %d", c.Request))
		case relay.ReturnCreditCmd:
			out = append(out, "return "+c.Customer)
		}
	}
	if rest := customersOf(cmds); rest != "" {
		out = append(out, rest)
	}
	return strings.Join(out, ", ")
}

// TestCredit guards against a request that runs without credit, waits without end for it,
// or whose credit is lost though it did not run.
func TestCredit(t *testing.T) {
	const asked = "credit 1 nyla 5+7 v8"
	type step struct {
		at   clock.Millis
		msg  relay.Msg
		want string
	}
	granted := relay.CreditMsg{Request: 1, Granted: true}
	tests := []struct {
		name  string
		steps []step
	}{
		{"granted", []step{{2000, arrivalWithKey(1, "k1"), asked}, {2003, granted, "send nyla, send nyla"}}},
		{"no limit", []step{{2000, arrivalWithKey(1, "k2"), "send fuge, send fuge"}}},
		{"over the limit", []step{{2000, arrivalWithKey(1, "k1"), asked}, {2003, relay.CreditMsg{Request: 1, OverLimit: true, RetryAfterMs: 900}, "over_limit over_limit"}}},
		{"no VM reached", []step{{2000, arrivalWithKey(1, "k1"), asked}, {2040, relay.CreditMsg{Request: 1, RetryAfterMs: 200}, "refused no_credit"}}},
		{"late credit", []step{{2000, arrivalWithKey(1, "k1"), asked}, {2600, granted, "return nyla, refused waited_too_long"}}},
		{"stopping meanwhile", []step{
			{2000, arrivalWithKey(1, "k1"), asked}, {2001, relay.StopMsg{Deadline: 2010, CallersUntil: 2005}, ""}, {2003, granted, "return nyla, refused stopping"},
		}},
		{"upstreams gone meanwhile", []step{
			{2000, arrivalWithKey(1, "k1"), asked}, {2001, relay.UpstreamRemovedMsg{ID: "s1a"}, ""}, {2001, relay.UpstreamRemovedMsg{ID: "s1b"}, ""},
			{2001, relay.UpstreamRemovedMsg{ID: "s2a"}, ""}, {2001, relay.UpstreamRemovedMsg{ID: "s2b"}, ""},
			{2003, granted, "return nyla, refused no_upstream"},
		}},
		{"caller gone", []step{{2000, arrivalWithKey(1, "k1"), asked}, {2001, relay.CallerDisconnectedMsg{ID: 1}, "cancel 1"}, {2003, granted, ""}}},
		{"not delegated again", []step{{2000, func() relay.Msg {
			d := delegated(8, "s1")
			d.Delegation.Terms.Customer = "nyla"
			return d
		}(), "send nyla"}}},
		{"decision without a request", []step{{2000, relay.CreditMsg{Request: 9, Granted: true}, ""}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newLimitedModel(t)
			for i, s := range tt.steps {
				if got := creditCmds(m.Update(s.at, s.msg)); got != s.want {
					t.Fatalf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestReturnCredit guards against credit that goes back although the request may have run,
// or stays away although all upstreams said that it did not.
func TestReturnCredit(t *testing.T) {
	for _, tt := range []struct {
		name   string
		notRun bool
	}{{"shed by all", true}, {"lost", false}} {
		t.Run(tt.name, func(t *testing.T) {
			m := newLimitedModel(t)
			m.Update(2000, arrivalWithKey(1, "k1"))
			queue := []relay.Cmd{}
			queue = append(queue, m.Update(2001, relay.CreditMsg{Request: 1, Granted: true})...)
			returned, answered := false, false
			for now := clock.Millis(2002); now < 4000; now++ {
				cmds := queue
				queue = nil
				for _, c := range cmds {
					switch c := c.(type) {
					case relay.SendCmd:
						queue = append(queue, m.Update(now, relay.AttemptFailedMsg{Attempt: c.Attempt, NotSent: tt.notRun, Cause: "test"})...)
					case relay.ReturnCreditCmd:
						returned = true
					case relay.AnswerCmd:
						answered = true
					}
				}
				queue = append(queue, m.Update(now, relay.TickMsg{})...)
			}
			if !answered || returned != tt.notRun {
				t.Errorf("got an answer %t and credit back %t, want an answer and %t", answered, returned, tt.notRun)
			}
		})
	}
}
