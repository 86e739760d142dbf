package experiment_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/upstream"
)

// TestLeavingAgainstFalseLoad guards against a load endpoint that does not report
// leaving, immediately or after a while, and thereby returns work to an upstream
// that refuses it; and against a restarted upstream that receives no work.
func TestLeavingAgainstFalseLoad(t *testing.T) {
	t.Parallel()
	const id = "search/g03/1"
	for name, tc := range map[string]struct {
		hidesLeaving func(sinceMs clock.Millis) bool // whether the endpoint does not report leaving
		restarted    bool                            // the upstream is down before it accepts work again
		want         bool                            // whether the upstream receives work again
	}{
		"endpoint never reports leaving":   {hidesLeaving: func(clock.Millis) bool { return true }},
		"endpoint stops reporting leaving": {hidesLeaving: func(ms clock.Millis) bool { return ms > 5*clock.Second }},
		"upstream restarts":                {hidesLeaving: func(clock.Millis) bool { return false }, restarted: true, want: true},
	} {
		cfg := experiment.DefaultTier(1)
		var tier *experiment.Tier
		var start clock.Millis
		cfg.Hooks.MapLoad = func(_ upstream.ID, load upstream.Load) upstream.Load {
			load.Leaving = load.Leaving && !tc.hidesLeaving(tier.Loop.Now()-start)
			return load
		}
		tier = experiment.NewTier(cfg)
		up, received := tier.Upstreams[id], 0
		up.OnReceive = func(attempt.Request) { received++ }
		start = tier.Loop.Now()
		experiment.NewTierLoad(tier, 1).Send(rank.Ordinary, 100, start+40*clock.Second)
		tier.Loop.RunUntil(start + clock.Second)
		up.Leaving = true
		tier.Loop.RunUntil(start + 4*clock.Second)
		received = 0
		tier.Loop.RunUntil(start + 24*clock.Second)
		if got := received; got != 0 {
			t.Errorf("%s: got %d requests from 3 s to 23 s after it began to leave, want 0", name, got)
		}
		up.Dead = tc.restarted
		tier.Loop.RunUntil(start + 29*clock.Second)
		up.Dead, up.Leaving = false, false
		received = 0
		tier.Loop.RunUntil(start + 39*clock.Second)
		if got := received > 0; got != tc.want {
			t.Errorf("%s: got work again = %v, want %v", name, got, tc.want)
		}
	}
}
