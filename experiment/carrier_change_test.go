package experiment_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/rank"
)

// TestCarrierChange guards against more connections than the limit of an upstream,
// and against queries that fail, while the carriers change under load.
func TestCarrierChange(t *testing.T) {
	const step = 8 * clock.Second
	tests := []struct {
		name      string
		loadRatio float64 // load of each rank as a fraction of capacity
		run       func(*experiment.Tier, func(clock.Millis))
	}{
		{"planned stop and join", 0.2, func(tier *experiment.Tier, wait func(clock.Millis)) {
			for _, id := range []string{"vm-2", "vm-5"} {
				tier.Stop(id, func(clock.Millis) {})
				wait(step)
				tier.Replace(id)
				wait(step)
			}
		}},
		{"killed VM replaced after 1 s", 0.2, func(tier *experiment.Tier, wait func(clock.Millis)) {
			tier.Kill("vm-3")
			wait(clock.Second)
			tier.Replace("vm-3")
			wait(step)
		}},
		{"killed VM replaced after 16 s", 0.2, func(tier *experiment.Tier, wait func(clock.Millis)) {
			tier.Kill("vm-4")
			wait(2 * step)
			tier.Replace("vm-4")
			wait(step)
		}},
		// While both carriers of an upstream change, its group has 20 of 36 connections,
		// so the total load of the three ranks must be below 55%.
		{"one VM stopped and one killed together", 0.15, func(tier *experiment.Tier, wait func(clock.Millis)) {
			tier.Stop("vm-1", func(clock.Millis) {})
			tier.Kill("vm-7")
			wait(2 * step)
			tier.Replace("vm-1")
			tier.Replace("vm-7")
			wait(step)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cfg := experiment.DefaultTier(1)
			tier := experiment.NewTier(cfg)
			load := experiment.NewTierLoad(tier, 1)
			begin := tier.Loop.Now()
			end := begin + 40*clock.Second
			for _, r := range rank.All() {
				load.Send(r, tt.loadRatio*tier.Capacity(), end)
			}
			peak := tier.TrackPeakConnections(end)
			wait := func(d clock.Millis) { tier.Loop.RunUntil(tier.Loop.Now() + d) }
			wait(2 * clock.Second)
			tt.run(tier, wait)
			tier.Loop.RunUntil(end + clock.Minute)
			if peak.OpenConns > cfg.Connections {
				t.Errorf("got %d connections to %s after %d ms, want at most %d", peak.OpenConns, peak.Upstream, peak.At, cfg.Connections)
			}
			for _, r := range rank.All() {
				got := load.Result(r)
				if got.Failed+got.Partial+got.Refused > 0 || got.Complete == 0 {
					t.Errorf("%s: got %d sent, %d complete, %d failed, %d partial, %d refused, want only complete answers",
						r, got.Sent, got.Complete, got.Failed, got.Partial, got.Refused)
				}
				// Callers of a killed VM get no answer from it; all others must get one.
				if got.Open > 0 && tt.name == "planned stop and join" {
					t.Errorf("%s: got %d queries without an answer, want 0", r, got.Open)
				}
				t.Logf("%s: %d sent, %d complete, %d open, p99 %.0f ms", r, got.Sent, got.Complete, got.Open, got.P99())
			}
		})
	}
}
