package quota_test

import (
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// granted is what an owner has granted at a time.
type granted struct {
	at clock.Millis
	n  int
}

// ownerModel is the Model of an owner, asked by another VM.
type ownerModel struct {
	t       interface{ Fatalf(string, ...any) }
	m       *quota.Model
	now     clock.Millis
	asks    uint64
	lease   uint64
	grants  []granted
	inForce []quota.Limit // by time
	since   []clock.Millis
}

// own makes a Model the owner, as a new process that knows nothing of what was granted before.
func (o *ownerModel) own(l quota.Limit) {
	o.lease++
	o.m = quota.New(quota.WithSelf("a", "dc"))
	o.m.Update(o.now, quota.LimitedMsg{Limited: true})
	o.m.Update(o.now, quota.FleetMsg{VMs: []quota.VM{{ID: "a", DataCentre: "dc"}}})
	// The Model asks for a lease for the first request, which it refuses.
	first := l
	first.Version = 1
	o.m.Update(o.now, quota.AcquireMsg{Request: 1, Limit: first})
	o.m.Update(o.now, quota.LeasedMsg{Lease: 1, TTL: quota.LeaseTTL})
	for _, cmd := range o.m.Update(o.now, quota.ClaimedMsg{}) {
		if _, ok := cmd.(quota.GrantedCmd); ok {
			o.grants = append(o.grants, granted{o.now, 1})
		}
	}
}

// setLimit puts a limit in force.
func (o *ownerModel) setLimit(l quota.Limit) {
	o.inForce, o.since = append(o.inForce, l), append(o.since, o.now)
}

// advance lets time pass with the lease renewed.
func (o *ownerModel) advance(ms clock.Millis) {
	for end := o.now + ms; o.now < end; {
		o.now = min(end, o.now+500)
		for _, cmd := range o.m.Update(o.now, quota.TickMsg{}) {
			if _, ok := cmd.(quota.RenewCmd); ok {
				o.m.Update(o.now, quota.RenewedMsg{TTL: quota.LeaseTTL})
			}
		}
	}
}

// ask asks for requests of the customer under the limit in force.
func (o *ownerModel) ask(n int) int {
	o.asks++
	l := o.inForce[len(o.inForce)-1]
	for _, cmd := range o.m.Update(o.now, quota.AskMsg{From: "b", Ask: quota.Ask{ID: o.asks, Entries: []quota.AskEntry{{Limit: l, Want: n}}}}) {
		if g, ok := cmd.(quota.GrantCmd); ok {
			for _, e := range g.Grant.Entries {
				o.grants = append(o.grants, granted{o.now, e.Credits})
				return e.Credits
			}
		}
	}
	return 0
}

// check compares what was granted in every window with the most generous limit in it.
func (o *ownerModel) check() {
	for i, first := range o.grants {
		sum := 0.0
		for _, last := range o.grants[i:] {
			sum += float64(last.n)
			span := (last.at - first.at).Duration().Seconds()
			most := 0.0
			for k, l := range o.inForce {
				if o.since[k] > last.at || k+1 < len(o.since) && o.since[k+1] < first.at {
					continue
				}
				// Limits may be of different shapes: one has the higher rate, one the larger burst.
				for j, other := range o.inForce {
					if o.since[j] > last.at || j+1 < len(o.since) && o.since[j+1] < first.at {
						continue
					}
					most = max(most, max(l.Rate, other.Rate)*span+max(l.Burst, other.Burst, 1))
				}
			}
			if sum > most+0.001 {
				o.t.Fatalf("got %.0f requests from %d to %d ms, want at most %.1f; limits %+v at %d", sum, first.at, last.at, most, o.inForce, o.since)
			}
		}
	}
}

// TestBurstOnce guards against a burst that is granted a second time because the limit was
// changed in between.
func TestBurstOnce(t *testing.T) {
	limit := func(version uint64, rate, burst float64) quota.Limit {
		return quota.Limit{Customer: "c", Rate: rate, Burst: burst, Version: version}
	}
	for _, tt := range []struct {
		name string
		low  quota.Limit
		want int // most requests after the burst of 200, in the 1.5 s until it is back and then
	}{
		{"burst lowered", limit(5, 20, 5), 30},
		{"burst removed", limit(5, 20, 0), 30},
		{"rate lowered", limit(5, 1, 200), 2},
		{"both lowered", limit(5, 1, 5), 2},
		{"rate raised, burst lowered", limit(5, 100, 5), 150},
		{"burst raised", limit(5, 20, 300), 130},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := &ownerModel{t: t, now: 1000}
			o.setLimit(limit(3, 20, 200))
			o.own(o.inForce[0])
			o.advance(20_000) // the bucket fills
			if got := o.ask(1000); got < 199 {
				t.Fatalf("got %d of the burst, want it whole", got)
			}
			o.setLimit(tt.low)
			got := o.ask(1000)
			o.advance(1500)
			got += o.ask(1000)
			o.setLimit(limit(7, 20, 200))
			if got += o.ask(1000); got > tt.want+1 {
				t.Errorf("got %d after the burst, want at most %d", got, tt.want+1)
			}
			o.check()
			o.advance(11_000)
			if got := o.ask(1000); got < 199 {
				t.Errorf("got %d after the time in which the bucket fills, want 200", got)
			}
		})
	}
}

// TestLargerBurstAtOnce checks that a burst which was not used is there when it is raised.
func TestLargerBurstAtOnce(t *testing.T) {
	o := &ownerModel{t: t, now: 1000}
	o.setLimit(quota.Limit{Customer: "c", Rate: 20, Burst: 5, Version: 3})
	o.own(o.inForce[0])
	o.advance(60_000)
	o.setLimit(quota.Limit{Customer: "c", Rate: 20, Burst: 200, Version: 5})
	if got, want := o.ask(1000), 200; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// TestChangesOfLimit checks over drawn series of limits, requests and owners that what is
// granted in any window stays below the most generous limit in it.
func TestChangesOfLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &ownerModel{t: t, now: 1000}
		version := uint64(3)
		draw := func() quota.Limit {
			version += 2
			return quota.Limit{
				Customer: "c", Version: version,
				Rate:  rapid.SampledFrom([]float64{1, 5, 20, 100}).Draw(t, "rate"),
				Burst: rapid.SampledFrom([]float64{0, 1, 5, 50, 200}).Draw(t, "burst"),
			}
		}
		o.setLimit(draw())
		o.own(o.inForce[0])
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2:
				o.setLimit(draw())
			case 3:
				o.own(o.inForce[len(o.inForce)-1])
			case 4, 5, 6:
				o.advance(clock.Millis(rapid.IntRange(1, 4000).Draw(t, "ms")))
			default:
				o.ask(rapid.IntRange(1, 300).Draw(t, "requests"))
			}
		}
		o.check()
	})
}
