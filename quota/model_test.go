package quota_test

import (
	"math"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// TestChangedLimit guards against a lower limit that older credit exceeds, and against a
// higher one or a new customer that has to wait.
func TestChangedLimit(t *testing.T) {
	lower := quota.Limit{Customer: large.Customer, Rate: 4, Burst: 4, Version: 2}
	higher := quota.Limit{Customer: large.Customer, Rate: 60, Burst: 60, Version: 2}
	for _, tt := range []struct {
		name     string
		from, to quota.Limit
		min, max int // runs in the second after the change
	}{
		{"lower", large, lower, 3, 12},
		{"higher", large, higher, 80, 130},
		{"new", quota.Limit{}, large, 17, 36},
	} {
		f := newFleet(t, 1, 20)
		f.run(8000)
		if tt.from.Valid() {
			f.load(tt.from, 200, 5000, f.anyNode)
		}
		f.after(5000, func() { f.load(tt.to, 200, 10_000, f.anyNode) })
		f.run(5000)
		from := f.now
		f.run(1000)
		if got := f.runsBetween(large.Customer, from, f.now); got < tt.min || got > tt.max {
			t.Errorf("%s: got %d runs in the second after the change, want %d to %d", tt.name, got, tt.min, tt.max)
		}
		f.run(9000)
		got := maxInWindow(f.runs[large.Customer][f.runsBetween(large.Customer, 0, from+1000):])
		if want := bounds.Max(tt.to); float64(got) > want {
			t.Errorf("%s: got %d runs in a window after the change, want at most %.1f", tt.name, got, want)
		}
	}
}

// TestVersionsMixed guards against a VM with an older configuration that raises a limit
// again.
func TestVersionsMixed(t *testing.T) {
	lower := quota.Limit{Customer: large.Customer, Rate: 2, Burst: 2, Version: 2}
	f := newFleet(t, 1, 20)
	f.run(8000)
	f.load(lower, 50, 20_000, func() *node { return f.nodes[f.rng.IntN(10)] })
	f.load(large, 50, 20_000, func() *node { return f.nodes[10+f.rng.IntN(10)] })
	f.run(20_000)
	f.checkBound(lower)
}

// TestReturn guards against credit that is lost with a request that did not run, and
// against returned credit that lets too many run.
func TestReturn(t *testing.T) {
	for seed := range uint64(3) {
		f := newFleet(t, seed+1, 30)
		f.notRun = func(string) bool { return f.rng.IntN(3) > 0 }
		f.run(8000)
		f.load(large, 8*large.Rate, 20_000, f.anyNode)
		f.run(20_000)
		f.checkBound(large)
		got := len(f.runs[large.Customer])
		want := int(0.9 * (20*large.Rate + large.Burst)) // a third of the requests is far above the limit
		if got < want {
			t.Errorf("seed %d: got %d runs, want at least %d", seed+1, got, want)
		}
	}
}

// TestRetryAfter guards against refused callers that come back at the same time, or sooner
// than there is credit.
func TestRetryAfter(t *testing.T) {
	f := newFleet(t, 1, 20)
	f.run(8000)
	f.arrive(f.nodes[0], large)
	f.run(5000)
	for range 60 {
		f.arrive(f.anyNode(), large)
	}
	f.run(100)
	slices.Sort(f.retries)
	if len(f.retries) < 30 {
		t.Fatalf("got %d refusals, want more", len(f.retries))
	}
	// 17 credits a second: a caller each 59 ms.
	first, last := f.retries[0], f.retries[len(f.retries)-1]
	span, want := last-first, clock.Millis(float64(len(f.retries)-1)/large.Rate*1000)
	if span < want*3/4 {
		t.Errorf("got %d refused callers that return within %d ms, want %d ms", len(f.retries), span, want)
	}
}

// TestCancel guards against a decision about a request whose caller has gone.
func TestCancel(t *testing.T) {
	m := quota.New(quota.WithSelf("a", "dc"))
	m.Update(1000, quota.LimitedMsg{Limited: true})
	m.Update(1000, quota.FleetMsg{VMs: []quota.VM{{ID: "a", DataCentre: "dc"}, {ID: "b", DataCentre: "dc"}}})
	m.Update(1000, quota.ClaimMsg{Group: quota.GroupOf("c"), Claim: quota.Claim{VM: "b", Lease: 1}, Revision: 1})
	l := quota.Limit{Customer: "c", Rate: 1, Burst: 1, Version: 1}
	ask := findAsk(t, m.Update(1000, quota.AcquireMsg{Request: 1, Limit: l}))
	m.Update(1001, quota.CancelMsg{Request: 1})
	grant := quota.Grant{ID: ask.ID, Entries: []quota.GrantEntry{{Customer: "c", Source: quota.SourceOwner, Credits: 1, ValidMs: 1000}}}
	for _, cmd := range m.Update(1002, quota.GrantMsg{From: "b", Grant: grant}) {
		if _, ok := cmd.(quota.GrantedCmd); ok {
			t.Error("got a decision about a request whose caller has gone, want none")
		}
	}
	if !m.Take(1003, "c") {
		t.Error("got no credit for the next request, want the one of the request that is gone")
	}
}

func findAsk(t *testing.T, cmds []quota.Cmd) quota.Ask {
	t.Helper()
	for _, cmd := range cmds {
		if c, ok := cmd.(quota.AskCmd); ok {
			return c.Ask
		}
	}
	t.Fatalf("got %v, want an AskCmd", cmds)
	return quota.Ask{}
}

// TestResumed guards against an owner that was suspended, which its steady clock does not
// show, and grants before it has renewed its lease.
func TestResumed(t *testing.T) {
	f := newFleet(t, 1, 20)
	f.run(8000)
	f.arrive(f.nodes[0], large)
	f.run(2000)
	owner := f.owner(large.Customer)
	f.storeDown = true
	f.deliver(owner, quota.ResumedMsg{})
	if got := owner.m.OwnedGroups(f.now); got != 0 {
		t.Errorf("got %d owned groups after a suspension, want 0 until the lease is renewed", got)
	}
	f.storeDown = false
	f.run(3000)
	if got := owner.m.OwnedGroups(f.now); got == 0 {
		t.Error("got no owned groups once the lease is renewed, want some")
	}
}

// TestFlood guards against many messages for each request of a flood while no VM that may
// grant credit is reached, and against an owner that is asked late after it is back.
func TestFlood(t *testing.T) {
	f := newFleet(t, 1, 45)
	f.run(8000)
	f.arrive(f.nodes[0], large)
	f.run(2000)
	owner := f.owner(large.Customer)
	f.kill(owner)
	for _, nd := range f.nodes {
		nd.messages = 0
	}
	before := f.lastID
	f.load(large, 40*large.Rate, 4000, f.anyNode)
	f.run(2000)
	messages := 0
	for _, nd := range f.nodes {
		messages += nd.messages
	}
	if got := float64(messages) / float64(f.lastID-before); got > 6 {
		t.Errorf("got %.1f messages for a request while the owner is lost, want at most 6", got)
	}
	f.start(owner)
	back := f.now
	f.run(500)
	if got := f.runsBetween(large.Customer, back, f.now); got < 5 {
		t.Errorf("got %d runs within 500 ms after the owner is back, want at least 5 at 17 a second", got)
	}
}

// TestNewDeputy guards against two deputies that grant the same part of the reserve in one
// window.
func TestNewDeputy(t *testing.T) {
	m := quota.New(quota.WithSelf("a", "dc"))
	m.Update(1000, quota.LimitedMsg{Limited: true})
	m.Update(1000, quota.FleetMsg{VMs: []quota.VM{{ID: "a", DataCentre: "dc"}}})
	m.Update(1000, quota.ClaimMsg{Group: quota.GroupOf("large"), Claim: quota.Claim{VM: "lost", Lease: 1}, Revision: 1})
	granted := func(now clock.Millis) int {
		for _, cmd := range m.Update(now, quota.AskMsg{From: "b", Ask: quota.Ask{ID: 1, Forwarded: true, Entries: []quota.AskEntry{{Limit: large, Want: 50}}}}) {
			if c, ok := cmd.(quota.GrantCmd); ok {
				return c.Grant.Entries[0].Credits
			}
		}
		return -1
	}
	// An eighth of 0.1 x 102 + 20 requests.
	for _, step := range []struct {
		at   clock.Millis
		want int
	}{{1001, 0}, {6500, 0}, {7100, 3}, {7200, 0}, {12_000, 0}, {14_500, 3}} {
		if got := granted(step.at); got != step.want {
			t.Errorf("at %d ms: got %d granted, want %d", step.at, got, step.want)
		}
	}
}

// TestUnlimited guards against work on behalf of a deployment whose customers have no limit.
func TestUnlimited(t *testing.T) {
	m := quota.New(quota.WithSelf("a", "dc"))
	cmds := m.Update(1000, quota.FleetMsg{VMs: []quota.VM{{ID: "a", DataCentre: "dc"}}})
	if _, ok := m.NextWake(); ok || len(cmds) > 0 {
		t.Errorf("got commands %v and a timer %t, want none", cmds, ok)
	}
}

// TestOddMessages guards against a panic or credit without a right because of what another
// VM sends.
func TestOddMessages(t *testing.T) {
	f := newFleet(t, 1, 5)
	f.run(8000)
	f.arrive(f.nodes[0], large)
	f.run(1000)
	owner := f.owner(large.Customer)
	odd := []quota.Limit{
		{}, {Customer: "x", Rate: math.NaN(), Burst: 1}, {Customer: "x", Rate: -1, Burst: 1}, {Customer: "x", Rate: math.Inf(1), Burst: 1},
		{Customer: "x", Rate: 1, Burst: math.NaN()}, {Customer: "x", Rate: 1, Burst: -1}, {Customer: "x", Rate: 1, Burst: 1e300},
	}
	for _, l := range odd {
		f.deliver(owner, quota.AskMsg{From: "nobody", Ask: quota.Ask{ID: 1, Entries: []quota.AskEntry{{Limit: l, Want: 1 << 30, Ahead: -5, Returned: 1 << 30}}}})
		f.lastID++
		f.customers[f.lastID] = l.Customer
		f.deliver(owner, quota.AcquireMsg{Request: f.lastID, Limit: l})
	}
	for _, e := range []quota.AskEntry{{Limit: large, Want: -5, Ahead: math.MaxInt}, {Limit: large, Want: math.MaxInt, Ahead: math.MaxInt}, {Limit: large, Returned: math.MinInt}} {
		f.deliver(owner, quota.AskMsg{From: f.nodes[1].ID, Ask: quota.Ask{ID: 2, Entries: []quota.AskEntry{e, e}}})
	}
	for _, g := range []quota.GrantEntry{{Credits: -1}, {Credits: math.MaxInt, Source: 9}, {Credits: 1 << 20, ValidMs: math.MaxInt64, EmptyMs: math.MinInt64, Source: quota.SourceOwner}} {
		g.Customer = large.Customer
		f.deliver(f.nodes[1], quota.GrantMsg{From: owner.ID, Grant: quota.Grant{ID: 1, Entries: []quota.GrantEntry{g}}})
	}
	f.deliver(owner, quota.ClaimMsg{Group: -1})
	f.deliver(owner, quota.ClaimMsg{Group: quota.Groups})
	f.deliver(owner, quota.ClaimedMsg{})
	f.deliver(owner, quota.LeasedMsg{Lease: 99, TTL: quota.LeaseTTL})
	f.load(large, 200, 10_000, f.anyNode)
	f.run(10_500)
	f.checkBound(large)
	if len(f.customers) > 0 {
		t.Errorf("got %d requests without a decision, want 0", len(f.customers))
	}
}

// TestDecisionAllocates guards against work for the collector at each request.
func TestDecisionAllocates(t *testing.T) {
	m := withCredit(1 << 19)
	if got := testing.AllocsPerRun(1000, func() { m.Take(1001, "c") }); got > 0 {
		t.Errorf("got %.1f allocations for a decision, want 0", got)
	}
}

// withCredit returns a Model that holds credit.
func withCredit(n int) *quota.Model {
	m := quota.New(quota.WithSelf("a", "dc"))
	m.Update(1000, quota.LimitedMsg{Limited: true})
	m.Update(1000, quota.ClaimMsg{Group: quota.GroupOf("c"), Claim: quota.Claim{VM: "b", Lease: 1}, Revision: 1})
	for _, cmd := range m.Update(1000, quota.AcquireMsg{Request: 1, Limit: quota.Limit{Customer: "c", Rate: 1e6, Burst: 1e6, Version: 1}}) {
		if c, ok := cmd.(quota.AskCmd); ok {
			m.Update(1001, quota.GrantMsg{From: "b", Grant: quota.Grant{ID: c.Ask.ID, Entries: []quota.GrantEntry{
				{Customer: "c", Source: quota.SourceOwner, Credits: n, ValidMs: 1000},
			}}})
		}
	}
	return m
}

// BenchmarkTake measures a decision without a message.
func BenchmarkTake(b *testing.B) {
	m := withCredit(1 << 20)
	b.ReportAllocs()
	for b.Loop() {
		m.Take(1001, "c")
	}
}

// BenchmarkGrant measures the owner's part of a decision.
func BenchmarkGrant(b *testing.B) {
	m := quota.New(quota.WithSelf("a", "dc"))
	l := quota.Limit{Customer: "c", Rate: 1000, Burst: 1000, Version: 1}
	m.Update(1000, quota.LimitedMsg{Limited: true})
	m.Update(1000, quota.FleetMsg{VMs: []quota.VM{{ID: "a", DataCentre: "dc"}}})
	m.Update(1000, quota.AcquireMsg{Request: 1, Limit: l})
	m.Update(1000, quota.LeasedMsg{Lease: 1, TTL: quota.LeaseTTL})
	m.Update(1000, quota.ClaimedMsg{})
	ask := quota.Ask{ID: 1, Entries: []quota.AskEntry{{Limit: l, Want: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		m.Update(1001, quota.AskMsg{From: "b", Ask: ask})
	}
}
