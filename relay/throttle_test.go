package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/relay"
)

// newThrottledModel returns a VM to which both carriers have stated at 2010 which customers
// are above their share.
func newThrottledModel(t *testing.T, throttled ...relay.Throttled) *relay.Model {
	m := newShardedModelWithBudget(t)
	m.Update(1000, shardedTable(8, false, customer.Customer{Name: "hot", Keys: []string{"k1"}}, customer.Customer{Name: "small", Keys: []string{"k2"}}))
	for id := range uint64(2) {
		cmds := m.Update(2000, arrivalWithKey(id+1, "k2"))
		cmd := cmds[len(cmds)-1].(relay.DelegateCmd)
		m.Update(2010, relay.DelegationResultMsg{From: cmd.To, Result: relay.DelegationResult{
			ID: cmd.Delegation.ID, Answer: relay.Answer{Outcome: relay.Refused, Reason: "full"}, Throttled: throttled,
		}})
	}
	return m
}

// refusedOf returns which of 400 queries are refused because of their customer's share.
func refusedOf(m *relay.Model, now clock.Millis, key string) []uint64 {
	var refused []uint64
	for id := uint64(100); id < 500; id++ {
		cmds := m.Update(now, arrivalWithKey(id, key))
		if strings.Contains(customersOf(cmds), relay.OverShare) {
			refused = append(refused, id)
		}
	}
	return refused
}

// TestDraw guards against queries that are refused for another customer, for longer than what
// a carrier stated holds, or without it, and against VMs that refuse different queries.
func TestDraw(t *testing.T) {
	hot := relay.Throttled{Customer: "hot", Admitted: 0.3}
	tests := []struct {
		name      string
		throttled []relay.Throttled
		now       clock.Millis
		key       string
		min, max  int // refused
	}{
		{"customer above its share", []relay.Throttled{hot}, 2020, "k1", 250, 310},
		{"other customer", []relay.Throttled{hot}, 2020, "k2", 0, 0},
		{"carrier of an earlier release", nil, 2020, "k1", 0, 0},
		{"other priority", []relay.Throttled{{Customer: "hot", Priority: 1, Admitted: 0.3}}, 2020, "k1", 0, 0},
		{"stated long ago", []relay.Throttled{hot}, 4020, "k1", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := refusedOf(newThrottledModel(t, tt.throttled...), tt.now, tt.key)
			if got := len(first); got < tt.min || got > tt.max {
				t.Errorf("got %d refused, want %d to %d", got, tt.min, tt.max)
			}
			if second := refusedOf(newThrottledModel(t, tt.throttled...), tt.now, tt.key); !slices.Equal(first, second) {
				t.Errorf("got other queries refused on another VM: %v, %v", first, second)
			}
		})
	}
}

// TestCarrierThrottles guards against a carrier that does not report to others which customer is
// above its share, against one that names a customer within its share, and against one that
// throttles a customer because its upstreams are too slow for the target.
func TestCarrierThrottles(t *testing.T) {
	tests := []struct {
		name     string
		perTick  int          // delegations of the hot customer each 10 ms; there is room for two
		targetIn clock.Millis // too short for any upstream if it is 1
		want     string
	}{
		{"too little room", 4, 40, "[hot]"},
		{"room for all", 1, 40, "[]"},
		{"slow upstreams", 1, 1, "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newThrottlingCarrier(t)
			for now := clock.Millis(2000); now < 6000; now += 10 {
				for _, a := range slices.Clone(c.attempts[:min(4, len(c.attempts))]) {
					c.attempts = c.attempts[1:]
					c.update(now, relay.ReplyMsg{Attempt: a, Reply: relay.Reply{Status: 200, Receipt: "x"}})
				}
				c.delegate(now, "hot", tt.perTick, tt.targetIn)
				if now%100 == 0 {
					c.delegate(now, "small", 1, tt.targetIn)
				}
				c.update(now, relay.TickMsg{})
			}
			names := []string{}
			for _, s := range c.stated {
				names = append(names, s.Customer)
			}
			if got := fmt.Sprint(names); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// throttlingCarrier is a carrier with its open attempts and what it stated last.
type throttlingCarrier struct {
	m        *relay.Model
	attempts []uint64
	stated   []relay.Throttled
	id       uint64
}

func newThrottlingCarrier(t *testing.T) *throttlingCarrier {
	m := newShardedModel(t, "va", "a")
	m.Update(1000, shardedTable(8, false, customer.Customer{Name: "hot", Keys: []string{"k1"}}, customer.Customer{Name: "small", Keys: []string{"k2"}}))
	return &throttlingCarrier{m: m}
}

func (c *throttlingCarrier) delegate(now clock.Millis, name string, n int, targetIn clock.Millis) {
	for range n {
		c.id++
		msg := delegated(8, "s1", "s2")
		msg.ID, msg.Name = c.id, fmt.Sprint("r", c.id)
		msg.Delegation.Terms.Customer, msg.Delegation.TargetInMs = name, targetIn
		c.update(now, msg)
	}
}

func (c *throttlingCarrier) update(now clock.Millis, msg relay.Msg) {
	for _, cmd := range c.m.Update(now, msg) {
		switch cmd := cmd.(type) {
		case relay.SendCmd:
			c.attempts = append(c.attempts, cmd.Attempt)
		case relay.AnswerCmd:
			c.stated = cmd.Throttled
		}
	}
}
