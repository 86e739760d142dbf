package relay_test

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// productionBudget is the limit of extra attempts on the users' current
// installations.
var productionBudget = relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second}

// newShardedModel returns the model of one of three VMs. Its route has two shards,
// each with one upstream in data centre a and one in b.
func newShardedModel(t *testing.T, self, dc string, opts ...relay.Option) *relay.Model {
	t.Helper()
	m := relay.New(append(opts, relay.WithSelf(self, dc))...)
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 7, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s1", "s2"}, Idempotent: true,
		TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
	}}})})
	for _, s := range []string{"s1", "s2"} {
		for i, dc := range []string{"a", "b"} {
			m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{
				ID: s + dc, Service: s, Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dc, Slots: 2,
			}})
		}
	}
	m.Update(1000, relay.FleetMsg{VMs: []relay.VM{
		{ID: "va", Address: "va:1", DataCentre: "a"}, {ID: "vb", Address: "vb:1", DataCentre: "b"}, {ID: "vc", Address: "vc:1", DataCentre: "c"},
	}})
	return m
}

func arrival(id uint64) relay.ArrivalMsg { return arrivalWithin(id, 400) }

func arrivalWithin(id uint64, remaining clock.Millis) relay.ArrivalMsg {
	return relay.ArrivalMsg{ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: "/x", RemainingMs: remaining}
}

// commandNames lists commands by type, without events.
func commandNames(cmds []relay.Cmd) []string {
	var out []string
	for _, c := range cmds {
		switch c := c.(type) {
		case relay.DelegateCmd:
			out = append(out, "delegate "+c.To)
		case relay.SendCmd:
			out = append(out, "send "+c.Upstream)
		case relay.AnswerCmd:
			out = append(out, "answer "+c.Answer.Outcome.String())
		case relay.CancelDelegationCmd:
			out = append(out, "withdraw "+c.To)
		case relay.AckDelegationCmd:
			out = append(out, "taken")
		case relay.CancelCmd:
			out = append(out, "cancel")
		}
	}
	return out
}

func wantCommands(t *testing.T, cmds []relay.Cmd, want ...string) {
	t.Helper()
	if got := commandNames(cmds); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestCarrierChoice guards against sub-requests that cross data centres one by one.
// A VM without local upstreams delegates to the data centres in turn; others gather
// locally.
func TestCarrierChoice(t *testing.T) {
	wantCommands(t, newShardedModel(t, "va", "a").Update(2000, arrival(1)), "send s1a", "send s2a")
	m := newShardedModel(t, "vc", "c")
	first := commandNames(m.Update(2000, arrival(1)))
	second := commandNames(m.Update(2000, arrival(2)))
	if got, want := fmt.Sprint(first, second), "[delegate va] [delegate vb]"; got != want && got != "[delegate vb] [delegate va]" {
		t.Errorf("got %s, want %s or the reverse order", got, want)
	}
}

// TestCarrierLost guards against a request that fails with its carrier, and against
// repeated sub-requests that are not counted as retries.
func TestCarrierLost(t *testing.T) {
	tests := []struct {
		name string
		fail func(m *relay.Model, c string, id uint64) []relay.Cmd
		want []string
	}{
		{"connection breaks", func(m *relay.Model, c string, id uint64) []relay.Cmd {
			return m.Update(2003, relay.PeerDisconnectedMsg{VM: c})
		}, []string{"send", "send"}},
		{"message not sent", func(m *relay.Model, c string, id uint64) []relay.Cmd {
			return m.Update(2003, relay.DelegationNotSentMsg{To: c, ID: id})
		}, []string{"send", "send"}},
		{"no acknowledgement in time", func(m *relay.Model, c string, id uint64) []relay.Cmd {
			return m.Update(2020, relay.TickMsg{})
		}, []string{"withdraw " + "x", "send", "send"}},
		{"has an older configuration", func(m *relay.Model, c string, id uint64) []relay.Cmd {
			return m.Update(2003, relay.DelegationResultMsg{From: c, Result: relay.DelegationResult{ID: id, Answer: relay.Answer{Outcome: relay.NotReady}}})
		}, []string{"send", "send"}},
		{"no result after the target", func(m *relay.Model, c string, id uint64) []relay.Cmd {
			m.Update(2002, relay.DelegationAckMsg{From: c, ID: id})
			return tickTo(m, 2002, 2100)
		}, []string{"withdraw " + "x", "send", "send"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newShardedModelWithBudget(t)
			cmds := m.Update(2000, arrival(1))
			cmd := cmds[len(cmds)-1].(relay.DelegateCmd)
			got := tt.fail(m, cmd.To, cmd.Delegation.ID)
			if len(commandNames(got)) != len(tt.want) {
				t.Fatalf("got %v, want %v", commandNames(got), tt.want)
			}
			for i, k := range commandNames(got) {
				if k[:4] != tt.want[i][:4] {
					t.Errorf("got %v, want %v", commandNames(got), tt.want)
				}
			}
		})
	}
}

func newShardedModelWithBudget(t *testing.T) *relay.Model {
	m := newShardedModel(t, "vc", "c")
	m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second})
	return m
}

