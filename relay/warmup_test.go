package relay_test

import (
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// coldUpstream returns the report of an upstream of service s in a data centre.
func coldUpstream(dataCentre string, incarnation uint64, coldMs clock.Millis) relay.Upstream {
	u := plainUpstream(dataCentre, incarnation)
	u.ColdMs, u.Slots = coldMs, 2
	return u
}

// newWarmupModel returns the model of VM va in data centre a with one service whose
// upstreams bear 10 requests a second while they are cold.
func newWarmupModel(perSecond float64, vms []string, upstreams ...relay.Upstream) *relay.Model {
	m := relay.New(relay.WithSelf("va", "a"), relay.WithBudget(productionBudget))
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{
		Version: 1, Services: []route.Service{{Name: "s", WarmupPerSecond: perSecond, WarmupMs: 3000}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Service: "s", Idempotent: true, TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2}},
	})})
	var fleet []relay.VM
	for _, id := range vms {
		fleet = append(fleet, relay.VM{ID: id, Address: id, DataCentre: id[1:]})
	}
	m.Update(1000, relay.FleetMsg{VMs: fleet})
	for _, u := range upstreams {
		m.Update(1000, relay.UpstreamMsg{Upstream: u})
	}
	return m
}

// load sends a request every interval from 1000 to 4000, and replies after 5 ms. It returns
// the times of the attempts at an upstream until then, and the number of answers by outcome.
func load(t *testing.T, m *relay.Model, upstream string, interval clock.Millis) (sent []clock.Millis, answers map[relay.Outcome]int) {
	t.Helper()
	answers = make(map[relay.Outcome]int)
	replies := make(map[clock.Millis][]uint64)
	perform := func(now clock.Millis, cmds []relay.Cmd) {
		for _, c := range cmds {
			switch c := c.(type) {
			case relay.SendCmd:
				if c.Upstream == upstream && now < 4000 {
					sent = append(sent, now)
				}
				replies[now+5] = append(replies[now+5], c.Attempt)
			case relay.AnswerCmd:
				answers[c.Answer.Outcome]++
				if c.Answer.Outcome == relay.Refused && c.Answer.RetryAfterMs <= 0 {
					t.Errorf("at %d: got a refusal without a time", now)
				}
			}
		}
	}
	id := uint64(0)
	for now := clock.Millis(1000); now < 4500; now++ {
		if now < 4000 && now%interval == 0 {
			id++
			perform(now, slices.Clone(m.Update(now, arrival(id))))
		}
		for _, a := range replies[now] {
			perform(now, slices.Clone(m.Update(now, relay.ReplyMsg{Attempt: a, Reply: relay.Reply{Status: 200, Receipt: "x"}})))
		}
		if at, ok := m.NextWake(); ok && at <= now {
			perform(now, slices.Clone(m.Update(now, relay.TickMsg{})))
		}
	}
	total := 0
	for _, n := range answers {
		total += n
	}
	if total != int(id) {
		t.Errorf("got %d answers, want %d", total, id)
	}
	return sent, answers
}

func mostInSecond(times []clock.Millis) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestColdUpstream guards against a cold upstream that gets more than it bears, against one
// that gets nothing although no other is left, and against requests that fail because of it.
func TestColdUpstream(t *testing.T) {
	const coldMs = 3000
	tests := []struct {
		name             string
		m                *relay.Model
		minSent, maxSent int // at sa in a second
		maxRefused       int // of 300 requests
	}{
		{"alone", newWarmupModel(10, []string{"va"}, coldUpstream("a", 1, coldMs)), 6, 8, 280},
		{"beside a warm one", newWarmupModel(10, []string{"va"}, coldUpstream("a", 1, coldMs), coldUpstream("b", 1, 0)), 0, 0, 0},
		{"one of two VMs", newWarmupModel(10, []string{"va", "vb"}, coldUpstream("a", 1, coldMs)), 2, 5, 290},
		{"not in the list of VMs", newWarmupModel(10, []string{"vb"}, coldUpstream("a", 1, coldMs)), 0, 0, 300},
		{"no bound", newWarmupModel(0, []string{"va"}, coldUpstream("a", 1, coldMs)), 90, 101, 0},
		{"warm again", newWarmupModel(10, []string{"va"}, coldUpstream("a", 1, 100)), 85, 110, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent, answers := load(t, tt.m, "sa", 10)
			if got := mostInSecond(sent); got < tt.minSent || got > tt.maxSent {
				t.Errorf("got %d requests in a second, want %d to %d", got, tt.minSent, tt.maxSent)
			}
			if got := answers[relay.Refused]; got > tt.maxRefused {
				t.Errorf("got %d requests refused, want at most %d", got, tt.maxRefused)
			}
			if got := answers[relay.Failed] + answers[relay.TimedOut]; got > 0 {
				t.Errorf("got %d requests failed or timed out, want none", got)
			}
		})
	}
}

