package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
)

const (
	cheapMs clock.Millis = 10
	dearMs  clock.Millis = 1000
)

func arrivalAt(id uint64, path string) relay.ArrivalMsg {
	return relay.ArrivalMsg{ID: id, Name: fmt.Sprint(id), Host: "h", Path: path, Method: "GET", RemainingMs: 4000}
}

// teachCosts lets a model see cheap and dear requests, one after the other, and returns the time
// when the last has ended.
func teachCosts(m *relay.Model, now clock.Millis) clock.Millis {
	for id := range uint64(200) {
		path, ms := fmt.Sprintf("/item/%d", id), cheapMs
		if id%4 == 0 {
			path, ms = fmt.Sprintf("/report/%d", id), dearMs
		}
		cmds := slices.Clone(m.Update(now, arrivalAt(10_000+id, path)))
		now += ms
		for _, c := range cmds {
			if s, ok := c.(relay.SendCmd); ok {
				m.Update(now, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
			}
		}
		now++
	}
	return now
}

func defaultPreset() preset.Preset {
	rec := preset.GatewayDefault()
	return rec.CurrentPreset()
}

func sends(cmds []relay.Cmd) (out []relay.SendCmd) {
	for _, c := range cmds {
		if s, ok := c.(relay.SendCmd); ok {
			out = append(out, s)
		}
	}
	return out
}

// TestPlacedByUnfinishedWork guards against a cheap request that is sent behind a dear one
// while another upstream has as many, but cheap, attempts open.
func TestPlacedByUnfinishedWork(t *testing.T) {
	behindDear := func(on bool) int {
		n := 0
		for seed := range uint64(30) {
			m := newSingleServiceModel(t, true, 2, relay.WithSeed(seed), relay.WithPlacingByCost(on))
			now := teachCosts(m, 2000)
			dear := firstSend(t, m.Update(now, arrivalAt(1, "/report/x"))).Upstream
			cheap := firstSend(t, m.Update(now+1, arrivalAt(2, "/item/x"))).Upstream
			if on && dear == cheap {
				t.Fatalf("seed %d: got the second request behind the first, want the idle upstream", seed)
			}
			if firstSend(t, m.Update(now+2, arrivalAt(3, "/item/y"))).Upstream == dear {
				n++
			}
		}
		return n
	}
	if got := behindDear(true); got != 0 {
		t.Errorf("got %d of 30 cheap requests behind a dear one, want 0", got)
	}
	if got := behindDear(false); got == 0 {
		t.Error("got none without placing by cost, so this test shows nothing")
	}
}

// TestDearIsNotOverdue guards against a hedge of a request that is merely dear, and against a
// preset that does not bound what requests are expected to cost.
func TestDearIsNotOverdue(t *testing.T) {
	bounded := defaultPreset()
	bounded.MaxCostFactor = 2
	tests := []struct {
		name   string
		on     bool
		preset *preset.Preset
		want   int
	}{
		{"off", false, nil, 1},
		{"on", true, nil, 0},
		{"on, bounded by the preset", true, &bounded, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newSingleServiceModel(t, true, 2, relay.WithPlacingByCost(tt.on))
			now := teachCosts(m, 2000)
			if tt.preset != nil {
				m.Update(now, relay.PresetMsg{Preset: *tt.preset})
			}
			firstSend(t, m.Update(now, arrivalAt(1, "/report/x")))
			if got := len(sends(tickTo(m, now, now+dearMs-50))); got != tt.want {
				t.Errorf("got %d hedges before a dear request usually ends, want %d", got, tt.want)
			}
		})
	}
}