// delegated returns the arrival of a delegation of two shards at a carrier.
func delegated(version uint64, services ...string) relay.ArrivalMsg {
	return relay.ArrivalMsg{ID: 9, Name: "r9", Delegation: &relay.Delegation{
		Version: version, Services: services, RemainingMs: 390, TargetInMs: 38,
		Terms: relay.Terms{Route: "other", TargetMs: 50, MaxAttempts: 1, TopK: 2, MinShardRatio: 0.5},
	}}
}

// TestCarrierAcknowledges guards against a carrier that accepts a delegation although it
// does not know the shards yet, lacks the terms, or is stopping, and against one that
// refuses because its configuration differs.
func TestCarrierAcknowledges(t *testing.T) {
	stopping := newShardedModel(t, "va", "a")
	stopping.Update(2000, relay.StopMsg{Deadline: 7000})
	withoutTerms := delegated(7, "s1", "s2")
	withoutTerms.Delegation.Terms = relay.Terms{}
	started := []string{"taken", "send s1a", "send s2a"}
	tests := []struct {
		name string
		m    *relay.Model
		msg  relay.ArrivalMsg
		want []string
	}{
		{"same configuration", newShardedModel(t, "va", "a"), delegated(7, "s1", "s2"), started},
		{"older at the other VM", newShardedModel(t, "va", "a"), delegated(6, "s1", "s2"), started},
		{"newer at the other VM", newShardedModel(t, "va", "a"), delegated(8, "s1", "s2"), started},
		{"newer, with a new shard", newShardedModel(t, "va", "a"), delegated(8, "s1", "s3"), []string{"answer not_ready"}},
		{"older, with a shard that is gone", newShardedModel(t, "va", "a"), delegated(6, "s1", "s0"), []string{"taken", "send s1a"}},
		{"without terms", newShardedModel(t, "va", "a"), withoutTerms, []string{"answer not_ready"}},
		{"no configuration", relay.New(relay.WithSelf("va", "a")), delegated(7, "s1", "s2"), []string{"answer not_ready"}},
		{"stopping", stopping, delegated(7, "s1", "s2"), []string{"answer not_ready"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { wantCommands(t, tt.m.Update(2000, tt.msg), tt.want...) })
	}
}

// TestTermsOfDelegation guards against a carrier that applies its own route to another
// VM's sub-requests: here its route gathers five records with two attempts a shard.
func TestTermsOfDelegation(t *testing.T) {
	m := newShardedModel(t, "va", "a")
	var attempts []uint64
	for _, c := range m.Update(2000, delegated(6, "s1", "s2")) {
		if s, ok := c.(relay.SendCmd); ok {
			attempts = append(attempts, s.Attempt)
		}
	}
	if len(attempts) != 2 {
		t.Fatalf("got %d attempts, want 2", len(attempts))
	}
	wantCommands(t, m.Update(2005, relay.AttemptFailedMsg{Attempt: attempts[0]})) // one attempt is allowed
	body := fmt.Appendf(nil, "%016d%016d%016d", 1, 2, 3)
	for _, c := range m.Update(2010, relay.ReplyMsg{Attempt: attempts[1], Reply: relay.Reply{Status: 200, Receipt: "x", Body: body}}) {
		if a, ok := c.(relay.AnswerCmd); ok {
			if got, want := string(a.Answer.Body), fmt.Sprintf("%016d%016d", 3, 2); a.Answer.Outcome != relay.Gathered || got != want || a.Answer.Route != "other" {
				t.Errorf("got %s of route %s with %q, want gathered of route other with %q", a.Answer.Outcome, a.Answer.Route, got, want)
			}
			return
		}
	}
	t.Error("got no answer, want one")
}

// TestCallerDisconnectedAtCarrier guards against a carrier that continues to work
// for a caller that has disconnected.
func TestCallerDisconnectedAtCarrier(t *testing.T) {
	m := newShardedModel(t, "vc", "c")
	m.Update(2000, arrival(1))
	if got := commandNames(m.Update(2005, relay.CallerDisconnectedMsg{ID: 1})); len(got) != 1 || got[0][:8] != "withdraw" {
		t.Errorf("got %v, want one withdraw", got)
	}
}

// TestCarrierResults guards against an answer that counts replies which a carrier
// did not receive, or that omits replies which it sent in time.
func TestCarrierResults(t *testing.T) {
	record := func(c byte) []byte { return []byte(fmt.Sprintf("%016d", c)) }
	delegated := func() (*relay.Model, relay.DelegateCmd) {
		m := newShardedModel(t, "vc", "c")
		cmds := m.Update(2000, arrival(1))
		return m, cmds[len(cmds)-1].(relay.DelegateCmd)
	}
	result := func(cmd relay.DelegateCmd, partial bool, receipts ...string) relay.DelegationResultMsg {
		return relay.DelegationResultMsg{From: cmd.To, Result: relay.DelegationResult{ID: cmd.Delegation.ID, Partial: partial, Answer: relay.Answer{
			Outcome: relay.Gathered, Receipts: receipts, Body: record(byte(len(receipts))),
		}}}
	}
	answerOf := func(cmds []relay.Cmd) relay.Answer {
		for _, c := range cmds {
			if a, ok := c.(relay.AnswerCmd); ok {
				return a.Answer
			}
		}
		return relay.Answer{Outcome: relay.NoRoute}
	}
	t.Run("all replies", func(t *testing.T) {
		m, cmd := delegated()
		if got := answerOf(m.Update(2010, result(cmd, false, "x", "y"))); got.Outcome != relay.Gathered || got.Missing != 0 || len(got.Receipts) != 2 {
			t.Errorf("got %+v, want both replies", got)
		}
	})
	t.Run("final result with a reply missing", func(t *testing.T) {
		m, cmd := delegated()
		if got := answerOf(m.Update(2010, result(cmd, false, "x"))); got.Outcome != relay.Gathered || got.Missing != 1 || len(got.Receipts) != 1 {
			t.Errorf("got %+v, want one reply and one missing", got)
		}
	})
	t.Run("partial result at the target", func(t *testing.T) {
		m, cmd := delegated()
		if got := commandNames(m.Update(2038, result(cmd, true, "x"))); len(got) != 0 {
			t.Errorf("before the target: got %v, want no answer yet", got)
		}
		if got := answerOf(m.Update(2041, relay.TickMsg{})); got.Outcome != relay.Gathered || got.Missing != 1 {
			t.Errorf("at the target: got %+v, want one reply and one missing", got)
		}
	})
	t.Run("partial result, then all", func(t *testing.T) {
		m, cmd := delegated()
		m.Update(2038, result(cmd, true, "x"))
		if got := answerOf(m.Update(2039, result(cmd, false, "x", "y"))); got.Missing != 0 || len(got.Receipts) != 2 {
			t.Errorf("got %+v, want each reply once", got)
		}
	})
}

// TestSilentCarrier guards against a request that fails because its carrier is paused just
// after it has acknowledged, and whose target is as late as its deadline.
func TestSilentCarrier(t *testing.T) {
	const target = 1000
	m := newShardedModel(t, "vc", "c")
	m.Update(1000, productionBudget)
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 8, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s1", "s2"}, Idempotent: true,
		TimeoutMs: target, TargetMs: target, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
	}}})})
	for id, tt := range []struct {
		name         string
		answersProbe bool
		want         string
	}{
		{"alive", true, "[]"},
		{"paused", false, "[withdraw CARRIER send s1 send s2]"},
	} {
		now := clock.Millis(2000 + 3000*id)
		var carrier string
		var got []string
		var pending []relay.Cmd
		step := func(msg relay.Msg) { pending = append(pending, m.Update(now, msg)...) }
		step(arrivalWithin(uint64(id+1), target))
		probed := false
		for end := now + target*4/5; now < end; now++ {
			cmds := pending
			pending = nil
			for _, c := range cmds {
				d, ok := c.(relay.DelegateCmd)
				switch {
				case ok && len(d.Delegation.Services) > 0:
					carrier = d.To
					step(relay.DelegationAckMsg{From: d.To, ID: d.Delegation.ID})
				case ok:
					probed = true
					if tt.answersProbe {
						step(relay.DelegationAckMsg{From: d.To, ID: d.Delegation.ID})
					}
				default:
					got = append(got, commandNames([]relay.Cmd{c})...)
				}
			}
			step(relay.TickMsg{})
		}
		want := strings.NewReplacer("CARRIER", carrier).Replace(tt.want)
		if names := regexp.MustCompile(`(s\d)[ab]`).ReplaceAllString(fmt.Sprint(got), "$1"); names != want || !probed {
			t.Errorf("%s: got %s, probed %v, want %s after a probe", tt.name, names, probed, want)
		}
		m.Update(now, relay.CallerDisconnectedMsg{ID: uint64(id + 1)})
	}
}

