package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/route"
)

func evacuate(m *relay.Model, now clock.Millis, dataCentre string, active bool) []relay.Cmd {
	return slices.Clone(m.Update(now, relay.EvacuationMsg{DataCentre: dataCentre, Active: active}))
}

// newPlainModel returns a model with a service of one upstream with one slot in each of the
// data centres, the first of which is the VM's own.
func newPlainModel(dataCentres ...string) *relay.Model {
	m := relay.New(relay.WithSelf("vm", dataCentres[0]), relay.WithVMs(1), relay.WithBudget(productionBudget))
	m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 1, Routes: []route.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "s", Idempotent: true, TimeoutMs: 400, TargetMs: 50, MaxAttempts: 2,
	}}})})
	for _, dc := range dataCentres {
		m.Update(1000, relay.UpstreamMsg{Upstream: plainUpstream(dc, 1)})
	}
	return m
}

func plainUpstream(dataCentre string, incarnation uint64) relay.Upstream {
	return relay.Upstream{ID: "s" + dataCentre, Service: "s", Address: dataCentre, DataCentre: dataCentre, Slots: 1, Incarnation: incarnation, Sequence: 1}
}

// TestEvacuation guards against new work for an upstream of an evacuated data centre on
// any path, and against requests that fail because of the evacuation.
func TestEvacuation(t *testing.T) {
	tests := []struct {
		name string
		run  func() []relay.Cmd
		want []string
	}{
		{"first attempt", func() []relay.Cmd {
			m := newPlainModel("a", "b")
			evacuate(m, 1500, "a", true)
			return m.Update(2000, arrival(1))
		}, []string{"send sb"}},
		{"known before the upstreams", func() []relay.Cmd {
			m := relay.New(relay.WithSelf("va", "a"))
			evacuate(m, 900, "a", true)
			m.Update(1000, relay.TableMsg{Table: route.NewTable(route.Config{Version: 1, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Service: "s", TimeoutMs: 400, TargetMs: 50}}})})
			m.Update(1000, relay.UpstreamMsg{Upstream: plainUpstream("a", 1)})
			m.Update(1000, relay.UpstreamMsg{Upstream: plainUpstream("b", 1)})
			return m.Update(2000, arrival(1))
		}, []string{"send sb"}},
		{"upstream restarts meanwhile", func() []relay.Cmd {
			m := newPlainModel("a", "b")
			evacuate(m, 1500, "a", true)
			m.Update(1600, relay.UpstreamMsg{Upstream: plainUpstream("a", 2)})
			return m.Update(2000, arrival(1))
		}, []string{"send sb"}},
		{"taken back", func() []relay.Cmd {
			m := newPlainModel("a", "b")
			evacuate(m, 1500, "a", true)
			evacuate(m, 1600, "a", false)
			return m.Update(2000, arrival(1))
		}, []string{"send sa"}},
		{"retry", func() []relay.Cmd {
			m := newPlainModel("b", "a")
			a := firstSend(t, m.Update(2000, arrival(1)))
			evacuate(m, 2005, "a", true)
			return m.Update(2010, relay.AttemptFailedMsg{Attempt: a.Attempt})
		}, []string{"answer failed"}},
		{"retry that has somewhere to go", func() []relay.Cmd {
			m := newPlainModel("a", "b", "c")
			a := firstSend(t, m.Update(2000, arrival(1)))
			evacuate(m, 2005, "b", true)
			return m.Update(2010, relay.AttemptFailedMsg{Attempt: a.Attempt})
		}, []string{"send sc"}},
		{"hedge", func() []relay.Cmd {
			m := newPlainModel("b", "a")
			m.Update(2000, arrival(1))
			evacuate(m, 2005, "a", true)
			return tickTo(m, 2005, 2300)
		}, nil},
		{"open attempt", func() []relay.Cmd {
			m := newPlainModel("a", "b")
			a := firstSend(t, m.Update(2000, arrival(1)))
			evacuate(m, 2005, "a", true)
			return m.Update(2010, relay.ReplyMsg{Attempt: a.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
		}, []string{"answer relayed"}},
		{"carrier in the data centre", func() []relay.Cmd {
			m := newShardedModel(t, "va", "a")
			evacuate(m, 1500, "a", true)
			return m.Update(2000, arrival(1))
		}, []string{"delegate vb"}},
		{"VM elsewhere", func() []relay.Cmd {
			m := newShardedModel(t, "vc", "c")
			evacuate(m, 1500, "b", true)
			return append(slices.Clone(m.Update(2000, arrival(1))), m.Update(2001, arrival(2))...)
		}, []string{"delegate va", "delegate va"}},
		{"work from a VM that does not know yet", func() []relay.Cmd {
			m := newShardedModel(t, "va", "a")
			evacuate(m, 1500, "a", true)
			return m.Update(2000, delegated(7, "s1", "s2"))
		}, []string{"taken", "send s1b", "send s2b"}},
		{"reclaimed from a lost carrier", func() []relay.Cmd {
			m := newShardedModel(t, "vc", "c")
			m.Update(1500, productionBudget)
			evacuate(m, 1500, "a", true)
			m.Update(2000, arrival(1))
			evacuate(m, 2001, "a", false)
			evacuate(m, 2001, "b", true)
			return m.Update(2003, relay.PeerDisconnectedMsg{VM: "vb"})
		}, []string{"send s1a", "send s2a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { wantCommands(t, tt.run(), tt.want...) })
	}
}

// TestEvacuationMovesQueuedWork guards against requests that wait for a place at an upstream
// that will never have one for them again.
func TestEvacuationMovesQueuedWork(t *testing.T) {
	m := newPlainModel("a")
	var open []uint64
	sent := 0
	for id := range uint64(3) {
		for _, c := range m.Update(2000, arrival(id+1)) {
			if s, ok := c.(relay.SendCmd); ok {
				sent++
				open = append(open, s.Attempt)
			}
		}
	}
	if sent != 2 {
		t.Fatalf("got %d attempts, want 2 and a queued request", sent)
	}
	wantCommands(t, evacuate(m, 2001, "b", true))
	m.Update(2001, relay.UpstreamMsg{Upstream: plainUpstream("b", 1)})
	wantCommands(t, evacuate(m, 2002, "b", false), "send sb")
	wantCommands(t, m.Update(2003, arrival(4)), "send sb")
	m.Update(2003, arrival(5))
	wantCommands(t, evacuate(m, 2004, "b", true))
	got := commandNames(append(evacuate(m, 2005, "a", true), tickTo(m, 2005, 2006)...))
	if want := "[answer refused]"; fmt.Sprint(got) != want {
		t.Errorf("queued request: got %v, want %s", got, want)
	}
	wantCommands(t, m.Update(2010, relay.ReplyMsg{Attempt: open[0], Reply: relay.Reply{Status: 200, Receipt: "x"}}), "answer relayed")
}

// TestEvacuatedEverywhere guards against a request that waits although no upstream may
// take it, and against a refusal that names no time.
func TestEvacuatedEverywhere(t *testing.T) {
	for name, m := range map[string]*relay.Model{"plain": newPlainModel("a", "b"), "gathered": newShardedModel(t, "va", "a")} {
		evacuate(m, 1500, "a", true)
		evacuate(m, 1500, "b", true)
		cmds := m.Update(2000, arrival(1))
		a, ok := cmds[len(cmds)-1].(relay.AnswerCmd)
		if !ok || a.Answer.Outcome != relay.Refused || a.Answer.Reason != "evacuated" || a.Answer.RetryAfterMs <= 0 {
			t.Errorf("%s: got %+v, want refused as evacuated with a time", name, cmds[len(cmds)-1])
		}
	}
}

// TestEvacuationConnections guards against connections that are opened to an evacuated data
// centre, and against first requests that wait for one when it is taken back.
func TestEvacuationConnections(t *testing.T) {
	connections := func(cmds []relay.Cmd) string {
		var out []string
		for _, c := range cmds {
			if c, ok := c.(relay.ConnectUpstreamCmd); ok {
				out = append(out, c.Upstream)
			}
		}
		return strings.Join(out, " ")
	}
	m := newShardedModel(t, "va", "a")
	if got := connections(evacuate(m, 1500, "a", true)); got != "" {
		t.Errorf("evacuated: got connections to %q, want none", got)
	}
	m.Update(1600, relay.FleetMsg{VMs: []relay.VM{{ID: "va", Address: "va:1", DataCentre: "a"}}})
	if got := connections(m.Update(1700, relay.UpstreamMsg{Upstream: relay.Upstream{ID: "s1a", Service: "s1", Address: "new", DataCentre: "a", Incarnation: 2}})); got != "" {
		t.Errorf("upstream restarted: got connections to %q, want none", got)
	}
	if got, want := connections(evacuate(m, 1800, "a", false)), "s1b s1a s2a s2b"; got != want {
		t.Errorf("taken back: got connections to %q, want %q", got, want)
	}
}

// TestEvacuationNames guards against names without number, and against events that repeat.
func TestEvacuationNames(t *testing.T) {
	m := newPlainModel("a")
	for i := range 1000 {
		evacuate(m, 2000, fmt.Sprint("unknown", i), true)
	}
	if got := len(m.Evacuated()); got > 256 {
		t.Errorf("got %d evacuated data centres, want at most 256", got)
	}
	wantCommands(t, m.Update(2001, arrival(1)), "send sa")
	if got := m.Update(2002, relay.EvacuationMsg{DataCentre: "unknown0", Active: true}); len(got) != 0 {
		t.Errorf("repeated: got %v, want nothing", got)
	}
}
