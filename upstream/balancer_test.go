package upstream_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

const (
	replica1 = upstream.ID("s/g/1")
	replica2 = upstream.ID("s/g/2")
)

func newBalancer() *upstream.Balancer {
	return upstream.New(upstream.WithSeed(1), upstream.WithUpstreams([]upstream.Upstream{
		{ID: replica1, Service: "s", Group: "g"}, {ID: replica2, Service: "s", Group: "g"},
		{ID: "s/h/1", Service: "s", Group: "h"},
	}))
}

func observe(b *upstream.Balancer, now clock.Millis, id upstream.ID, r attempt.Reply) {
	b.RecordSent(now, id)
	b.RecordReply(now, id, r)
}

func ok(ms clock.Millis, held ...uint64) attempt.Reply {
	return attempt.Reply{Status: attempt.OK, ServiceMs: ms, HeldVersions: held}
}

// pickPercent returns the percentage of 1000 picks that return id.
func pickPercent(b *upstream.Balancer, now clock.Millis, id upstream.ID) int {
	n := 0
	for range 1000 {
		if got, _ := b.Pick(now, "s", "g", nil); got == id {
			n++
		}
	}
	return n / 10
}

// TestPick guards against attempts on upstreams that are leaving, dead, shedding or slow,
// and against a full share of attempts right after an upstream becomes available.
func TestPick(t *testing.T) {
	// timeouts returns a function that ends attempts at replica1 without a reply, after both
	// replicas have usually taken 100 ms.
	timeouts := func(serviceMs clock.Millis) func(b *upstream.Balancer) {
		return func(b *upstream.Balancer) {
			for range 50 {
				observe(b, 0, replica1, ok(100))
				observe(b, 0, replica2, ok(100))
			}
			for range 10 {
				observe(b, 50, replica1, attempt.Reply{Status: attempt.TimedOut, ServiceMs: serviceMs})
			}
		}
	}
	tests := []struct {
		name     string
		prepare  func(b *upstream.Balancer)
		now      clock.Millis
		min, max int // percentage of picks that return replica1
	}{
		{"healthy", func(*upstream.Balancer) {}, 100, 40, 60},
		{"callers that allow too little time", timeouts(20), 100, 40, 60},
		{"no reply within the usual time", timeouts(400), 100, 0, 0},
		{"leaving", func(b *upstream.Balancer) { b.MarkLeaving(0, replica1) }, clock.Hour, 0, 0},
		{"leaving by reply", func(b *upstream.Balancer) { observe(b, 0, replica1, attempt.Reply{Status: attempt.OK, Leaving: true}) }, clock.Hour, 0, 0},
		{"leaving, then reply to an earlier attempt", func(b *upstream.Balancer) {
			b.RecordSent(0, replica1)
			b.MarkLeaving(20, replica1)
			b.RecordReply(25, replica1, ok(25))
		}, clock.Hour, 0, 0},
		{"leaving, then reply to a later attempt", func(b *upstream.Balancer) {
			b.MarkLeaving(20, replica1)
			observe(b, 50, replica1, ok(25))
		}, clock.Hour, 40, 100},
		{"available again", func(b *upstream.Balancer) {
			b.MarkLeaving(0, replica1)
			b.MarkAvailable(1000, replica1)
		}, 1000, 2, 15},
		{"available again, after the ramp", func(b *upstream.Balancer) {
			b.MarkLeaving(0, replica1)
			b.MarkAvailable(1000, replica1)
		}, 7000, 40, 60},
		{"refused", func(b *upstream.Balancer) { observe(b, 0, replica1, attempt.Reply{Status: attempt.ConnRefused}) }, 200, 0, 0},
		{"one failure", func(b *upstream.Balancer) { observe(b, 0, replica1, attempt.Reply{Status: attempt.Failed}) }, 200, 40, 60},
		{"trial due", func(b *upstream.Balancer) { observe(b, 0, replica1, attempt.Reply{Status: attempt.ConnRefused}) }, 300, 100, 100},
		{"trial in flight", func(b *upstream.Balancer) {
			observe(b, 0, replica1, attempt.Reply{Status: attempt.ConnRefused})
			b.RecordSent(300, replica1)
		}, 300, 0, 0},
		{"shedding", func(b *upstream.Balancer) { observe(b, 0, replica1, attempt.Reply{Status: attempt.Shed}) }, 20, 0, 0},
		{"slow", func(b *upstream.Balancer) {
			observe(b, 0, replica1, ok(80))
			observe(b, 0, replica2, ok(8))
		}, 10, 0, 0},
		{"slow a minute ago", func(b *upstream.Balancer) {
			observe(b, 0, replica1, ok(80))
			observe(b, 0, replica2, ok(8))
			for range 2 {
				b.RecordSent(0, replica2)
			}
		}, clock.Minute, 100, 100},
		{"abandoned while slow", func(b *upstream.Balancer) {
			observe(b, 0, replica1, ok(8))
			observe(b, 0, replica2, ok(8))
			b.RecordSent(0, replica1)
			b.RecordAbandoned(30, replica1, 30)
		}, 30, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer()
			tt.prepare(b)
			if got := pickPercent(b, tt.now, replica1); got < tt.min || got > tt.max {
				t.Errorf("%d%% of picks returned replica 1, want %d to %d", got, tt.min, tt.max)
			}
		})
	}
}