// TestStalledCarrier guards against a carrier that was paused and, when it runs again, repeats
// work that has been taken back from it: the withdrawal is read a moment later.
func TestStalledCarrier(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		m := newShardedModel(t, "va", "a")
		m.Update(1000, productionBudget)
		msg := delegated(7, "s1", "s2")
		msg.Delegation.TargetInMs, msg.Delegation.Terms.MaxAttempts = 300, 2
		wantCommands(t, m.Update(2000, msg), "taken", "send s1a", "send s2a")
		const resumedAt = 2200 // both are overdue since 2100
		wantCommands(t, m.Update(resumedAt, relay.TickMsg{}))
		if withdrawn {
			m.Update(resumedAt+1, relay.CallerDisconnectedMsg{ID: 9})
		}
		var got []string
		for now := clock.Millis(resumedAt + 1); now < resumedAt+50; now++ {
			got = append(got, commandNames(m.Update(now, relay.TickMsg{}))...)
		}
		want := "[send s1b send s2b]"
		if withdrawn {
			want = "[]"
		}
		if fmt.Sprint(got) != want {
			t.Errorf("withdrawn %v: got %v, want %s", withdrawn, got, want)
		}
	}
}

// newMixedFleetModel returns the model of a VM in a data centre with two strong and
// twenty weak VMs. Its route has 90 shards.
func newMixedFleetModel(self string) *relay.Model {
	m := relay.New(relay.WithSelf(self, "a"), relay.WithBudget(productionBudget))
	var names []string
	for i := range 90 {
		names = append(names, fmt.Sprint("s", i))
	}
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 7, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: names, Idempotent: true,
		TimeoutMs: 800, TargetMs: 150, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
	}}})})
	for _, s := range names {
		m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{ID: s + "a", Service: s, Address: s, DataCentre: "a", Slots: 2}})
	}
	var fleet []relay.VM
	for i := range 22 {
		v := relay.VM{ID: fmt.Sprint("v", i), Address: fmt.Sprint("v", i), DataCentre: "a", CPUMilli: 192}
		if i < 2 {
			v.CPUMilli = 800
		}
		fleet = append(fleet, v)
	}
	m.Update(1000, relay.FleetMsg{VMs: fleet})
	return m
}