// TestColdAgain guards against a report of a warm upstream that becomes cold, of one that is
// warm earlier, and a change of the list or of the rate, that do not take effect.
func TestColdAgain(t *testing.T) {
	reports := func(coldMs clock.Millis) func(m *relay.Model) {
		return func(m *relay.Model) {
			u := coldUpstream("a", 1, coldMs)
			u.Sequence = 2
			m.Update(1001, relay.UpstreamMsg{Upstream: u})
		}
	}
	tests := []struct {
		name     string
		coldMs   clock.Millis // at first
		change   func(m *relay.Model)
		min, max int
	}{
		{"cold again", 0, reports(3000), 6, 9},
		{"warm sooner", 3000, reports(0), 90, 101},
		{"list changes", 3000, func(m *relay.Model) {
			for now := clock.Millis(1001); now < 1100; now++ {
				m.Update(now, relay.FleetMsg{VMs: []relay.VM{{ID: "va", DataCentre: "a"}, {ID: "vb", DataCentre: "b"}}})
				m.Update(now, relay.FleetMsg{VMs: []relay.VM{{ID: "va", DataCentre: "a"}}})
			}
		}, 6, 8},
		{"lower rate", 3000, func(m *relay.Model) {
			m.Update(1001, relay.TableMsg{Table: route.NewTable(route.Config{
				Version: 2, Services: []route.Service{{Name: "s", WarmupPerSecond: 2, WarmupMs: 3000}},
				Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Service: "s", Idempotent: true, TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2}},
			})})
		}, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newWarmupModel(10, []string{"va"}, coldUpstream("a", 1, tt.coldMs))
			tt.change(m)
			sent, _ := load(t, m, "sa", 10)
			if got := mostInSecond(sent); got < tt.min || got > tt.max {
				t.Errorf("got %d requests in a second, want %d to %d", got, tt.min, tt.max)
			}
		})
	}
}

// TestSuspectedRestart guards against a flood from a VM that does not learn that an
// upstream has restarted, because it does not reach the store.
func TestSuspectedRestart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		reported clock.Millis
		max      int
	}{{"without reports", 1000, 8}, {"with a report since", 5990, 101}} {
		t.Run(tt.name, func(t *testing.T) {
			m := newWarmupModel(10, []string{"va"}, coldUpstream("a", 1, 0))
			u := coldUpstream("a", 1, 0)
			u.Sequence = 5
			m.Update(tt.reported, relay.UpstreamMsg{Upstream: u})
			a := firstSend(t, m.Update(6000, arrival(1)))
			m.Update(6001, relay.AttemptFailedMsg{Attempt: a.Attempt})
			var sent []clock.Millis
			for now := clock.Millis(6200); now < 8000; now += 10 {
				for _, c := range slices.Clone(m.Update(now, arrival(uint64(now)))) {
					if s, ok := c.(relay.SendCmd); ok {
						sent = append(sent, now)
						m.Update(now+1, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
					}
				}
				m.Update(now+2, relay.TickMsg{})
			}
			if got := mostInSecond(sent); got == 0 || got > tt.max {
				t.Errorf("got %d requests in a second, want 1 to %d", got, tt.max)
			}
		})
	}
}

// TestLimitsOfDelegation guards against a carrier that sends to upstreams of which the VM
// that delegates knows that they are evacuated or cold.
func TestLimitsOfDelegation(t *testing.T) {
	m := newShardedModel(t, "va", "a")
	msg := delegated(7, "s1", "s2")
	msg.Delegation.Limits.Evacuated = []string{"a"}
	wantCommands(t, m.Update(2000, msg), "taken", "send s1b", "send s2b")

	m = newShardedModel(t, "vc", "c")
	evacuate(m, 1500, "b", true)
	for _, c := range m.Update(2000, arrival(1)) {
		if c, ok := c.(relay.DelegateCmd); ok {
			if got := c.Delegation.Limits.Evacuated; !slices.Equal(got, []string{"b"}) {
				t.Errorf("got %v evacuated in the delegation, want b", got)
			}
		}
	}

	m = newWarmupModel(10, []string{"va"}, coldUpstream("a", 1, 0), coldUpstream("b", 1, 0))
	msg = delegated(1, "s")
	msg.Delegation.Limits = relay.Limits{Cold: []string{"sa", "unknown"}, ColdMs: 1000}
	wantCommands(t, m.Update(6000, msg), "taken", "send sb")
}

// TestWarmupRateAdded guards against work that still goes to the data centre of a cold
// upstream after a new configuration has bounded what it bears.
func TestWarmupRateAdded(t *testing.T) {
	m := newShardedModel(t, "vc", "c")
	for _, s := range []string{"s1", "s2"} {
		m.Update(1500, relay.UpstreamMsg{Upstream: relay.Upstream{ID: s + "a", Service: s, Address: "10.0.0.0:1", DataCentre: "a", Slots: 2, ColdMs: 60_000, Sequence: 1}})
	}
	m.Update(2000, arrival(1)) // the data centres of the shards are known from here on
	m.Update(2100, relay.TableMsg{Table: route.NewTable(route.Config{Version: 8, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s1", "s2"}, Idempotent: true,
		TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
	}}, Services: []route.Service{{Name: "s1", WarmupPerSecond: 4, WarmupMs: 60_000}, {Name: "s2", WarmupPerSecond: 4, WarmupMs: 60_000}}})})
	for id := range uint64(4) {
		wantCommands(t, m.Update(2200+clock.Millis(id), arrival(10+id)), "delegate vb")
	}
}