// TestPickLastResort guards against a pick that fails although a dead replica could be tried,
// and against attempts on a leaving replica.
func TestPickLastResort(t *testing.T) {
	b := newBalancer()
	b.MarkLeaving(0, replica2)
	observe(b, 0, replica1, attempt.Reply{Status: attempt.ConnRefused})
	if got, found := b.Pick(1, "s", "g", nil); !found || got != replica1 {
		t.Errorf("Pick = %q, %v, want the dead replica", got, found)
	}
	if got, found := b.PickHedge(1, "s", "g", 0, nil); found {
		t.Errorf("PickHedge = %q, want none", got)
	}
	if got, found := b.Pick(1, "s", "g", []upstream.ID{replica1}); found {
		t.Errorf("Pick with the dead one excluded = %q, want none", got)
	}
	if got := len(b.Avoided(1)); got != 2 {
		t.Errorf("%d upstreams avoided, want 2", got)
	}
}

// TestPickForVersion guards against many requests to a replica known to lack the version, and
// against a replica that gets none, so that its loading of the version is never noticed.
func TestPickForVersion(t *testing.T) {
	b := newBalancer()
	observe(b, 0, replica1, ok(8, 1))
	observe(b, 0, replica2, ok(8, 1, 2))
	lacking := 0
	for range 320 {
		if got, _ := b.PickForVersion(clock.Hour, "s", "g", 2, nil); got == replica1 {
			lacking++
			observe(b, clock.Hour, replica1, attempt.Reply{Status: attempt.VersionGone, HeldVersions: []uint64{1}})
		}
	}
	if lacking < 1 || lacking > 10 {
		t.Errorf("%d of 320 requests to the replica without the version, want 1 to 10", lacking)
	}
}

// TestHedgeDelay guards against a hedge of a slow replica that is delayed by that replica's own p95.
func TestHedgeDelay(t *testing.T) {
	b := newBalancer()
	for i := range clock.Millis(200) {
		observe(b, i, replica1, ok(80))
		observe(b, i, replica2, ok(8))
	}
	if got := b.HedgeDelay(200, replica1); got < 8 || got > 10 {
		t.Errorf("HedgeDelay = %d, want about 8", got)
	}
}

// TestCommonVersion guards against a version that no usable upstream of some group holds.
func TestCommonVersion(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(b *upstream.Balancer)
		want    uint64
		ok      bool
	}{
		{"no versions known", func(*upstream.Balancer) {}, 0, false},
		{"groups without known versions are ignored", func(b *upstream.Balancer) { observe(b, 0, replica1, ok(8, 1, 2)) }, 2, true},
		{"newest common", func(b *upstream.Balancer) {
			observe(b, 0, replica1, ok(8, 1, 2))
			observe(b, 0, replica2, ok(8, 1, 2, 3))
			observe(b, 0, "s/h/1", ok(8, 1, 2))
		}, 2, true},
		{"no common version", func(b *upstream.Balancer) {
			observe(b, 0, replica1, ok(8, 2))
			observe(b, 0, "s/h/1", ok(8, 1))
		}, 0, false},
		{"newer version only at a dead upstream", func(b *upstream.Balancer) {
			observe(b, 0, replica1, ok(8, 1))
			observe(b, 0, replica2, ok(8, 2))
			observe(b, 0, "s/h/1", ok(8, 1, 2))
			observe(b, 0, replica2, attempt.Reply{Status: attempt.ConnRefused})
		}, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBalancer()
			tt.prepare(b)
			if got, found := b.CommonVersion("s"); got != tt.want || found != tt.ok {
				t.Errorf("CommonVersion = %d, %v, want %d, %v", got, found, tt.want, tt.ok)
			}
		})
	}
}

// TestBestVersionSettles guards against a service that stays on the old snapshot
// because one upstream never loads the new version.
func TestBestVersionSettles(t *testing.T) {
	b := newBalancer()
	for _, id := range []upstream.ID{replica2, "s/h/1"} {
		observe(b, 0, id, ok(5, 1, 2))
	}
	observe(b, 0, replica1, ok(5, 1))
	for _, tc := range []struct {
		now  clock.Millis
		want uint64
	}{{1 * clock.Second, 1}, {29 * clock.Second, 1}, {31 * clock.Second, 2}} {
		if got, _, _ := b.BestVersion(tc.now, "s"); got != tc.want {
			t.Errorf("BestVersion after %d ms = %d, want %d", tc.now, got, tc.want)
		}
	}
	observe(b, 40*clock.Second, replica2, ok(5, 1))
	if got, _, _ := b.BestVersion(80*clock.Second, "s"); got != 1 {
		t.Errorf("BestVersion after a group lost version 2 = %d, want 1", got)
	}
}