// delegatedShards sends one request to m and returns the shards that it delegates,
// by carrier.
func delegatedShards(now clock.Millis, m *relay.Model) map[string][]string {
	out := make(map[string][]string)
	for _, c := range m.Update(now, arrivalWithin(uint64(now), 800)) {
		if h, ok := c.(relay.DelegateCmd); ok {
			out[h.To] = h.Delegation.Services
		}
	}
	return out
}

// TestShardsPerCarrier guards against a small VM that gathers as many shards as a
// large one, and against VMs that disagree on the carrier of a shard.
func TestShardsPerCarrier(t *testing.T) {
	m := newMixedFleetModel("v10")
	first := delegatedShards(2000, m)
	if len(first) != 2 || len(first["v0"]) < 30 || len(first["v1"]) < 30 {
		t.Fatalf("got %d and %d shards at the strong VMs, want all 90, about half each", len(first["v0"]), len(first["v1"]))
	}
	if got, want := fmt.Sprint(delegatedShards(2000, newMixedFleetModel("v11"))), fmt.Sprint(first); got != want {
		t.Errorf("got %s at another VM, want %s", got, want)
	}
	m.Update(2001, relay.PeerDisconnectedMsg{VM: "v1"})
	after := delegatedShards(2002, m)
	if len(after["v1"]) != 0 {
		t.Errorf("got %d shards for a VM whose connection broke, want none", len(after["v1"]))
	}
	weak := 0
	for vm, shards := range after {
		if vm == "v0" {
			continue
		}
		weak += len(shards)
		if len(shards) > 30 {
			t.Errorf("got %d shards at %s, a weak VM, want about 15", len(shards), vm)
		}
	}
	if weak+len(after["v0"]) != 90 || len(after["v0"]) < 45 {
		t.Errorf("got %d shards at v0 and %d at weak VMs, want 90 in all and more than half at v0", len(after["v0"]), weak)
	}
}