// TestDearDoesNotStarve guards against a dear request that waits while cheap ones come without
// end, and against cheap ones that wait behind it.
func TestDearDoesNotStarve(t *testing.T) {
	const most = 1200 - dearMs + 50 // it would be late after more
	m := newSingleServiceModel(t, true, 1, relay.WithPlacingByCost(true))
	now := teachCosts(m, 2000)
	end := now + 4000
	start := now
	names := map[uint64]string{}
	due := map[clock.Millis][]uint64{}
	var dearSentAt clock.Millis
	cheapFirst := 0
	handle := func(cmds []relay.Cmd) {
		for _, s := range sends(slices.Clone(cmds)) {
			if names[s.Request] == "dear" {
				if dearSentAt == 0 {
					dearSentAt = now
				}
				continue
			}
			if dearSentAt == 0 {
				cheapFirst++
			}
			due[now+cheapMs] = append(due[now+cheapMs], s.Attempt)
		}
	}
	id := uint64(1)
	add := func(name, path string) {
		id++
		names[id] = name
		handle(m.Update(now, arrivalAt(id, path)))
	}
	for range 6 { // more than the upstream takes
		add("cheap", "/item/x")
	}
	add("dear", "/report/x")
	for ; now < end && dearSentAt == 0; now++ {
		for _, a := range due[now] {
			handle(m.Update(now, relay.ReplyMsg{Attempt: a, Reply: relay.Reply{Status: 200, Receipt: "x"}}))
		}
		if (now-start)%2 == 0 { // more than the upstream bears
			add("cheap", "/item/y")
		}
	}
	if dearSentAt == 0 || dearSentAt-start > most {
		t.Errorf("got the dear request sent after %d ms, want at most %d", dearSentAt-start, most)
	}
	if cheapFirst < 20 {
		t.Errorf("got %d cheap requests before the dear one, want those that came meanwhile", cheapFirst)
	}
}

// TestNotByCost guards against any other decision than without placing by cost while a preset
// bounds the cost of each request by the median of its route.
func TestNotByCost(t *testing.T) {
	plain := defaultPreset()
	plain.MaxCostFactor = 1
	run := func(on bool, seed uint64) (out []string) {
		m := newSingleServiceModel(t, true, 3, relay.WithSeed(seed), relay.WithPlacingByCost(on))
		m.Update(1000, relay.PresetMsg{Preset: plain})
		rng := rand.New(rand.NewPCG(seed, 3))
		due := map[clock.Millis][]uint64{}
		for now := clock.Millis(2000); now < 12_000; now++ {
			var cmds []relay.Cmd
			for _, a := range due[now] {
				cmds = append(cmds, m.Update(now, relay.ReplyMsg{Attempt: a, Reply: relay.Reply{Status: 200, Receipt: "x"}})...)
			}
			if rng.IntN(12) == 0 {
				cmds = append(cmds, m.Update(now, arrivalAt(uint64(now), fmt.Sprintf("/p%d/x", rng.IntN(2))))...)
			}
			cmds = append(cmds, m.Update(now, relay.TickMsg{})...)
			for _, c := range cmds {
				out = append(out, fmt.Sprint(now, c))
				if s, ok := c.(relay.SendCmd); ok {
					ms := cheapMs + clock.Millis(rng.IntN(2))*200
					due[now+ms] = append(due[now+ms], s.Attempt)
				}
			}
		}
		return out
	}
	for seed := range uint64(5) {
		off, on := run(false, seed), run(true, seed)
		if len(off) < 500 || !slices.Equal(off, on) {
			t.Errorf("seed %d: got %d commands, %d without placing by cost, want the same", seed, len(on), len(off))
		}
	}
}

// TestCostStats guards against counts that do not show what estimates are worth.
func TestCostStats(t *testing.T) {
	m := newSingleServiceModel(t, true, 3, relay.WithPlacingByCost(true))
	now := teachCosts(m, 2000)
	first := m.CostStats()
	teachCosts(m, now)
	s := m.CostStats()
	samples, near := uint64(0), uint64(0)
	for i := range s.Samples {
		n := s.Samples[i] - first.Samples[i]
		samples += n
		if i >= 2 && i <= 4 { // from half to 1.5 times the estimate
			near += n
		}
	}
	if first.Unknown == 0 || first.Known+first.Unknown != 200 || s.Choices != 400 || samples != 200 {
		t.Errorf("got %+v, then %+v, want 400 requests of which the first are unknown", first, s)
	}
	if float64(near) < 0.8*float64(samples) {
		t.Errorf("got %d of %d samples near their estimate, want most", near, samples)
	}
	if got := newSingleServiceModel(t, true, 3).CostStats(); got.Unknown != 0 {
		t.Errorf("got %+v without placing by cost, want nothing counted", got)
	}
}

