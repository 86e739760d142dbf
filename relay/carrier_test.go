package relay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

// carried returns a model of one of three VMs, whose route has two shards with
// an upstream in data centre a and one in b each.
func carried(t *testing.T, self, dc string) *relay.Model {
	t.Helper()
	m := relay.New(relay.WithSelf(self, dc))
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 7, Routes: []route.Route{{
		Name: "q", Host: "h", Prefix: "/", Gather: []string{"s1", "s2"}, Idempotent: true,
		TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2, Top: 5, MinShare: 0.5,
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

func arrive(id uint64) relay.ArriveMsg { return arriveWithin(id, 400) }

func arriveWithin(id uint64, left clock.Millis) relay.ArriveMsg {
	return relay.ArriveMsg{ID: id, Name: fmt.Sprint("r", id), Host: "h", Path: "/x", LeftMs: left}
}

// kinds lists commands by type, events left out.
func kinds(cmds []relay.Cmd) []string {
	var out []string
	for _, c := range cmds {
		switch c := c.(type) {
		case relay.HandCmd:
			out = append(out, "hand "+c.To)
		case relay.SendCmd:
			out = append(out, "send "+c.Upstream)
		case relay.AnswerCmd:
			out = append(out, "answer "+c.Answer.Outcome.String())
		case relay.WithdrawCmd:
			out = append(out, "withdraw "+c.To)
		case relay.TakenCmd:
			out = append(out, "taken")
		case relay.CancelCmd:
			out = append(out, "cancel")
		}
	}
	return out
}

func wantKinds(t *testing.T, cmds []relay.Cmd, want ...string) {
	t.Helper()
	if got := kinds(cmds); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestCarrierChoice guards against sub-requests that cross data centres one by
// one: a VM without upstreams near it hands over in turns, others stay near.
func TestCarrierChoice(t *testing.T) {
	wantKinds(t, carried(t, "va", "a").Update(2000, arrive(1)), "send s1a", "send s2a")
	m := carried(t, "vc", "c")
	first := kinds(m.Update(2000, arrive(1)))
	second := kinds(m.Update(2000, arrive(2)))
	if got, want := fmt.Sprint(first, second), "[hand va] [hand vb]"; got != want && got != "[hand vb] [hand va]" {
		t.Errorf("got %s, want %s or the other way round", got, want)
	}
}

// TestCarrierLost guards against a request that dies with its carrier, and
// against parts that are repeated without counting as repeats.
func TestCarrierLost(t *testing.T) {
	tests := []struct {
		name string
		fail func(m *relay.Model, c string, group uint64) []relay.Cmd
		want []string
	}{
		{"connection breaks", func(m *relay.Model, c string, group uint64) []relay.Cmd {
			return m.Update(2003, relay.PeerDownMsg{VM: c})
		}, []string{"send", "send"}},
		{"never left", func(m *relay.Model, c string, group uint64) []relay.Cmd {
			return m.Update(2003, relay.UnhandedMsg{To: c, ID: group})
		}, []string{"send", "send"}},
		{"not confirmed in time", func(m *relay.Model, c string, group uint64) []relay.Cmd {
			return m.Update(2020, relay.TickMsg{})
		}, []string{"withdraw " + "x", "send", "send"}},
		{"has an older configuration", func(m *relay.Model, c string, group uint64) []relay.Cmd {
			return m.Update(2003, relay.HandBackMsg{From: c, HandBack: relay.HandBack{ID: group, Answer: relay.Answer{Outcome: relay.NotReady}}})
		}, []string{"send", "send"}},
		{"silent after the answer was due", func(m *relay.Model, c string, group uint64) []relay.Cmd {
			m.Update(2002, relay.TakenMsg{From: c, ID: group})
			return m.Update(2100, relay.TickMsg{})
		}, []string{"withdraw " + "x", "send", "send"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := relayWithBudget(t)
			hand := m.Update(2000, arrive(1))
			cmd := hand[len(hand)-1].(relay.HandCmd)
			got := tt.fail(m, cmd.To, cmd.HandOver.ID)
			if len(kinds(got)) != len(tt.want) {
				t.Fatalf("got %v, want %v", kinds(got), tt.want)
			}
			for i, k := range kinds(got) {
				if k[:4] != tt.want[i][:4] {
					t.Errorf("got %v, want %v", kinds(got), tt.want)
				}
			}
		})
	}
}

func relayWithBudget(t *testing.T) *relay.Model {
	m := carried(t, "vc", "c")
	m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second})
	return m
}

// TestCarrierConfirms guards against a carrier that works under an older
// configuration than the VM that asked, or while it stops.
func TestCarrierConfirms(t *testing.T) {
	handOver := func(version uint64) relay.ArriveMsg {
		return relay.ArriveMsg{ID: 9, Host: "h", Path: "/x", Handed: &relay.HandOver{
			Version: version, Services: []string{"s1", "s2"}, LeftMs: 390, AnswerInMs: 38,
		}}
	}
	wantKinds(t, carried(t, "va", "a").Update(2000, handOver(7)), "taken", "send s1a", "send s2a")
	wantKinds(t, carried(t, "va", "a").Update(2000, handOver(8)), "answer not_ready")
	m := carried(t, "va", "a")
	m.Update(2000, relay.StopMsg{Due: 7000})
	wantKinds(t, m.Update(2000, handOver(7)), "answer not_ready")
}

// TestCallerGoneAtCarrier guards against work that goes on at a carrier for a
// caller that has left.
func TestCallerGoneAtCarrier(t *testing.T) {
	m := carried(t, "vc", "c")
	m.Update(2000, arrive(1))
	if got := kinds(m.Update(2005, relay.GoneMsg{ID: 1})); len(got) != 1 || got[0][:8] != "withdraw" {
		t.Errorf("got %v, want one withdraw", got)
	}
}

// TestCarrierParts guards against an answer that claims parts which a carrier
// did not get, or that comes without parts which it reported in time.
func TestCarrierParts(t *testing.T) {
	record := func(c byte) []byte { return []byte(fmt.Sprintf("%016d", c)) }
	start := func() (*relay.Model, relay.HandCmd) {
		m := carried(t, "vc", "c")
		cmds := m.Update(2000, arrive(1))
		return m, cmds[len(cmds)-1].(relay.HandCmd)
	}
	back := func(h relay.HandCmd, more bool, receipts ...string) relay.HandBackMsg {
		return relay.HandBackMsg{From: h.To, HandBack: relay.HandBack{ID: h.HandOver.ID, More: more, Answer: relay.Answer{
			Outcome: relay.Gathered, Receipts: receipts, Body: record(byte(len(receipts))),
		}}}
	}
	last := func(cmds []relay.Cmd) relay.Answer {
		for _, c := range cmds {
			if a, ok := c.(relay.AnswerCmd); ok {
				return a.Answer
			}
		}
		return relay.Answer{Outcome: relay.NoRoute}
	}
	t.Run("all parts", func(t *testing.T) {
		m, h := start()
		if got := last(m.Update(2010, back(h, false, "x", "y"))); got.Outcome != relay.Gathered || got.Missing != 0 || len(got.Receipts) != 2 {
			t.Errorf("got %+v, want both parts", got)
		}
	})
	t.Run("final with a part missing", func(t *testing.T) {
		m, h := start()
		if got := last(m.Update(2010, back(h, false, "x"))); got.Outcome != relay.Gathered || got.Missing != 1 || len(got.Receipts) != 1 {
			t.Errorf("got %+v, want one part and one missing", got)
		}
	})
	t.Run("report at the target", func(t *testing.T) {
		m, h := start()
		if got := kinds(m.Update(2038, back(h, true, "x"))); len(got) != 0 {
			t.Errorf("before the target: got %v, want no answer yet", got)
		}
		if got := last(m.Update(2041, relay.TickMsg{})); got.Outcome != relay.Gathered || got.Missing != 1 {
			t.Errorf("at the target: got %+v, want one part and one missing", got)
		}
	})
	t.Run("report, then all", func(t *testing.T) {
		m, h := start()
		m.Update(2038, back(h, true, "x"))
		if got := last(m.Update(2039, back(h, false, "x", "y"))); got.Missing != 0 || len(got.Receipts) != 2 {
			t.Errorf("got %+v, want both parts once", got)
		}
	})
}