// TestLateAcknowledgement guards against shards that are sent again because a busy
// carrier acknowledges late although there is time to the target.
func TestLateAcknowledgement(t *testing.T) {
	m := newMixedFleetModel("v10")
	if got := len(delegatedShards(2000, m)); got != 2 {
		t.Fatalf("got %d carriers, want 2", got)
	}
	wantCommands(t, m.Update(2030, relay.TickMsg{}))
	if got := commandNames(m.Update(2060, relay.TickMsg{})); len(got) == 0 {
		t.Error("got no command 60 ms after the delegation, want the shards reclaimed")
	}
}

// TestConnectCarriers guards against a first request that waits for a stream to its
// carrier.
func TestConnectCarriers(t *testing.T) {
	m := newMixedFleetModel("v10")
	connected := make(map[string]bool)
	for _, c := range m.Update(3000, relay.FleetMsg{VMs: []relay.VM{
		{ID: "v0", Address: "v0", DataCentre: "a", CPUMilli: 800}, {ID: "v1", Address: "v1", DataCentre: "a", CPUMilli: 800},
		{ID: "v10", Address: "v10", DataCentre: "a", CPUMilli: 192}, {ID: "w", Address: "w", DataCentre: "b", CPUMilli: 800},
	}}) {
		if c, ok := c.(relay.ConnectPeerCmd); ok {
			connected[c.VM] = true
		}
	}
	if got, want := fmt.Sprint(connected), "map[v0:true v1:true]"; got != want {
		t.Errorf("got streams to %s, want %s", got, want)
	}
}

// TestRemoteSlots guards against low-priority work that fills the slots of upstreams
// in another data centre, whose own carrier fills them too.
func TestRemoteSlots(t *testing.T) {
	for _, tt := range []struct {
		priority      int
		local, remote int // open attempts
	}{{0, 3, 3}, {1, 2, 1}} {
		m := relay.New(relay.WithSelf("va", "a"))
		m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 7, Routes: []route.Route{{
			Name: "q", Host: "h", Prefix: "/", Gather: []string{"s"}, Idempotent: true,
			TimeoutMs: 400, TargetMs: 300, Priority: tt.priority, MaxAttempts: 2, TopK: 5, MinShardRatio: 0.5,
		}}})})
		for _, dc := range []string{"a", "b"} {
			m.Update(1000, relay.UpstreamMsg{Upstream: relay.Upstream{ID: dc, Service: "s", Address: dc, DataCentre: dc, Slots: 2}})
		}
		m.Update(1000, relay.FleetMsg{VMs: []relay.VM{
			{ID: "va", Address: "va", DataCentre: "a"}, {ID: "vb", Address: "vb", DataCentre: "b"},
		}})
		open := make(map[string]int)
		for id := range uint64(8) {
			for _, c := range m.Update(2000, arrival(id+1)) {
				if s, ok := c.(relay.SendCmd); ok {
					open[s.Upstream]++
				}
			}
		}
		if open["a"] != tt.local || open["b"] != tt.remote {
			t.Errorf("priority %d: got %d local and %d remote attempts, want %d and %d", tt.priority, open["a"], open["b"], tt.local, tt.remote)
		}
	}
}