// exchangeOne sends a request that three upstreams could take, and its reply.
func exchangeOne(m *relay.Model, now clock.Millis, msg relay.ArrivalMsg) {
	for _, c := range m.Update(now, msg) {
		if s, ok := c.(relay.SendCmd); ok {
			m.Update(now+cheapMs, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
			return
		}
	}
}

// openSome leaves two attempts open at most of three upstreams.
func openSome(m *relay.Model, now clock.Millis) {
	for id := range uint64(5) {
		m.Update(now, arrivalAt(1+id, "/report/x"))
	}
}

// TestPlacingAllocations guards against estimates and placement that allocate.
func TestPlacingAllocations(t *testing.T) {
	allocs := func(on bool) float64 {
		m := newSingleServiceModel(t, true, 3, relay.WithPlacingByCost(on))
		now := teachCosts(m, 2000)
		openSome(m, now)
		msg := arrivalAt(500, "/item/x")
		return testing.AllocsPerRun(500, func() { exchangeOne(m, now+1, msg) })
	}
	if off, on := allocs(false), allocs(true); on > off {
		t.Errorf("got %.0f allocations for a request, %.0f without placing by cost, want no more", on, off)
	}
}

// BenchmarkPlacing measures a request with one attempt among three upstreams with open work.
func BenchmarkPlacing(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("by_cost=", on), func(b *testing.B) {
			m := relay.New(relay.WithSelf("vm", "a"), relay.WithVMs(1), relay.WithPlacingByCost(on))
			setUpSingleService(m, true, 3)
			now := teachCosts(m, 2000)
			openSome(m, now)
			msg := arrivalAt(500, "/item/x")
			b.ReportAllocs()
			for b.Loop() {
				exchangeOne(m, now+1, msg)
			}
		})
	}
}

// TestDelegatedCost guards against carriers that learn nothing from the requests that other VMs
// delegate, whose paths they do not see.
func TestDelegatedCost(t *testing.T) {
	keys := func(on bool, path string) cost.Keys {
		m := newShardedModel(t, "vc", "c", relay.WithPlacingByCost(on))
		msg := arrivalAt(1, path)
		msg.RemainingMs = 400
		for _, c := range m.Update(2000, msg) {
			if d, ok := c.(relay.DelegateCmd); ok {
				return d.Delegation.CostKeys
			}
		}
		t.Fatal("got no delegation")
		return cost.Keys{}
	}
	if got := keys(false, "/report/x"); got != (cost.Keys{}) {
		t.Errorf("got %v without placing by cost, want no keys", got)
	}
	dear, cheap := keys(true, "/report/x"), keys(true, "/item/x")
	if dear == cheap || dear == (cost.Keys{}) {
		t.Errorf("got %v and %v, want different keys", dear, cheap)
	}
	m := newShardedModel(t, "va", "a", relay.WithPlacingByCost(true))
	now := clock.Millis(2000)
	for id := range uint64(60) {
		d := delegated(7, "s1")
		d.ID, d.Delegation.RemainingMs, d.Delegation.TargetInMs = 100+id, 4000, 2000
		d.Delegation.CostKeys = cheap
		ms := cheapMs
		if id%3 == 0 {
			d.Delegation.CostKeys, ms = dear, 300
		}
		sent := sends(slices.Clone(m.Update(now, d)))
		now += ms
		for _, s := range sent {
			m.Update(now, relay.ReplyMsg{Attempt: s.Attempt, Reply: relay.Reply{Status: 200, Receipt: "x"}})
		}
		now++
	}
	if s := m.CostStats(); s.Known < 30 {
		t.Errorf("got %+v, want estimates of most of 60 delegated requests", s)
	}
}
