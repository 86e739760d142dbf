package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// arrival is one request of a load.
type arrival struct {
	at    clock.Millis
	limit quota.Limit
	vm    int
}

// makeLoad returns the requests of many customers in a time, a few of them large and one far
// above its limit. The callers of a customer are hashed unevenly over the VMs.
func makeLoad(seed uint64, vms, customers int, total float64, d clock.Millis) []arrival {
	rng := rand.New(rand.NewPCG(seed, seed))
	weights := 0.0
	for i := range customers {
		weights += 1 / float64(i+1)
	}
	const hot, hotFactor, capFactor = 3, 7.5, 1.5
	var out []arrival
	for i := range customers {
		usual := total / float64(i+1) / weights
		l := quota.Limit{Customer: fmt.Sprintf("customer-%d", i), Rate: capFactor * usual, Burst: max(math.Round(capFactor*usual), 1), Version: 1}
		perSecond := usual
		if i == hot {
			perSecond *= hotFactor
		}
		order := rng.Perm(vms)
		for at := rng.ExpFloat64() / perSecond * 1000; clock.Millis(at) < d; at += rng.ExpFloat64() / perSecond * 1000 {
			vm := order[int(float64(vms)*math.Pow(rng.Float64(), 2.5))] // a few VMs get most
			out = append(out, arrival{clock.Millis(at), l, vm})
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// outcome is what a design does with a load.
type outcome struct {
	runs     map[string][]clock.Millis
	messages int // between VMs
	calls    int // of the store
}

// tokens is a token bucket without any distribution.
type tokens struct {
	level float64
	at    clock.Millis
}

func (b *tokens) refill(now clock.Millis, rate, capacity float64) {
	b.level = min(b.level+rate*(now-b.at).Duration().Seconds(), capacity)
	b.at = now
}

// replayBuckets runs a load through a bucket for each key, of a part of the limit.
func replayBuckets(load []arrival, key func(arrival) string, part float64) outcome {
	buckets := make(map[string]*tokens)
	out := outcome{runs: make(map[string][]clock.Millis)}
	for _, a := range load {
		capacity := max(a.limit.Burst*part, 1)
		b := buckets[key(a)]
		if b == nil {
			b = &tokens{level: capacity}
			buckets[key(a)] = b
		}
		b.refill(a.at, a.limit.Rate*part, capacity)
		if b.level >= 1 {
			b.level--
			out.runs[a.limit.Customer] = append(out.runs[a.limit.Customer], a.at)
		}
	}
	return out
}

// replayGossip runs a load through VMs that each count alone and inform all others once a second.
func replayGossip(load []arrival, vms int, d clock.Millis) outcome {
	type own struct {
		vm       int
		customer string
	}
	buckets := make(map[own]*tokens)
	pending := make(map[own]int)
	told := clock.Millis(0)
	out := outcome{runs: make(map[string][]clock.Millis), messages: vms * (vms - 1) * int(d/clock.Second)}
	for _, a := range load {
		if a.at >= told+clock.Second {
			told = a.at
			for o, n := range pending {
				for vm := range vms {
					if b := buckets[own{vm, o.customer}]; b != nil && vm != o.vm {
						b.level -= float64(n)
					}
				}
			}
			clear(pending)
		}
		o := own{a.vm, a.limit.Customer}
		b := buckets[o]
		if b == nil {
			b = &tokens{level: a.limit.Burst}
			buckets[o] = b
		}
		b.refill(a.at, a.limit.Rate, max(a.limit.Burst, 1))
		if b.level >= 1 {
			b.level--
			pending[o]++
			out.runs[a.limit.Customer] = append(out.runs[a.limit.Customer], a.at)
		}
	}
	return out
}

// replayFleet runs a load through Models.
func replayFleet(t *testing.T, load []arrival, vms int, d clock.Millis) (outcome, *fleet) {
	f := newFleet(t, 1, vms)
	f.run(8000)
	start := f.now
	for _, a := range load {
		f.after(a.at, func() { f.arrive(f.nodes[a.vm], a.limit) })
	}
	f.run(d + 1000)
	out := outcome{runs: make(map[string][]clock.Millis)}
	for c, runs := range f.runs {
		for _, at := range runs {
			out.runs[c] = append(out.runs[c], at-start)
		}
	}
	for _, nd := range f.nodes {
		out.messages += nd.messages
		out.calls += nd.calls
	}
	return out, f
}

// TestReplay compares ways to limit a customer over all VMs, and guards against refusals
// below the limit and runs above it while all is well. docs/design/limits.md has the figures.
func TestReplay(t *testing.T) {
	const d = 60 * clock.Second
	for _, size := range []struct {
		vms, customers int
		total          float64
	}{{77, 81, 48}, {135, 120, 53}} {
		load := makeLoad(7, size.vms, size.customers, size.total, d)
		perCustomer := func(a arrival) string { return a.limit.Customer }
		exact := replayBuckets(load, perCustomer, 1)
		static := replayBuckets(load, func(a arrival) string { return fmt.Sprint(a.limit.Customer, a.vm) }, 1/float64(size.vms))
		inStore := replayBuckets(load, perCustomer, 1)
		inStore.calls = len(load)
		owners, f := replayFleet(t, load, size.vms, d)
		limits := make(map[string]quota.Limit)
		for _, a := range load {
			limits[a.limit.Customer] = a.limit
		}
		for _, design := range []struct {
			name string
			outcome
		}{{"equal shares", static}, {"late counts", replayGossip(load, size.vms, d)}, {"owners", owners}, {"store", inStore}} {
			refused, excess := compare(design.outcome, exact, limits)
			t.Logf("%d VMs, %-12s: refuses %.4f of what is allowed, most in a window %.2f of the limit, %.1f messages/s, %.1f store calls/s", size.vms, design.name,
				refused, excess, float64(design.messages)/d.Duration().Seconds(), float64(design.calls)/d.Duration().Seconds())
			if design.name != "owners" {
				continue
			}
			// The order in which two requests reach the owner differs from that of the callers.
			if refused > 0.005 {
				t.Errorf("%d VMs: got %.4f of the allowed requests refused, want at most 0.005", size.vms, refused)
			}
		}
		for _, l := range limits {
			f.checkBound(l)
		}
		if f.noCredit > 0 {
			t.Errorf("%d VMs: got %d refusals because no VM was reached, want 0", size.vms, f.noCredit)
		}
		perRequest := float64(owners.messages) / float64(len(load))
		if perRequest > 2.2 {
			t.Errorf("%d VMs: got %.2f messages for a request, want at most an Ask and a Grant", size.vms, perRequest)
		}
	}
}

// compare returns the share of the allowed requests that did not run, and the most runs in
// a window as a share of what the limit allows in it.
func compare(got, exact outcome, limits map[string]quota.Limit) (refused, excess float64) {
	missing, allowed := 0, 0
	for c, l := range limits {
		allowed += len(exact.runs[c])
		missing += max(len(exact.runs[c])-len(got.runs[c]), 0)
		excess = max(excess, float64(maxInWindow(got.runs[c]))/(l.Rate*bounds.WindowMs.Duration().Seconds()+l.Burst))
	}
	return float64(missing) / float64(allowed), excess
}

// TestAtRest guards against messages between VMs while no request needs credit.
func TestAtRest(t *testing.T) {
	f := newFleet(t, 1, 300)
	f.run(8000)
	for i := range 64 {
		f.arrive(f.anyNode(), quota.Limit{Customer: fmt.Sprint(i), Rate: 3, Burst: 3, Version: 1})
	}
	f.run(15_000)
	for _, nd := range f.nodes {
		nd.messages, nd.calls = 0, 0
	}
	f.run(60_000)
	calls := 0
	for _, nd := range f.nodes {
		calls += nd.calls
		if nd.messages > 0 {
			t.Errorf("%s: got %d messages at rest, want 0", nd.ID, nd.messages)
		}
	}
	if got, want := float64(calls)/60, float64(quota.Groups)/3; got > want {
		t.Errorf("got %.1f calls of the store a second, want at most %.1f", got, want)
	}
}