// TestCarrierLeavesList guards against work that is started again elsewhere when the
// carrier that does it leaves the list of VMs, as it does at a planned stop, and against
// waiting for it after its connection broke.
func TestCarrierLeavesList(t *testing.T) {
	const finishes, breaks, restarts = "finishes", "breaks", "is listed with another address"
	for _, then := range []string{finishes, breaks, restarts} {
		t.Run(then, func(t *testing.T) {
			m := newShardedModelWithBudget(t)
			cmds := m.Update(2000, arrival(1))
			cmd := cmds[len(cmds)-1].(relay.DelegateCmd)
			m.Update(2001, relay.DelegationAckMsg{From: cmd.To, ID: cmd.Delegation.ID})
			var rest []relay.VM
			for _, v := range []relay.VM{{ID: "va", Address: "va:1", DataCentre: "a"}, {ID: "vb", Address: "vb:1", DataCentre: "b"}, {ID: "vc", Address: "vc:1", DataCentre: "c"}} {
				if v.ID == cmd.To {
					if then != restarts {
						continue
					}
					v.Address = "new:1"
				}
				rest = append(rest, v)
			}
			got := commandNames(m.Update(2002, relay.FleetMsg{VMs: rest}))
			sends := 0
			for _, c := range got {
				if c[:4] == "send" {
					sends++
				}
			}
			if want := map[string]int{restarts: 2}[then]; sends != want {
				t.Fatalf("got %v, want %d sends", got, want)
			}
			switch then {
			case finishes:
				wantCommands(t, m.Update(2010, relay.DelegationResultMsg{From: cmd.To, Result: relay.DelegationResult{
					ID: cmd.Delegation.ID, Answer: relay.Answer{Outcome: relay.Gathered, Receipts: []string{"x", "y"}},
				}}), "answer gathered")
			case breaks:
				if got := commandNames(m.Update(2010, relay.PeerDisconnectedMsg{VM: cmd.To})); len(got) != 2 || got[0][:4] != "send" {
					t.Errorf("got %v, want two sends", got)
				}
			}
		})
	}
}

// TestLeadOfUnmeasuredCarriers guards against answers that are late by a hair because the
// results of carriers arrive just after the target: in a large fleet most requests go to
// carriers that this VM has not measured.
func TestLeadOfUnmeasuredCarriers(t *testing.T) {
	const lagMs = 4 // of each result: two trips between data centres and the work of both VMs
	m := newShardedModelWithBudget(t)
	now := clock.Millis(2000)
	late := 0
	for id := range uint64(6) {
		cmds := m.Update(now, arrival(id+1))
		cmd := cmds[len(cmds)-1].(relay.DelegateCmd)
		carrierTarget := now + cmd.Delegation.TargetInMs
		m.Update(now+2, relay.DelegationAckMsg{From: cmd.To, ID: cmd.Delegation.ID})
		result := relay.DelegationResultMsg{From: cmd.To, Result: relay.DelegationResult{
			ID: cmd.Delegation.ID, Partial: true, Answer: relay.Answer{Outcome: relay.Gathered, Receipts: []string{"x"}},
		}}
		answered := carrierTarget + lagMs
		m.Update(answered, result)
		// A caller that has waited for 10 ms in all on the way gets its answer in time until
		// 40 ms after the arrival.
		if answered > now+40 {
			late++
		}
		m.Update(now+100, relay.TickMsg{}) // answers the query
		now += 1000
	}
	if late > 0 {
		t.Errorf("%d of 6 results arrived after the target, want none", late)
	}
}

// TestPreconnect guards against connections that are opened each time the list of VMs
// changes, or by VMs that will hardly use them: upstreams reset those beyond their limit,
// and all VMs together open thousands while VMs restart in turn.
func TestPreconnect(t *testing.T) {
	fleet := func(without string) relay.FleetMsg {
		var vms []relay.VM
		for i := range 22 {
			v := relay.VM{ID: fmt.Sprint("v", i), Address: fmt.Sprint("v", i), DataCentre: "a", CPUMilli: 192}
			if i < 2 {
				v.CPUMilli = 800
			}
			if v.ID != without {
				vms = append(vms, v)
			}
		}
		return relay.FleetMsg{VMs: vms}
	}
	dials := func(m *relay.Model, msg relay.Msg) (n int) {
		for _, c := range m.Update(3000, msg) {
			if _, ok := c.(relay.ConnectUpstreamCmd); ok {
				n++
			}
		}
		return n
	}
	total := 0
	for i := range 22 {
		self := fmt.Sprint("v", i)
		m := newMixedFleetModel(self)
		dials(m, fleet(self))
		total += dials(m, fleet("")) // its carriers have just changed
		for other := range 22 {
			if i != other && other > 1 {
				if got := dials(m, fleet(fmt.Sprint("v", other))) + dials(m, fleet("")); got > 0 && i < 2 {
					t.Errorf("%s opened %d connections although its shards stayed the same", self, got)
				}
			}
		}
		for n := range 5 {
			if got := dials(m, relay.UpstreamMsg{Upstream: relay.Upstream{ID: "s1a", Service: "s1", Address: "s1", DataCentre: "a", Slots: 2, Sequence: uint64(n)}}); got > 0 {
				t.Errorf("%s opened %d connections after a heartbeat", self, got)
			}
		}
	}
	// Each of the 90 shards has one upstream and one carrier.
	if total != 90 {
		t.Errorf("got %d connections opened by the carriers, want 90", total)
	}
}

