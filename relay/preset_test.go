package relay_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
)

// TestPreset guards against decisions that ignore the active preset.
func TestPreset(t *testing.T) {
	with := func(change func(p *preset.Preset)) *relay.Model {
		rec := preset.GatewayDefault()
		p := rec.CurrentPreset()
		change(&p)
		m := newShardedModel(t, "va", "a")
		m.Update(1000, relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10_000})
		m.Update(1000, relay.PresetMsg{Preset: p})
		return m
	}
	t.Run("hedges", func(t *testing.T) {
		for _, tt := range []struct {
			percent float64
			want    int
		}{{20, 2}, {0, 0}} {
			m := with(func(p *preset.Preset) { p.Urgent.HedgeBudgetPercent = tt.percent })
			m.Update(2000, arrival(1))
			got := 0
			for now := startMs; now < 2039; now++ {
				got += len(commandNames(m.Update(now, relay.TickMsg{})))
			}
			if got != tt.want {
				t.Errorf("budget %v%%: got %d hedges, want %d", tt.percent, got, tt.want)
			}
		}
	})
	t.Run("deadline", func(t *testing.T) {
		m := with(func(p *preset.Preset) { p.Urgent.DeadlineMs = 100 })
		m.Update(2000, arrival(1))
		if got := commandNames(m.Update(2100, relay.TickMsg{})); len(got) == 0 || got[len(got)-1] != "answer timed_out" {
			t.Errorf("got %v, want the request timed out", got)
		}
	})
	t.Run("queue", func(t *testing.T) {
		m := with(func(p *preset.Preset) { p.Urgent.QueueRequests = 2 })
		m.Update(2000, arrival(1))
		m.Update(2000, arrival(2))
		wantCommands(t, m.Update(2000, arrival(3)), "answer refused")
	})
	t.Run("minimum share", func(t *testing.T) {
		m := with(func(p *preset.Preset) { p.Urgent.MinCoveragePercent = 100 })
		cmds := append([]relay.Cmd(nil), m.Update(2000, arrival(1))...)
		m.Update(2010, relay.ReplyMsg{Attempt: cmds[0].(relay.SendCmd).Attempt, Reply: relay.Reply{Status: 200, Receipt: "1"}})
		for _, k := range commandNames(m.Update(2045, relay.TickMsg{})) {
			if k == "answer gathered" {
				t.Error("got an answer with half of the shards, want all shards or no answer")
			}
		}
	})
}

// startMs is the time at which these tests send their first request.
const startMs clock.Millis = 2000