// TestSuspectCarrier replays a carrier that stands still for some seconds: only the first
// query is delegated to it in vain. It is used again once it has acknowledged a probe.
func TestSuspectCarrier(t *testing.T) {
	m := newShardedModelWithBudget(t)
	lost, now := "", clock.Millis(2000)
	delegatedTo := func(cmds []relay.Cmd) (to string, probe relay.DelegateCmd) {
		for _, c := range cmds {
			if d, ok := c.(relay.DelegateCmd); ok {
				if len(d.Delegation.Services) == 0 {
					probe = d
				} else {
					to = d.To
				}
			}
		}
		return to, probe
	}
	probes := 0
	for id := range uint64(12) {
		to, probe := delegatedTo(m.Update(now, arrival(id+1)))
		switch {
		case id == 0:
			lost = to
		case to == lost:
			t.Errorf("query %d was delegated to %s, which has not acknowledged", id, lost)
		}
		if probe.To != "" {
			probes++
		}
		m.Update(now+30, relay.TickMsg{}) // without an acknowledgement
		m.Update(now+400, relay.TickMsg{})
		now += 500
	}
	if probes == 0 || probes > 12 {
		t.Errorf("got %d probes, want 1 to 12", probes)
	}
	m.Update(now, relay.DelegationAckMsg{From: lost, ID: 1 << 60})
	now += 8 * clock.Second // longer than the longest time for which a carrier is avoided
	used := false
	for id := range uint64(4) {
		to, _ := delegatedTo(m.Update(now, arrival(id+100)))
		used = used || to == lost
		now += 10
	}
	if !used {
		t.Errorf("%s is not used after it has acknowledged", lost)
	}
}

// TestProbe guards against work for a probe, or a probe without an acknowledgement.
func TestProbe(t *testing.T) {
	m := newShardedModel(t, "va", "a")
	msg := arrival(1)
	msg.Delegation = &relay.Delegation{ID: 5, Version: 7, RemainingMs: 500}
	wantCommands(t, m.Update(2000, msg), "taken", "answer refused")
}

// TestReclaimAfterFirstLoss guards against a query that fails with its carrier because the
// VM that delegated it gathers nothing itself, so that the preset allows it no retries.
func TestReclaimAfterFirstLoss(t *testing.T) {
	m := newMixedFleetModel("v10")
	defaults := preset.GatewayDefault()
	m.Update(1000, relay.PresetMsg{Preset: defaults.CurrentPreset()})
	m.Update(2000, arrivalWithin(1, 800))
	sends := 0
	for _, c := range commandNames(m.Update(2040, relay.TickMsg{})) {
		if c[:4] == "send" {
			sends++
		}
	}
	if sends != 90 {
		t.Errorf("got %d shards gathered after the loss of the carriers, want all 90", sends)
	}
}

// TestEntryWrittenAgain guards against work that is gathered twice because its carrier wrote
// its entry again, after the store was away, with the configuration that it has by then.
func TestEntryWrittenAgain(t *testing.T) {
	m := newShardedModel(t, "vc", "c")
	wantCommands(t, m.Update(2000, arrival(1)), "delegate vb")
	cmds := m.Update(2001, relay.FleetMsg{VMs: []relay.VM{
		{ID: "va", Address: "va:1", DataCentre: "a", ConfigVersion: 9}, {ID: "vb", Address: "vb:1", DataCentre: "b", ConfigVersion: 9}, {ID: "vc", Address: "vc:1", DataCentre: "c"},
	}})
	for _, name := range commandNames(cmds) {
		if strings.HasPrefix(name, "send") || strings.HasPrefix(name, "cancel") || strings.HasPrefix(name, "answer") {
			t.Errorf("got %q, want the delegation to stay open", name)
		}
	}
}

// TestRunsBesideLeavingUpstream guards against a sub-request that may run on more upstreams than
// its route allows, because the carrier is lost and the VM that gathers its shards again has
// learned earlier or later that an upstream is leaving, or has left.
func TestRunsBesideLeavingUpstream(t *testing.T) {
	const maxAttempts = 2
	all := []string{"s1a", "s1b", "s1c"}
	info := func(id string) relay.Upstream {
		dc := map[byte]string{'a': "a", 'b': "b", 'c': "b"}[id[2]]
		return relay.Upstream{ID: id, Service: id[:2], Address: "10.0.0.9:" + fmt.Sprint(id[2]), DataCentre: dc, Slots: 2, Sequence: 1}
	}
	newModel := func(self, dc string) *relay.Model {
		m := newShardedModel(t, self, dc)
		m.Update(1000, productionBudget)
		for _, id := range append([]string{"s2c"}, all...) {
			m.Update(1000, relay.UpstreamMsg{Upstream: info(id)})
		}
		return m
	}
	most := 0
	for _, leaving := range append([]string{"removed s1a", "removed s1c"}, all...) {
		leaving, removed := strings.CutPrefix(leaving, "removed ")
		for _, failing := range append([]string{""}, all...) {
			for _, carrierAt := range []clock.Millis{1500, 2002, 2003, 4000} {
				for _, here := range []clock.Millis{1500, 1999, 2004, 4000} {
					for id := range uint64(12) {
						ran := make(map[string]bool)
						learn := func(m *relay.Model, now, at clock.Millis) {
							u := info(leaving)
							u.Leaving, u.Sequence = true, 2
							switch {
							case at > now:
							case removed:
								m.Update(now, relay.UpstreamRemovedMsg{ID: leaving})
							default:
								m.Update(now, relay.UpstreamMsg{Upstream: u})
							}
						}
						// gather plays attempts that fail, and returns the upstreams that got any.
						gather := func(m *relay.Model, now, at clock.Millis, cmds []relay.Cmd, got map[string]bool) {
							for ; len(cmds) > 0; now++ {
								cmds = slices.Clone(cmds) // valid until the next Update
								learn(m, now, at)
								var next []relay.Cmd
								for _, c := range cmds {
									if s, ok := c.(relay.SendCmd); ok && strings.HasPrefix(s.Upstream, "s1") {
										got[s.Upstream] = true
										next = append(next, m.Update(now, relay.AttemptFailedMsg{Attempt: s.Attempt})...)
									}
								}
								cmds = next
							}
						}
						vc := newModel("vc", "c")
						learn(vc, 1500, here)
						learn(vc, 1999, here)
						var delegate relay.DelegateCmd
						for _, c := range vc.Update(2000, arrival(id+1)) {
							if d, ok := c.(relay.DelegateCmd); ok {
								delegate = d
							}
						}
						carrier := newModel(delegate.To, strings.TrimPrefix(delegate.To, "v"))
						learn(carrier, 1500, carrierAt)
						for n := uint64(100); n < 110 && failing != ""; n++ {
							got := make(map[string]bool)
							msg := arrival(n)
							msg.Delegation = &delegate.Delegation
							cmds := slices.Clone(carrier.Update(1990, msg))
							for _, c := range cmds {
								if s, ok := c.(relay.SendCmd); ok && s.Upstream == failing {
									got[failing] = true
									carrier.Update(1991, relay.AttemptFailedMsg{Attempt: s.Attempt})
								}
							}
							carrier.Update(1992, relay.CallerDisconnectedMsg{ID: n})
							if got[failing] {
								break
							}
						}
						msg := arrival(delegate.Delegation.ID)
						msg.Name, msg.Delegation = delegate.Delegation.Name, &delegate.Delegation
						gather(carrier, 2002, carrierAt, carrier.Update(2001, msg), ran)
						learn(vc, 2004, here)
						gather(vc, 2006, here, vc.Update(2005, relay.PeerDisconnectedMsg{VM: delegate.To}), ran)
						most = max(most, len(ran))
						if len(ran) > maxAttempts {
							t.Errorf("%s leaves (removed %t), known to the carrier at %d and here at %d, %q failed, request %d: got runs on %v, want at most %d",
								leaving, removed, carrierAt, here, failing, id, ran, maxAttempts)
						}
					}
				}
			}
		}
	}
	if most < maxAttempts {
		t.Errorf("got runs on at most %d upstreams, want %d in some case", most, maxAttempts)
	}
}
